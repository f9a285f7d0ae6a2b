package claimer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	home   = tiller.DataCentre("kigali-1")
	stepMs = tiller.Millis(10)
)

// deployment is a claim group with claimants on a simulated network, in virtual time.
type deployment struct {
	net        *faultnet.Net
	now        tiller.Millis
	members    map[string]*claimer.Member
	terminated tiller.Set[string]
	claimants  map[string]*claimer.Claimant
	results    map[string]claimer.Result
}

func newDeployment(faults faultnet.Faults) *deployment {
	return &deployment{
		net: faultnet.New(1, faults), now: 1_000_000, members: map[string]*claimer.Member{}, terminated: tiller.NewSet[string](),
		claimants: map[string]*claimer.Claimant{}, results: map[string]claimer.Result{},
	}
}

func lowDelay() faultnet.Faults { return faultnet.Faults{MinDelay: 1, MaxDelay: 5} }

// start starts a node. A second start of the same name is a restart: the claims of the earlier incarnations are lost.
func (d *deployment) start(name string, incarnation uint64) string {
	id := claimer.Identity(name, incarnation, tiller.Address(name))
	if _, restarted := d.members[name]; restarted {
		for old := range incarnation {
			d.terminated.Add(claimer.Identity(name, old, tiller.Address(name)))
		}
	}

	d.members[name] = claimer.NewMember(id, tiller.Address(name), home)

	return id
}

func (d *deployment) claimant(name string) *claimer.Claimant {
	if d.claimants[name] == nil {
		d.claimants[name] = claimer.NewClaimant(tiller.Address(name))
	}

	return d.claimants[name]
}

// setPlacement installs a placement on all nodes except the named ones.
func (d *deployment) setPlacement(p *wire.ClaimPlacement, except ...string) {
	for name, m := range d.members {
		if !slices.Contains(except, name) {
			m.SetPlacement(p)
		}
	}

	for name, c := range d.claimants {
		if !slices.Contains(except, name) {
			c.SetPlacement(p)
		}
	}
}

func (d *deployment) run(span tiller.Millis) {
	for end := d.now + span; d.now < end; d.now += stepMs {
		for _, e := range d.net.Due(d.now) {
			if m := d.members[e.GetTo()]; m != nil {
				out, _ := m.Receive(d.now, e)
				d.net.Send(d.now, out...)
			}

			if c := d.claimants[e.GetTo()]; c != nil && e.GetClaimReply() != nil {
				d.record(c.Receive(e))
			}
		}

		for _, name := range sorted(d.members) {
			out, _ := d.members[name].Tick(d.now, d.now, d.terminated.Has)
			d.net.Send(d.now, out...)
		}

		for _, name := range sorted(d.claimants) {
			out, results := d.claimants[name].Tick(d.now)
			d.net.Send(d.now, out...)
			d.record(results)
		}
	}
}

func (d *deployment) record(results []claimer.Result) {
	for _, r := range results {
		d.results[r.Attempt()] = r
	}
}

func (d *deployment) acquire(t *testing.T, at, key, body, attempt string) wire.ClaimVerdict {
	t.Helper()
	d.begin(t, at, key, body, attempt)
	d.run(claimer.ClaimTimeout + 10*stepMs)
	require.Contains(t, d.results, attempt)

	return d.results[attempt].Verdict()
}

func (d *deployment) begin(t *testing.T, at, key, body, attempt string) {
	t.Helper()

	k, err := claimer.ParseKey(key)
	require.NoError(t, err)

	out, results := d.claimant(at).Acquire(d.now, k, []byte(body), attempt)
	d.net.Send(d.now, out...)
	d.record(results)
}

func (d *deployment) complete(t *testing.T, at, key, body, attempt string, ran bool) {
	t.Helper()

	k, err := claimer.ParseKey(key)
	require.NoError(t, err)
	d.net.Send(d.now, d.claimant(at).Complete(d.now, k, []byte(body), attempt, ran, &wire.Answer{Status: 201})...)
	d.run(tiller.Second)
}

// key returns a key that was created at the given time.
func key(at tiller.Millis, n int) string {
	u := uuid.UUID{}
	for i := range 6 {
		u[i] = byte(at >> (8 * (5 - i)))
	}

	u[6], u[8], u[15] = 0x70, 0x80, byte(n)

	return string(home) + "." + u.String()
}

func sorted[T any](m map[string]T) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}

	slices.Sort(out)

	return out
}

// newGroup starts three members and two claimants that all know the first epoch.
func newGroup(faults faultnet.Faults) (*deployment, *wire.ClaimPlacement) {
	d := newDeployment(faults)
	p := &wire.ClaimPlacement{DataCentre: string(home), Epoch: 1}

	for _, name := range []string{"a", "b", "c"} {
		p.Members = append(p.Members, d.start(name, 1))
	}

	d.claimant("x")
	d.claimant("y")
	d.setPlacement(p)
	d.run(tiller.Second)

	return d, p
}

func nextPlacement(p *wire.ClaimPlacement, members ...string) *wire.ClaimPlacement {
	return &wire.ClaimPlacement{
		DataCentre: p.GetDataCentre(), Epoch: p.GetEpoch() + 1, Members: members,
		Previous: []*wire.ClaimGroup{{Epoch: p.GetEpoch(), Members: p.GetMembers()}},
	}
}

func TestClaims(t *testing.T) {
	const (
		granted   = wire.ClaimVerdict_CLAIM_VERDICT_GRANTED
		taken     = wire.ClaimVerdict_CLAIM_VERDICT_TAKEN
		completed = wire.ClaimVerdict_CLAIM_VERDICT_COMPLETED
		fenced    = wire.ClaimVerdict_CLAIM_VERDICT_FENCED
		mismatch  = wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH
		undecided = wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED
	)

	cases := []struct {
		name string
		run  func(t *testing.T, d *deployment, k string) wire.ClaimVerdict
		want wire.ClaimVerdict
	}{
		{"resend while the first runs", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			return d.acquire(t, "y", k, "body", "2")
		}, taken},
		{"resend after the first ran", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			d.complete(t, "x", k, "body", "1", true)

			return d.acquire(t, "y", k, "body", "2")
		}, completed},
		{"resend after the first did not run", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			d.complete(t, "x", k, "body", "1", false)

			return d.acquire(t, "y", k, "body", "2")
		}, granted},
		{"same key with another body", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			return d.acquire(t, "y", k, "other", "2")
		}, mismatch},
		{"one member lost", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			delete(d.members, "a")

			return d.acquire(t, "y", k, "body", "2")
		}, taken},
		{"two members lost", func(t *testing.T, d *deployment, _ string) wire.ClaimVerdict {
			delete(d.members, "a")
			delete(d.members, "b")

			return d.acquire(t, "y", key(d.now, 2), "body", "2")
		}, undecided},
		{"key created in the future", func(t *testing.T, d *deployment, _ string) wire.ClaimVerdict {
			return d.acquire(t, "y", key(d.now+claimer.MaxAhead+tiller.Minute, 2), "body", "2")
		}, fenced},
		{"key older than the window", func(t *testing.T, d *deployment, k string) wire.ClaimVerdict {
			d.now += claimer.KeyWindow + tiller.Second

			return d.acquire(t, "y", k, "body", "2")
		}, fenced},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d, _ := newGroup(lowDelay())
			k := key(d.now, 1)
			require.Equal(t, granted, d.acquire(t, "x", k, "body", "1"))
			require.Equal(t, tc.want, tc.run(t, d, k))
		})
	}
}

func TestChangeOfGroups(t *testing.T) {
	const (
		granted = wire.ClaimVerdict_CLAIM_VERDICT_GRANTED
		taken   = wire.ClaimVerdict_CLAIM_VERDICT_TAKEN
		fenced  = wire.ClaimVerdict_CLAIM_VERDICT_FENCED
	)

	t.Run("one member replaced: all claims are kept and no key is fenced", func(t *testing.T) {
		d, p := newGroup(lowDelay())
		ran, waiting := key(d.now, 1), key(d.now, 2)
		require.Equal(t, granted, d.acquire(t, "x", ran, "body", "1"))

		fresh := d.start("a", 2)
		d.setPlacement(nextPlacement(p, p.GetMembers()[1], p.GetMembers()[2], fresh))
		d.run(5 * tiller.Second)
		require.Equal(t, taken, d.acquire(t, "y", ran, "body", "2"))
		require.Equal(t, granted, d.acquire(t, "y", waiting, "body", "3"))
	})

	t.Run("majority restarted: older keys are fenced, new ones are granted", func(t *testing.T) {
		d, p := newGroup(lowDelay())
		ran, waiting := key(d.now, 1), key(d.now, 2)
		require.Equal(t, granted, d.acquire(t, "x", ran, "body", "1"))

		a, b, c := d.start("a", 2), d.start("b", 2), d.start("c", 2)
		d.setPlacement(nextPlacement(p, a, b, c))
		d.run(5 * tiller.Second)
		require.Equal(t, fenced, d.acquire(t, "y", ran, "body", "2"))
		require.Equal(t, fenced, d.acquire(t, "y", waiting, "body", "3"))

		d.now += claimer.MaxAhead + claimer.MaxSkew
		require.Equal(t, granted, d.acquire(t, "y", key(d.now, 3), "body", "4"))
	})

	t.Run("old majority unreachable but not known to have ended: the new group grants nothing", func(t *testing.T) {
		d, p := newGroup(lowDelay())
		ran := key(d.now, 1)
		require.Equal(t, granted, d.acquire(t, "x", ran, "body", "1"))

		d.net.Partition(func(from, to string) bool {
			old := func(n string) bool { return n == "a" || n == "b" || n == "x" }

			return old(from) != old(to)
		})

		e, f := d.start("e", 1), d.start("f", 1)
		d.setPlacement(nextPlacement(p, p.GetMembers()[2], e, f), "a", "b", "x")
		d.run(20 * tiller.Second)
		require.NotEqual(t, granted, d.acquire(t, "y", key(d.now, 2), "body", "2"))
		require.Equal(t, granted, d.acquire(t, "x", key(d.now, 3), "body", "3"), "the old majority keeps granting until it is sealed")
	})

	t.Run("group that never served: the new group serves once its members are known to have ended", func(t *testing.T) {
		d, p := newGroup(lowDelay())
		ran := key(d.now, 1)
		require.Equal(t, granted, d.acquire(t, "x", ran, "body", "1"))

		neverServed := &wire.ClaimPlacement{Epoch: 2, DataCentre: string(home), Members: []string{claimer.Identity("g", 1, "g")}}
		fresh := d.start("e", 1)
		third := &wire.ClaimPlacement{
			DataCentre: string(home), Epoch: 3, Members: []string{p.GetMembers()[0], p.GetMembers()[1], fresh},
			Previous: []*wire.ClaimGroup{{Epoch: 1, Members: p.GetMembers()}, {Epoch: 2, Members: neverServed.GetMembers()}},
		}
		d.setPlacement(third)
		d.run(10 * tiller.Second)
		require.NotEqual(t, granted, d.acquire(t, "y", ran, "body", "2"))

		d.terminated.Add(neverServed.GetMembers()[0])
		d.run(10 * tiller.Second)
		require.Equal(t, taken, d.acquire(t, "y", ran, "body", "3"))
	})
}

// TestTwoClaimantsOnALossyNetwork guards against two grants for one key when two nodes claim it concurrently while messages are lost,
// duplicated and delayed.
func TestTwoClaimantsOnALossyNetwork(t *testing.T) {
	d, _ := newGroup(faultnet.Faults{Loss: 0.2, Duplication: 0.2, MinDelay: 1, MaxDelay: 120})
	grants := 0

	for n := range 200 {
		k := key(d.now, n)
		x, y := fmt.Sprintf("x%d", n), fmt.Sprintf("y%d", n)
		d.begin(t, "x", k, "body", x)
		d.begin(t, "y", k, "body", y)
		d.run(claimer.ClaimTimeout + 10*stepMs)

		granted := 0

		for _, attempt := range []string{x, y} {
			if d.results[attempt].Verdict() == wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
				granted++
			}
		}

		require.LessOrEqual(t, granted, 1, "key %s was granted twice", k)

		grants += granted
	}

	require.Greater(t, grants, 100)
}

// TestReleaseThatOvertakesItsClaim guards against a grant to an attempt whose release arrived before its delayed claim.
func TestReleaseThatOvertakesItsClaim(t *testing.T) {
	d, p := newGroup(lowDelay())
	k := key(d.now, 1)
	member := d.members["a"]
	claim := &wire.Claim{
		Phase: wire.ClaimPhase_CLAIM_PHASE_RELEASE, Key: k, Digest: []byte("body"), Attempt: "late", Epoch: p.GetEpoch(), DataCentre: string(home),
	}
	send := func(phase wire.ClaimPhase, attempt string) wire.ClaimVerdict {
		c := &wire.Claim{Phase: phase, Key: k, Digest: claim.GetDigest(), Attempt: attempt, Epoch: p.GetEpoch(), DataCentre: string(home)}
		out, _ := member.Receive(d.now, &wire.Envelope{From: "x", To: "a", Body: &wire.Envelope_Claim{Claim: c}})

		return out[0].GetClaimReply().GetVerdict()
	}

	send(wire.ClaimPhase_CLAIM_PHASE_RELEASE, "late")
	require.NotEqual(t, wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, send(wire.ClaimPhase_CLAIM_PHASE_TAKE, "late"))
	require.Equal(t, wire.ClaimVerdict_CLAIM_VERDICT_GRANTED, send(wire.ClaimPhase_CLAIM_PHASE_TAKE, "fresh"))
}

func TestParseKey(t *testing.T) {
	u := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		text string
		ok   bool
	}{
		{"kigali-1." + u, true},
		{u, false},
		{"." + u, false},
		{"kigali-1." + uuid.New().String(), false},
		{"kigali-1.{" + u + "}", false},
		{"", false},
	}

	for _, tc := range cases {
		_, err := claimer.ParseKey(tc.text)
		require.Equal(t, tc.ok, err == nil, tc.text)
	}
}
