package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// restoreBound is the time after the restart of a node within which it must know the withdrawals of its previous process. It counts as in
	// touch with the fleet after that.
	restoreBound = 3 * tiller.Second
	// restartDelay is how long a killed process is down.
	restartDelay = tiller.Second / 2
)

func (f *fleet) deliverToController(c *testController, e *wire.Envelope) {
	r, crashes := e.GetWithdrawalSync(), e.GetCrashRecords()
	if r == nil && crashes == nil {
		f.stepController(c, controller.Receive{Envelope: e})

		return
	}

	if !c.up {
		return
	}

	if crashes != nil {
		if record := c.archive.MergeCrashRecords(f.now, crashes.GetRecords()); record != nil {
			c.archiveDisk = append(c.archiveDisk, record)
		}

		return
	}

	c.withdrawalSyncs++

	result := c.archive.Sync(f.now, r, c.core.Voters())
	if stored := c.archive.CrashRecords(f.now); result.Recall && len(stored) > 0 {
		f.net.Send(f.now, &wire.Envelope{From: c.address, To: e.GetFrom(), Body: &wire.Envelope_CrashRecords{
			CrashRecords: &wire.CrashRecords{Records: stored},
		}})
	}

	if result.Record != nil {
		c.archiveDisk = append(c.archiveDisk, result.Record)
	}

	if result.Complete {
		f.net.Send(f.now, &wire.Envelope{From: c.address, To: e.GetFrom(), Body: &wire.Envelope_WithdrawalSyncReply{WithdrawalSyncReply: result.Reply}})
	}
}

// withdraw lets a node report that a start of its backend server leaves, and waits until the node may acknowledge it.
func (f *fleet) withdraw(n *testNode, w detector.Withdrawal) bool {
	f.t.Helper()
	f.stepNode(n, node.Announce{Backend: detector.Backend{
		Service: "casting-board", State: wire.BackendState_BACKEND_STATE_DRAINING, Slots: 10, Connections: 130, Withdrawals: []detector.Withdrawal{w},
	}})
	f.stepNode(n, node.ReplicateEntry{Token: 1})
	f.until(detector.ReplicationTimeout+2*stepMs, "the replication ends", func() bool { return len(n.replicated) > 0 })

	return n.replicated[0].Stored
}

// TestWithdrawalOutlivesRestarts guards against a node that acknowledges that its backend server leaves, is killed, and then takes a late
// announcement of that server for a new one.
func TestWithdrawalOutlivesRestarts(t *testing.T) {
	alone := func(_ *fleet, n *testNode) []*testNode { return []*testNode{n} }
	dataCentre := func(f *fleet, n *testNode) []*testNode {
		return slices.DeleteFunc(slices.Clone(f.nodes), func(o *testNode) bool { return o.config.DataCentre != n.config.DataCentre })
	}
	everyNode := func(f *fleet, _ *testNode) []*testNode { return f.nodes }
	calm := faultnet.Faults{MinDelay: 1, MaxDelay: 20}

	cases := []struct {
		name     string
		faults   faultnet.Faults
		killed   func(f *fleet, n *testNode) []*testNode
		restarts int
		// stepBack is how far the clocks of the killed nodes are set back.
		stepBack tiller.Millis
		// later is the time between the acknowledgement and the kill. The entry is no longer spread by gossip after some seconds.
		later tiller.Millis
	}{
		{"the node alone", calm, alone, 1, 0, 0},
		{"the node alone, later", calm, alone, 1, 0, 10 * tiller.Second},
		{"lossy network", faultnet.Faults{Loss: 0.05, Duplication: 0.1, MinDelay: 1, MaxDelay: 50}, alone, 1, 0, 0},
		{"lossy network, later", faultnet.Faults{Loss: 0.05, Duplication: 0.1, MinDelay: 1, MaxDelay: 50}, alone, 1, 0, 10 * tiller.Second},
		{"two restarts in a row", calm, alone, 2, 0, 0},
		{"two restarts in a row, later", calm, alone, 2, 0, 10 * tiller.Second},
		{"clock set back before the restart", calm, alone, 1, tiller.Hour, 0},
		{"with its whole data centre", calm, dataCentre, 1, 0, 0},
		{"with its whole data centre, later", calm, dataCentre, 1, 0, 10 * tiller.Second},
		{"with every node of the fleet", calm, everyNode, 1, 0, 0},
		{"with every node of the fleet, later", calm, everyNode, 1, 0, 10 * tiller.Second},
		{"with every node of the fleet, twice", calm, everyNode, 2, 0, 0},
		{"with every node of the fleet, clocks set back", calm, everyNode, 1, tiller.Hour, 0},
		{"with every node of the fleet, lossy network", faultnet.Faults{Loss: 0.05, Duplication: 0.1, MinDelay: 1, MaxDelay: 50}, everyNode, 1, 0, 0},
		{"with every node of the other data centres", calm, func(f *fleet, n *testNode) []*testNode {
			return slices.DeleteFunc(slices.Clone(f.nodes), func(o *testNode) bool { return o.config.DataCentre == n.config.DataCentre && o != n })
		}, 1, 0, 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settledFleet(t, 3, 5)
			f.net.SetFaults(tc.faults)

			n := f.nodes[7]
			w := detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}
			require.True(t, f.withdraw(n, w))
			f.run(tc.later)

			killed := tc.killed(f, n)
			for range tc.restarts {
				for _, k := range killed {
					k.up = false
				}

				f.run(restartDelay)

				now := f.now
				f.now -= tc.stepBack

				for _, k := range killed {
					f.startNode(k)
					k.skew = 0
				}

				f.now = now
				f.run(stepMs)
			}

			f.until(restoreBound, "the restarted node knows the withdrawal again", func() bool { return len(n.restored) > 0 })
			require.Equal(t, []detector.Withdrawal{w}, n.restored)
			require.Contains(t, n.core.Self().GetWithdrawals()[0].String(), "i-1")
		})
	}
}

// TestWithdrawalIsRestoredBeforeRecovery guards against a restarted node that uses a server before it has heard that the server was withdrawn.
func TestWithdrawalIsRestoredBeforeRecovery(t *testing.T) {
	for _, seeds := range []bool{true, false} {
		t.Run(fmt.Sprintf("seeds %t", seeds), func(t *testing.T) {
			f, _ := settledFleet(t, 3, 5)
			n := f.nodes[7]
			require.True(t, f.withdraw(n, detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}))

			n.up = false
			f.run(restartDelay)

			if !seeds {
				n.config.Seeds = nil
			}

			f.startNode(n)
			require.False(t, n.core.Recovered())

			took := f.until(detector.RecoveryTimeout, "the node has recovered", n.core.Recovered)
			t.Logf("recovered after %d ms", took)
			require.NotEmpty(t, n.restored)
		})
	}
}

// TestNodesThatRestartTogetherRecoverInTime bounds how long servers may stay unused after a restart of all nodes at once.
func TestNodesThatRestartTogetherRecoverInTime(t *testing.T) {
	for _, seeds := range []bool{true, false} {
		t.Run(fmt.Sprintf("seeds %t", seeds), func(t *testing.T) {
			f, _ := settledFleet(t, 3, 20)
			for _, n := range f.nodes {
				n.up = false
			}

			f.run(restartDelay)

			for _, n := range f.nodes {
				if !seeds {
					n.config.Seeds = nil
				}

				f.startNode(n)
			}

			took := f.until(detector.RecoveryTimeout+2*stepMs, "all nodes have recovered", func() bool {
				return !slices.ContainsFunc(f.nodes, func(n *testNode) bool { return !n.core.Recovered() })
			})
			t.Logf("all nodes had recovered after %d ms", took)
		})
	}
}

// TestWithdrawalIsStoredOutsideTheDataCentreOrNotAcknowledged guards against an acknowledgement that only the node itself remembers.
func TestWithdrawalIsStoredOutsideTheDataCentreOrNotAcknowledged(t *testing.T) {
	w := detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}

	for _, tc := range []struct {
		name   string
		cut    func(from, to string) bool
		stored bool
	}{
		{"no cut", func(string, string) bool { return false }, true},
		{"another data centre is cut off", func(from, to string) bool { return (dataCentreOf(from) == "dc2") != (dataCentreOf(to) == "dc2") }, true},
		{"the data centre is cut off", func(from, to string) bool { return (dataCentreOf(from) == "dc1") != (dataCentreOf(to) == "dc1") }, false},
		{"the node is cut off", func(from, to string) bool { return (from == "dc1/n2") != (to == "dc1/n2") }, false},
		{"messages from the node are lost", func(from, _ string) bool { return from == "dc1/n2" }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settledFleet(t, 3, 5)
			f.net.Partition(tc.cut)
			require.Equal(t, tc.stored, f.withdraw(f.nodes[7], w))
		})
	}

	t.Run("a fleet of one node", func(t *testing.T) {
		f := newFleet(t, 1, 1)
		require.True(t, f.withdraw(f.nodes[0], w))
	})
}

// TestWithdrawalsAreBounded guards against entries that grow with every server that has left.
func TestWithdrawalsAreBounded(t *testing.T) {
	f, _ := settledFleet(t, 1, 4)
	n := f.nodes[2]

	var ws []detector.Withdrawal
	for i := range int64(50) {
		ws = append(ws, detector.Withdrawal{Instance: fmt.Sprintf("i-%d", i), StartedAtMs: i, Sequence: detector.AllSequences})
	}

	f.stepNode(n, node.Announce{Backend: detector.Backend{Service: "casting-board", Withdrawals: ws}})

	own := n.core.Self().GetWithdrawals()
	require.Len(t, own, 8)
	require.Equal(t, "i-49", own[7].GetInstance(), "the latest are kept")
}

// TestWithdrawalOutlivesAPowerLoss guards against a withdrawal that is forgotten when nodes and controllers lose power together.
func TestWithdrawalOutlivesAPowerLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lostDisk is the index of the controller that returns with an empty disk, negative if all keep theirs.
		lostDisk int
		// controllersDown is how much longer than the nodes the controllers are down.
		controllersDown tiller.Millis
	}{
		{"all return together", -1, 0},
		{"the controllers return later", -1, 4 * tiller.Second},
		{"a controller loses its disk", 0, 0},
		{"another controller loses its disk", 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settledFleet(t, 3, 5)
			n := f.nodes[7]
			w := detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}
			require.True(t, f.withdraw(n, w))
			require.True(t, n.replicated[0].Archived)

			for _, c := range f.controllers {
				c.up = false
			}

			for _, o := range f.nodes {
				o.up = false
			}

			f.run(restartDelay)

			for _, o := range f.nodes {
				f.startNode(o)
			}

			f.run(tc.controllersDown)

			for i, c := range f.controllers {
				if i == tc.lostDisk {
					f.loseDisk(c)
				} else {
					f.startController(c)
				}
			}

			f.until(restoreBound, "the restarted node knows the withdrawal again", func() bool { return len(n.restored) > 0 })
			require.Equal(t, []detector.Withdrawal{w}, n.restored)
		})
	}
}

// TestWithdrawalIsAcknowledgedWithoutControllers guards against a server that waits for its acknowledgement as long as controllers are out of reach.
func TestWithdrawalIsAcknowledgedWithoutControllers(t *testing.T) {
	f, _ := settledFleet(t, 3, 5)
	n := f.nodes[7]
	toController := func(from, to string) bool { return strings.Contains(from, "/c") || strings.Contains(to, "/c") }

	f.net.Partition(toController)

	began := f.now
	require.True(t, f.withdraw(n, detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}))
	require.False(t, n.replicated[0].Archived)
	require.LessOrEqual(t, f.now-began, node.ArchiveTimeout+2*stepMs)

	f.net.Partition(func(string, string) bool { return false })
	f.until(restoreBound, "the controllers store the withdrawal", func() bool {
		for _, c := range f.controllers {
			if len(c.archive.List(f.now, n.config.Name)) == 0 {
				return false
			}
		}

		return true
	})
}

// TestStartedNodesAskTheControllersInTime bounds how long servers may stay unused after a restart of all nodes, and the messages to a controller.
func TestStartedNodesAskTheControllersInTime(t *testing.T) {
	f, _ := settledFleet(t, 3, 20)
	for _, n := range f.nodes {
		n.up = false
	}

	f.run(restartDelay)

	for _, c := range f.controllers {
		c.withdrawalSyncs = 0
	}

	for _, n := range f.nodes {
		f.startNode(n)
	}

	took := f.until(detector.RecoveryTimeout, "all nodes have recovered", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *testNode) bool { return !n.core.Recovered() || !n.core.ControllersAnswered() })
	})
	t.Logf("all nodes had recovered after %d ms", took)

	f.run(5 * tiller.Second)

	for _, c := range f.controllers {
		require.LessOrEqual(t, c.withdrawalSyncs, len(f.nodes), "a node asks each controller once")
	}
}
