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
	// detectionBound is the time within which a change of membership must reach every node.
	detectionBound = 12 * tiller.Second
	// drainBound is the time within which the nodes of a data centre must stop routing to a draining worker.
	drainBound = 3 * tiller.Second
)

// hasRoute reports whether a worker is a candidate in a node's routing table.
func hasRoute(n *testNode, worker string) bool {
	location := tiller.NewLocation(n.config.DataCentre, n.config.Service, tiller.Worker(n.config.Name))
	table := forwarder.NewTable(n.core.Version(), n.core.Document(), location, n.core.Entries())

	for _, c := range table.Candidates("casting-board") {
		if c.Backend().Worker() == tiller.Worker(worker) {
			return true
		}
	}

	return false
}

// routedBy returns a condition on all running nodes that the filter selects, except the worker's own: either each of them has a route to the
// worker, or, if want is false, none has.
func (f *fleet) routedBy(worker string, want bool, where func(*testNode) bool) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.up && n.config.Name != worker && where(n) && hasRoute(n, worker) != want {
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
		{"reliable network", faultnet.Faults{MinDelay: 1, MaxDelay: 20}},
		{"lossy network", faultnet.Faults{Loss: 0.05, Duplication: 0.1, MinDelay: 1, MaxDelay: 100}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settledFleet(t, 3, 8)
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
	f, _ := settledFleet(t, 1, 20)
	f.net.SetFaults(faultnet.Faults{Loss: 0.1, MinDelay: 1, MaxDelay: 50})

	for range 60 {
		f.run(tiller.Second)

		for _, n := range f.nodes {
			require.Equal(t, wire.Liveness_LIVENESS_ALIVE, n.core.Self().GetLiveness())

			for _, e := range n.core.Entries() {
				require.NotEqual(t, wire.Liveness_LIVENESS_DEAD, e.GetLiveness(), "%s was declared dead by %s", e.GetName(), n.config.Name)
			}
		}
	}
}

func TestDrainIsKnownWithinItsBound(t *testing.T) {
	f, _ := settledFleet(t, 3, 20)
	f.until(detectionBound, "every node routes to the worker", f.routedBy("n0-5", true, everywhere))
	f.stepNode(f.nodes[5], node.Announce{Backend: detector.Backend{
		Service: "casting-board", State: wire.BackendState_BACKEND_STATE_DRAINING, Slots: 10, Connections: 130,
	}})

	took := f.until(drainBound, "no node of the data centre routes to the draining worker", f.routedBy("n0-5", false, inDataCentre("dc0")))
	t.Logf("drain was known in the data centre after %d ms", took)
	f.until(detectionBound, "no node anywhere routes to it", f.routedBy("n0-5", false, everywhere))
}

// TestRestartWithLowerIncarnationIsAccepted guards against peers that ignore a restarted node because its clock was set back: its incarnation
// is then lower than that of its previous start.
func TestRestartWithLowerIncarnationIsAccepted(t *testing.T) {
	f, _ := settledFleet(t, 1, 6)
	n := f.nodes[2]
	before := n.core.Self().GetIncarnation()

	n.up = false
	f.run(2 * tiller.Second)

	// The VM's clock is set back by an hour before the restart.
	now := f.now
	f.now -= tiller.Hour
	f.startNode(n)
	f.now = now
	n.skew = 0

	f.until(detectionBound, "the node corrects its incarnation", func() bool { return n.core.Self().GetIncarnation() > before })
	f.until(detectionBound, "its peers route to it", f.routedBy(n.config.Name, true, everywhere))
}

func TestPartitionedDataCentreKeepsItsOwnMembership(t *testing.T) {
	f, _ := settledFleet(t, 3, 6)
	f.isolate("dc1")
	f.run(tiller.Minute)
	f.until(detectionBound, "routes inside the partition stay", f.routedBy("n1-2", true, inDataCentre("dc1")))

	f.nodes[6+2].up = false
	f.until(detectionBound, "a failure inside the partition is detected there", f.routedBy("n1-2", false, inDataCentre("dc1")))

	f.net.Partition(nil)
	f.until(2*detectionBound, "the failure is known everywhere after the partition has healed", f.routedBy("n1-2", false, everywhere))
}

func TestPartitionInsideADataCentreHeals(t *testing.T) {
	f, _ := settledFleet(t, 1, 8)
	half := func(a string) bool { return a < "dc0/n4" }
	f.net.Partition(func(from, to string) bool { return half(from) != half(to) })
	f.run(tiller.Minute)
	require.False(t, hasRoute(f.nodes[0], "n0-7"))

	f.net.Partition(nil)
	f.until(3*detectionBound, "both halves route to each other again", f.routedBy("n0-7", true, everywhere))
}

func TestNoRouteToAnUnknownService(t *testing.T) {
	f, _ := settledFleet(t, 1, 3)
	undeclared := f.nodes[1]
	f.stepNode(undeclared, node.Announce{Backend: detector.Backend{
		Service: "not-declared", State: wire.BackendState_BACKEND_STATE_READY, Slots: 1, Connections: 1,
	}})
	f.until(detectionBound, "the worker of an undeclared service has no route", f.routedBy(undeclared.config.Name, false, everywhere))

	peer := f.nodes[0]
	location := tiller.NewLocation(peer.config.DataCentre, peer.config.Service, tiller.Worker(peer.config.Name))
	table := forwarder.NewTable(peer.core.Version(), peer.core.Document(), location, peer.core.Entries())
	require.Empty(t, table.Candidates("not-declared"))
}

// TestStaleMessageDoesNotRestoreANodeThatLeft guards against a delayed table push with an entry from before the node left.
func TestStaleMessageDoesNotRestoreANodeThatLeft(t *testing.T) {
	f, _ := settledFleet(t, 1, 6)
	left := f.nodes[4]
	stale := left.core.Self()
	f.stepNode(left, node.Leave{})
	left.up = false

	f.until(detectionBound, "no node routes to the worker that left", f.routedBy(left.config.Name, false, everywhere))
	f.net.Send(f.now, &wire.Envelope{From: "dc0/n0", To: "dc0/n1", Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
		Entries: []*wire.NodeEntry{stale}, DataCentre: "dc0",
	}}})
	f.run(3 * tiller.Second)
	require.True(t, f.routedBy(left.config.Name, false, everywhere)())
}

func TestIdleControlTraffic(t *testing.T) {
	perNode := func(nodesEach int) float64 {
		f, _ := settledFleet(t, 1, nodesEach)
		f.run(10 * tiller.Second)

		before := f.net.Bytes("dc0/n1")
		f.run(20 * tiller.Second)

		return float64(f.net.Bytes("dc0/n1")-before) / 20
	}

	small, large := perNode(10), perNode(60)
	t.Logf("idle control traffic in bytes per second and node: %.0f with 10 nodes, %.0f with 60", small, large)
	require.Less(t, large, 22_000.0)
	require.Less(t, large, 3*small+200, "traffic per node must not grow with the data centre")
}
