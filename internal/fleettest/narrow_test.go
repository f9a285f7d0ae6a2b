package fleettest

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// applyBound is the platform's bound on the time from an acknowledgement until a version is in force.
	applyBound = 2 * tiller.Second
	// narrowRate is a link of 1.9 Mbit/s in bytes a second.
	narrowRate = 237_500
	manyRoutes = 1600
	// datagramQueue is how many bytes in front of a link make it drop datagrams, standingQueue what calls keep there.
	datagramQueue = 32 << 10
	standingQueue = 48 << 10
)

// narrowFleet puts every node behind a narrow link and brings a document of many routes into force.
func narrowFleet(t *testing.T, dataCentres, nodesEach int) *fleet {
	t.Helper()

	f := newFleet(t, dataCentres, nodesEach)
	addresses := make([]string, 0, len(f.nodes))

	for _, m := range f.nodes {
		addresses = append(addresses, string(m.identity.Address))
	}

	f.net.SetLink(faultnet.Link{BytesPerSecond: narrowRate, QueueBytes: datagramQueue}, addresses...)

	v := f.editRoutes(map[int]int{})
	f.until(convergence, "the first version is in force", f.inForce(v, everywhere))
	f.run(5 * tiller.Second)

	return f
}

// editRoutes brings a document of many routes into the source; some of them have a timeout of their own.
func (f *fleet) editRoutes(timeouts map[int]int) tiller.Version {
	f.t.Helper()
	f.until(convergence, "a controller leads", func() bool { return f.leader() != nil })

	doc := spec(1)
	for i := range manyRoutes {
		timeout := int64(1000 + timeouts[i])
		doc.Routes = append(doc.Routes, tiller.RouteSpec{
			Name: fmt.Sprintf("r-%04d", i), Method: "GET", PathPrefix: fmt.Sprintf("/route-%04d/", i), Service: "casting-board",
			Class: "interactive", Idempotent: true, TimeoutMs: &timeout,
		})
	}

	items, err := encoder.Encode(doc)
	require.NoError(f.t, err)

	leader := f.leader()
	token := f.send(leader, &wire.Edit{
		Id: fmt.Sprintf("edit-%d-%d", f.now, f.token), Base: leader.core.Version().Wire(), Author: "test", Items: items,
	})
	f.until(convergence, "the edit is decided", func() bool { return f.replies[token] != nil })
	require.True(f.t, f.replies[token].GetOutcome().GetAccepted(), f.replies[token].String())

	return tiller.VersionOf(f.replies[token].GetOutcome().GetVersion())
}

// acknowledgement is when an edit was acknowledged.
type acknowledgement struct {
	version tiller.Version
	at      tiller.Millis
}

// lag returns for how long the oldest acknowledged version that a node lacks has been acknowledged.
func lag(now tiller.Millis, m *member, acknowledged []acknowledgement) tiller.Millis {
	for _, a := range acknowledged {
		if a.version.NewerThan(m.core.Version()) {
			return now - a.at
		}
	}

	return 0
}

// storm applies edits one after another and returns how far the last node was behind at worst.
func (f *fleet) storm(edits int, period tiller.Millis) (worst tiller.Millis) {
	timeouts := map[int]int{}

	var acknowledged []acknowledgement

	watch := func(span tiller.Millis) {
		for end := f.now + span; f.now < end; {
			f.run(stepMs)

			for _, m := range f.nodes {
				worst = max(worst, lag(f.now, m, acknowledged))
			}
		}
	}

	for change := range edits {
		timeouts[change*7%manyRoutes] = change + 1
		acknowledged = append(acknowledged, acknowledgement{version: f.editRoutes(timeouts), at: f.now})

		watch(period)
	}

	watch(applyBound + stepMs)

	return worst
}

// fillLinks keeps the links of the nodes that now have some ranks full on the way out.
func (f *fleet) fillLinks(ranks ...int) {
	var full []string

	for _, m := range f.nodes {
		if slices.Contains(ranks, m.core.Rank()) {
			full = append(full, string(m.identity.Address))
		}
	}

	f.work = func() {
		for _, address := range full {
			f.net.Fill(f.now, address, standingQueue)
		}
	}
}

// TestNodeWhoseLinkIsFullAppliesEditsInTime guards against nodes that hear of new versions and cannot ask for them.
func TestNodeWhoseLinkIsFullAppliesEditsInTime(t *testing.T) {
	cases := []struct {
		name  string
		ranks []int
	}{
		{"a relay", []int{0}},
		{"both relays", []int{0, 1}},
		{"nodes without children", []int{5, 6, 7}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := narrowFleet(t, 2, 10)
			f.fillLinks(tc.ranks...)

			worst := f.storm(20, 4*stepMs)

			t.Logf("the last node was %d ms behind at worst", worst)
			require.LessOrEqual(t, worst, applyBound)
		})
	}
}

// TestNodeWhoseLinkIsFullIsNotDeclaredDead guards against live workers that lose their calls since their acknowledgements are dropped.
func TestNodeWhoseLinkIsFullIsNotDeclaredDead(t *testing.T) {
	f := narrowFleet(t, 1, 12)
	f.fillLinks(3, 4)

	for range 30 {
		f.run(tiller.Second)

		for _, m := range f.nodes {
			for _, e := range m.core.Entries() {
				require.NotEqual(t, wire.Liveness_LIVENESS_DEAD, e.GetLiveness(), "%s was declared dead by %s", e.GetName(), m.identity.Name)
			}
		}
	}
}
