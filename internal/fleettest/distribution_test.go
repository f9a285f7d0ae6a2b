package fleettest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func TestEditConvergesUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults faultnet.Faults
		// around breaks something while the edit is under way.
		around func(f *fleet)
	}{
		{"quiet network", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(*fleet) {}},
		{"late, doubled and lost messages", faultnet.Faults{Loss: 0.2, Double: 0.2, MinDelay: 1, MaxDelay: 800}, func(*fleet) {}},
		{"relays die while they fan out", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(f *fleet) {
			f.run(2 * stepMs)

			for _, m := range f.nodes {
				if m.core.Rank() < subscriber.RelaysPerDataCentre {
					m.up = false
				}
			}
		}},
		{"the leader dies right after the answer", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(f *fleet) { f.leader().up = false }},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settled(t, 3, 12)
			f.net.SetFaults(tc.faults)
			v := f.edit(2)
			tc.around(f)
			f.until(convergence, "the edit is in force everywhere", f.inForce(v, everywhere))
		})
	}
}

func TestCutOffDataCentreKeepsItsVersionAndRestartsFromIt(t *testing.T) {
	f, first := settled(t, 3, 6)
	f.cutOff("dc2")

	second := f.edit(2)
	f.until(convergence, "the edit is in force outside", f.inForce(second, outside("dc2")))
	f.until(subscriber.LeasePeriod+convergence, "the cut-off nodes call themselves unconfirmed", func() bool {
		return !f.nodes[len(f.nodes)-1].core.Confirmed()
	})

	restarted := f.nodes[len(f.nodes)-1]
	f.startNode(restarted)
	f.until(convergence, "a node restarted inside holds the old version", func() bool { return restarted.core.Version() == first })
	require.False(t, restarted.core.Confirmed())

	f.net.Cut(nil)
	f.until(convergence, "the cut-off nodes catch up", f.inForce(second, everywhere))
	f.until(convergence, "they are confirmed again", restarted.core.Confirmed)
}

func TestTwoDataCentresCutCrosswise(t *testing.T) {
	f, _ := settled(t, 4, 5)
	f.net.Cut(func(from, to string) bool {
		a, b := centre(from), centre(to)

		return (a == "dc2" && b != "dc2" && b != "dc3") || (b == "dc2" && a != "dc2" && a != "dc3")
	})

	v := f.edit(2)
	f.until(2*convergence, "the version reaches the cut one through the other", f.inForce(v, everywhere))
}

func TestIsolatedControllerServesButDoesNotConfirm(t *testing.T) {
	f, first := settled(t, 3, 4)
	isolated := f.leader()
	f.net.Cut(func(from, to string) bool {
		return (from == isolated.address || to == isolated.address) && centre(from) != centre(to)
	})
	f.run(5 * tiller.Minute)

	require.False(t, isolated.core.Current(f.now))

	token := f.send(isolated, f.newEdit(first, 2))
	require.Equal(t, tiller.VerdictNotRun.String(), f.replies[token].GetVerdict())

	second := f.edit(3)
	f.until(convergence, "the edit is in force", f.inForce(second, everywhere))

	f.net.Cut(nil)
	f.run(5 * tiller.Second)
	require.Equal(t, second, isolated.core.Version())
}

func TestHerdRestartDoesNotOverwhelmTheSource(t *testing.T) {
	const nodesEach = 100

	f, first := settled(t, 3, nodesEach)
	f.pulls = map[tiller.Millis]int{}

	for _, m := range f.nodes {
		f.startNode(m)
	}

	took := f.until(2*convergence, "all nodes hold the version again", f.inForce(first, everywhere))
	peak := 0

	for _, n := range f.pulls {
		peak = max(peak, n)
	}

	t.Logf("300 nodes back after %d ms, at most %d pulls a second at three controllers", took, peak)
	require.LessOrEqual(t, took, convergence)
}

func TestAdmissionRefusesAStormWithAdvice(t *testing.T) {
	f, _ := settled(t, 1, 2)
	leader := f.leader()
	busy := 0

	for i := range 3 * controller.WholesBurst {
		e := leader.core.Step(f.now, controller.Receive{Envelope: &wire.Envelope{
			From: fmt.Sprintf("dc9/n%d", i), To: leader.address, Body: &wire.Envelope_Pull{Pull: &wire.Pull{DataCentre: "dc9"}},
		}})
		for _, m := range e.Messages {
			if b := m.GetBusy(); b != nil {
				require.Positive(t, b.GetRetryAfter())

				busy++
			}
		}
	}

	require.GreaterOrEqual(t, busy, controller.WholesBurst)
	require.Less(t, busy, 3*controller.WholesBurst)
}

// TestBusySourceIsNotHammered answers a relay's pulls with "busy" and counts the pulls that follow before its time.
func TestBusySourceIsNotHammered(t *testing.T) {
	f, first := settled(t, 1, 1)
	relay := f.nodes[0]
	newer := tiller.NewVersion(1, first.Index()+50, []byte("0123456789abcdef"))
	pulls := 0
	step := func(event node.Event) {
		f.now += stepMs
		for _, m := range relay.core.Step(f.now, event).Messages {
			if m.GetPull() != nil {
				pulls++
			}
		}
	}
	receive := func(e *wire.Envelope) {
		e.From, e.To = "dc0/c0", string(relay.identity.Address)
		step(node.Receive{Wall: f.now, Envelope: e})
	}

	receive(&wire.Envelope{Body: &wire.Envelope_Offer{Offer: &wire.Offer{Version: newer.Wire()}}})
	require.Equal(t, 1, pulls)

	for range 10 {
		receive(&wire.Envelope{Body: &wire.Envelope_Busy{Busy: &wire.Busy{RetryAfter: 2000}}})
		step(node.Tick{Wall: f.now})
	}

	require.Equal(t, 1, pulls, "no pull before the advised time")
}

func TestNodeBackAfterManyChangesCatchesUpByOneDifference(t *testing.T) {
	const changes = 500

	f, _ := settled(t, 2, 3)
	away := f.nodes[5]
	f.net.Cut(func(from, to string) bool {
		return from == string(away.identity.Address) || to == string(away.identity.Address)
	})

	var last tiller.Version

	for i := range changes {
		last = f.edit(i + 10)
	}

	f.until(convergence, "the others hold the last version", f.inForce(last, func(m *member) bool { return m != away }))
	f.net.Cut(nil)

	applied := 0
	f.until(convergence, "the node catches up", func() bool {
		if away.core.Version() != away.highest {
			applied++
		}

		return away.core.Version() == last
	})
	require.LessOrEqual(t, applied, 1, "a node that comes back never replays the versions in between")
}

func TestFaultyHolderCannotHarm(t *testing.T) {
	cases := []struct {
		name  string
		forge func(next tiller.Version, held []*wire.Item) *wire.Difference
	}{
		{"content does not match the hash", func(next tiller.Version, held []*wire.Item) *wire.Difference {
			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: held[:1]}
		}},
		{"difference for another base", func(next tiller.Version, held []*wire.Item) *wire.Difference {
			return &wire.Difference{Base: tiller.NewVersion(1, 1, []byte("other")).Wire(), Target: next.Wire(), Upserts: held[:1]}
		}},
		{"whole but invalid", func(next tiller.Version, _ []*wire.Item) *wire.Difference {
			items := []*wire.Item{{Path: "default/no_such_setting", Value: []byte("1")}}

			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: items}
		}},
		{"items that cannot be decoded", func(next tiller.Version, _ []*wire.Item) *wire.Difference {
			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: []*wire.Item{{Path: "route/x", Value: []byte("{")}}}
		}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, first := settled(t, 1, 4)
			victim := f.nodes[3]
			next := tiller.NewVersion(1, first.Index()+1000, []byte("forged hash 0123"))
			f.net.Send(f.now, &wire.Envelope{
				From: "dc0/n0", To: string(victim.identity.Address),
				Body: &wire.Envelope_Difference{Difference: tc.forge(next, victim.core.Items())},
			})
			f.run(2 * tiller.Second)
			require.Equal(t, first, victim.core.Version())

			v := f.edit(2)
			f.until(convergence, "the next version is still taken", f.inForce(v, everywhere))
		})
	}
}

func TestClockJumpsOfNodesBreakNothing(t *testing.T) {
	f, _ := settled(t, 2, 5)
	f.nodes[1].skew = -tiller.Hour
	f.nodes[7].skew = tiller.Hour
	f.run(10 * tiller.Second)

	v := f.edit(2)
	f.until(convergence, "the edit is in force everywhere", f.inForce(v, everywhere))
}

func TestStatusCostsTheSourceOneReportPerDataCentre(t *testing.T) {
	f, v := settled(t, 3, 10)
	laggard := f.nodes[4]
	laggard.up = false

	f.run(5 * tiller.Second)

	reports := 0

	for range 20 {
		f.now += stepMs
		for _, e := range f.net.Due(f.now) {
			if e.GetDataCentreReport() != nil && e.GetTo() == "dc0/c0" {
				reports++
			}
		}

		for _, m := range f.nodes {
			f.stepNode(m, tickOf(f))
		}
	}

	require.InDelta(t, 3, reports, 2, "one report a second and data centre")
	f.run(3 * tiller.Second)

	for _, r := range f.leader().core.Status(f.now).GetReports() {
		require.Len(t, r.GetCounts(), 1)
		require.Equal(t, v, tiller.VersionOf(r.GetCounts()[0].GetVersion()))

		if r.GetDataCentre() == string(laggard.identity.DataCentre) {
			require.Equal(t, uint32(1), r.GetUnreachable())
			require.Equal(t, uint32(9), r.GetNodes())
		}
	}
}

// TestLostMessagesHoldNoNodeBack applies edits one after another while a tenth of all messages is lost, as on links that are full. The
// bound is the platform's for an acknowledged version to be in force.
func TestLostMessagesHoldNoNodeBack(t *testing.T) {
	const bound = 2 * tiller.Second

	f, _ := settled(t, 4, 25)
	f.net.SetFaults(faultnet.Faults{Loss: 0.1, MinDelay: 1, MaxDelay: 20})

	slowest := tiller.Millis(0)

	for change := 2; change < 32; change++ {
		v := f.edit(change)
		slowest = max(slowest, f.until(convergence, "the edit is in force everywhere", f.inForce(v, everywhere)))
	}

	t.Logf("slowest of 30 edits in force everywhere after %d ms", slowest)
	require.LessOrEqual(t, slowest, bound)
}
