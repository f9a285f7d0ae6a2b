package fleettest

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	detectionBound = 12 * tiller.Second
	drainBound     = 3 * tiller.Second
)

// routes reports whether a node's table has a worker as a candidate.
func routes(m *member, worker string) bool {
	place := tiller.NewPlace(m.identity.DataCentre, m.identity.Service, tiller.Worker(m.identity.Name))
	table := forwarder.NewTable(m.core.Version(), m.core.Document(), place, m.core.Entries())

	for _, c := range table.Candidates("casting-board") {
		if c.Backend().Worker() == tiller.Worker(worker) {
			return true
		}
	}

	return false
}

func (f *fleet) routedBy(worker string, want bool, where func(*member) bool) func() bool {
	return func() bool {
		for _, m := range f.nodes {
			if m.up && m.identity.Name != worker && where(m) && routes(m, worker) != want {
				return false
			}
		}

		return true
	}
}

func TestDeadNodeLosesItsRoutesEverywhere(t *testing.T) {
	cases := []struct {
		name   string
		faults faultnet.Faults
	}{
		{"quiet network", faultnet.Faults{MinDelay: 1, MaxDelay: 20}},
		{"lossy network", faultnet.Faults{Loss: 0.05, Double: 0.1, MinDelay: 1, MaxDelay: 100}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settled(t, 3, 8)
			f.net.SetFaults(tc.faults)
			f.until(detectionBound, "every node routes to every worker", f.routedBy("n1-3", true, everywhere))

			f.nodes[8+3].up = false
			f.until(detectionBound+8*detector.ProbePeriod, "no node routes to the dead worker", f.routedBy("n1-3", false, everywhere))

			f.startNode(f.nodes[8+3])
			f.until(detectionBound, "every node routes to the restarted worker", f.routedBy("n1-3", true, everywhere))
		})
	}
}

func TestLossDoesNotKillLiveNodes(t *testing.T) {
	f, _ := settled(t, 1, 20)
	f.net.SetFaults(faultnet.Faults{Loss: 0.1, MinDelay: 1, MaxDelay: 50})

	for range 60 {
		f.run(tiller.Second)

		for _, m := range f.nodes {
			require.Equal(t, wire.Liveness_LIVENESS_ALIVE, m.core.Self().GetLiveness())

			for _, e := range m.core.Entries() {
				require.NotEqual(t, wire.Liveness_LIVENESS_DEAD, e.GetLiveness(), "%s was declared dead by %s", e.GetName(), m.identity.Name)
			}
		}
	}
}

func TestDrainSpreadsAtOnce(t *testing.T) {
	f, _ := settled(t, 3, 20)
	f.until(detectionBound, "every node routes to the worker", f.routedBy("n0-5", true, everywhere))
	f.stepNode(f.nodes[5], node.Announce{Backend: detector.Backend{
		Service: "casting-board", State: wire.BackendState_BACKEND_STATE_DRAINING, Slots: 10, Connections: 130,
	}})

	took := f.until(drainBound, "no node of the data centre routes to the draining worker", f.routedBy("n0-5", false, in("dc0")))
	t.Logf("drain known in the data centre after %d ms", took)
	f.until(detectionBound, "no node anywhere routes to it", f.routedBy("n0-5", false, everywhere))
}

func TestRestartWithASmallerIncarnationIsStillBelieved(t *testing.T) {
	f, _ := settled(t, 1, 6)
	m := f.nodes[2]
	before := m.core.Self().GetIncarnation()

	m.up = false
	f.run(2 * tiller.Second)

	// The VM's clock went back by an hour before the restart.
	now := f.now
	f.now -= tiller.Hour
	f.startNode(m)
	f.now = now
	m.skew = 0

	f.until(detectionBound, "the node corrects its incarnation", func() bool { return m.core.Self().GetIncarnation() > before })
	f.until(detectionBound, "the others route to it", f.routedBy(m.identity.Name, true, everywhere))
}

func TestCutDataCentreKeepsItsOwnMembership(t *testing.T) {
	f, _ := settled(t, 3, 6)
	f.cutOff("dc1")
	f.run(tiller.Minute)
	f.until(detectionBound, "routes inside the cut stay", f.routedBy("n1-2", true, in("dc1")))

	f.nodes[6+2].up = false
	f.until(detectionBound, "a death inside the cut is noticed inside", f.routedBy("n1-2", false, in("dc1")))

	f.net.Cut(nil)
	f.until(2*detectionBound, "and outside after the cut heals", f.routedBy("n1-2", false, everywhere))
}

func TestSplitInsideADataCentreHeals(t *testing.T) {
	f, _ := settled(t, 1, 8)
	half := func(a string) bool { return a < "dc0/n4" }
	f.net.Cut(func(from, to string) bool { return half(from) != half(to) })
	f.run(tiller.Minute)
	require.False(t, routes(f.nodes[0], "n0-7"))

	f.net.Cut(nil)
	f.until(3*detectionBound, "both halves know each other again", f.routedBy("n0-7", true, everywhere))
}

func TestNoRouteToAnUnknownService(t *testing.T) {
	f, _ := settled(t, 1, 3)
	stranger := f.nodes[1]
	f.stepNode(stranger, node.Announce{Backend: detector.Backend{
		Service: "not-declared", State: wire.BackendState_BACKEND_STATE_READY, Slots: 1, Connections: 1,
	}})
	f.until(detectionBound, "the worker of an undeclared service has no route", f.routedBy(stranger.identity.Name, false, everywhere))

	known := f.nodes[0]
	place := tiller.NewPlace(known.identity.DataCentre, known.identity.Service, tiller.Worker(known.identity.Name))
	table := forwarder.NewTable(known.core.Version(), known.core.Document(), place, known.core.Entries())
	require.Empty(t, table.Candidates("not-declared"))
}

func TestOldMessageDoesNotBringAGoneServerBack(t *testing.T) {
	f, _ := settled(t, 1, 6)
	gone := f.nodes[4]
	old := gone.core.Self()
	f.stepNode(gone, node.Leave{})
	gone.up = false

	f.until(detectionBound, "no node routes to the worker that left", f.routedBy(gone.identity.Name, false, everywhere))
	f.net.Send(f.now, &wire.Envelope{From: "dc0/n0", To: "dc0/n1", Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
		Entries: []*wire.NodeEntry{old}, DataCentre: "dc0",
	}}})
	f.run(3 * tiller.Second)
	require.True(t, f.routedBy(gone.identity.Name, false, everywhere)())
}

func TestTrafficAtRest(t *testing.T) {
	perNode := func(nodesEach int) float64 {
		f, _ := settled(t, 1, nodesEach)
		f.run(10 * tiller.Second)

		before := f.net.Bytes("dc0/n1")
		f.run(20 * tiller.Second)

		return float64(f.net.Bytes("dc0/n1")-before) / 20
	}

	small, large := perNode(10), perNode(60)
	t.Logf("bytes a second and node at rest: %.0f with 10 nodes, %.0f with 60", small, large)
	require.Less(t, large, 22_000.0)
	require.Less(t, large, 3*small+200, "traffic a node must not grow with the data centre")
}
