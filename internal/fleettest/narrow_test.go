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
	// applyBound is the platform's bound on the time from the acknowledgement of a version until it is in force.
	applyBound = 2 * tiller.Second
	// narrowRate is the bandwidth of a link in bytes per second (1.9 Mbit/s).
	narrowRate = 237_500
	routeCount = 1600
	// datagramQueue is the number of queued bytes above which a link drops datagrams.
	datagramQueue = 32 << 10
	// standingQueue is the number of bytes that calls keep queued at a saturated link, enough for it to drop all datagrams.
	standingQueue = 48 << 10
)

// narrowFleet returns a fleet in which each node has a link of limited bandwidth, with a document of routeCount routes in force.
func narrowFleet(t *testing.T, dataCentres, nodesEach int) *fleet {
	t.Helper()

	f := newFleet(t, dataCentres, nodesEach)
	addresses := make([]string, 0, len(f.nodes))

	for _, n := range f.nodes {
		addresses = append(addresses, string(n.config.Address))
	}

	f.net.SetLink(faultnet.Link{BytesPerSecond: narrowRate, QueueBytes: datagramQueue}, addresses...)

	v := f.editRoutes(map[int]int{})
	f.until(convergenceBound, "the first version is in force", f.inForce(v, everywhere))
	f.run(5 * tiller.Second)

	return f
}

// editRoutes applies a document of routeCount routes and returns the accepted version. Each route has a timeout of 1000 ms plus its entry in
// timeouts, which has the route's number as key.
func (f *fleet) editRoutes(timeouts map[int]int) tiller.Version {
	f.t.Helper()
	f.until(convergenceBound, "a controller leads", func() bool { return f.leader() != nil })

	doc := spec(1)
	for i := range routeCount {
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
	f.until(convergenceBound, "the edit is decided", func() bool { return f.replies[token] != nil })
	require.True(f.t, f.replies[token].GetOutcome().GetAccepted(), f.replies[token].String())

	return tiller.VersionOf(f.replies[token].GetOutcome().GetVersion())
}

// acknowledgement is an acknowledged version and the time of its acknowledgement.
type acknowledgement struct {
	version tiller.Version
	at      tiller.Millis
}

// lag returns the time since the acknowledgement of the oldest acknowledged version that a node lacks, zero if it lacks none.
func lag(now tiller.Millis, n *testNode, acknowledged []acknowledgement) tiller.Millis {
	for _, a := range acknowledged {
		if a.version.NewerThan(n.core.Version()) {
			return now - a.at
		}
	}

	return 0
}

// applyEdits applies edits one after another and returns the largest lag of any node.
func (f *fleet) applyEdits(edits int, period tiller.Millis) (worst tiller.Millis) {
	timeouts := map[int]int{}

	var acknowledged []acknowledgement

	watch := func(span tiller.Millis) {
		for end := f.now + span; f.now < end; {
			f.run(stepMs)

			for _, n := range f.nodes {
				worst = max(worst, lag(f.now, n, acknowledged))
			}
		}
	}

	for change := range edits {
		timeouts[change*7%routeCount] = change + 1
		acknowledged = append(acknowledged, acknowledgement{version: f.editRoutes(timeouts), at: f.now})

		watch(period)
	}

	watch(applyBound + stepMs)

	return worst
}

// fillLinks saturates the outgoing links of the nodes that have one of the given ranks at the time of the call, and keeps them saturated.
func (f *fleet) fillLinks(ranks ...int) {
	var saturated []string

	for _, n := range f.nodes {
		if slices.Contains(ranks, n.core.Rank()) {
			saturated = append(saturated, string(n.config.Address))
		}
	}

	f.beforeStep = func() {
		for _, address := range saturated {
			f.net.FillQueue(f.now, address, standingQueue)
		}
	}
}

// TestNodeWithSaturatedLinkAppliesEditsInTime guards against nodes that receive advertisements of new versions but whose pulls are dropped.
func TestNodeWithSaturatedLinkAppliesEditsInTime(t *testing.T) {
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

			worst := f.applyEdits(20, 4*stepMs)

			t.Logf("largest lag of a node: %d ms", worst)
			require.LessOrEqual(t, worst, applyBound)
		})
	}
}

// TestNodeWithSaturatedLinkIsNotDeclaredDead guards against live workers that are declared dead, and so get no more calls, because their
// acknowledgements of probes are dropped.
func TestNodeWithSaturatedLinkIsNotDeclaredDead(t *testing.T) {
	f := narrowFleet(t, 1, 12)
	f.fillLinks(3, 4)

	for range 30 {
		f.run(tiller.Second)

		for _, n := range f.nodes {
			for _, e := range n.core.Entries() {
				require.NotEqual(t, wire.Liveness_LIVENESS_DEAD, e.GetLiveness(), "%s was declared dead by %s", e.GetName(), n.config.Name)
			}
		}
	}
}
