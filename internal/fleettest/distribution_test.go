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
		// disrupt injects a fault after the edit was accepted.
		disrupt func(f *fleet)
	}{
		{"reliable network", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(*fleet) {}},
		{"delayed, duplicated and lost messages", faultnet.Faults{Loss: 0.2, Duplication: 0.2, MinDelay: 1, MaxDelay: 800}, func(*fleet) {}},
		{"relays fail during the fan-out", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(f *fleet) {
			f.run(2 * stepMs)

			for _, n := range f.nodes {
				if n.core.Rank() < subscriber.RelaysPerDataCentre {
					n.up = false
				}
			}
		}},
		{"the leader fails right after the answer", faultnet.Faults{MinDelay: 1, MaxDelay: 20}, func(f *fleet) { f.leader().up = false }},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := settledFleet(t, 3, 12)
			f.net.SetFaults(tc.faults)
			v := f.edit(2)
			tc.disrupt(f)
			f.until(convergenceBound, "the edit is in force everywhere", f.inForce(v, everywhere))
		})
	}
}

func TestPartitionedDataCentreKeepsItsVersionAndRestartsFromIt(t *testing.T) {
	f, first := settledFleet(t, 3, 6)
	f.isolate("dc2")

	second := f.edit(2)
	f.until(convergenceBound, "the edit is in force outside the partition", f.inForce(second, outsideDataCentre("dc2")))
	f.until(subscriber.LeasePeriod+convergenceBound, "the partitioned nodes are unconfirmed", func() bool {
		return !f.nodes[len(f.nodes)-1].core.Confirmed()
	})

	restarted := f.nodes[len(f.nodes)-1]
	f.startNode(restarted)
	f.until(convergenceBound, "a node restarted in the partition has the old version", func() bool { return restarted.core.Version() == first })
	require.False(t, restarted.core.Confirmed())

	f.net.Partition(nil)
	f.until(convergenceBound, "the partitioned nodes catch up", f.inForce(second, everywhere))
	f.until(convergenceBound, "the restarted node is confirmed again", restarted.core.Confirmed)
}

// TestVersionBypassesPartialPartition cuts a data centre off from all others but one, through which it must receive new versions.
func TestVersionBypassesPartialPartition(t *testing.T) {
	f, _ := settledFleet(t, 4, 5)
	f.net.Partition(func(from, to string) bool {
		a, b := dataCentreOf(from), dataCentreOf(to)

		return (a == "dc2" && b != "dc2" && b != "dc3") || (b == "dc2" && a != "dc2" && a != "dc3")
	})

	v := f.edit(2)
	f.until(2*convergenceBound, "the version reaches the partitioned data centre through the connected one", f.inForce(v, everywhere))
}

func TestIsolatedControllerServesButDoesNotConfirm(t *testing.T) {
	f, first := settledFleet(t, 3, 4)
	isolated := f.leader()
	f.net.Partition(func(from, to string) bool {
		return (from == isolated.address || to == isolated.address) && dataCentreOf(from) != dataCentreOf(to)
	})
	f.run(5 * tiller.Minute)

	require.False(t, isolated.core.HoldsLease(f.now))

	token := f.send(isolated, f.newEdit(first, 2))
	require.Equal(t, tiller.VerdictNotRun.String(), f.replies[token].GetVerdict())

	second := f.edit(3)
	f.until(convergenceBound, "the edit is in force", f.inForce(second, everywhere))

	f.net.Partition(nil)
	f.run(5 * tiller.Second)
	require.Equal(t, second, isolated.core.Version())
}

func TestSimultaneousRestartDoesNotOverwhelmControllers(t *testing.T) {
	const nodesEach = 100

	f, first := settledFleet(t, 3, nodesEach)
	f.pulls = map[tiller.Millis]int{}

	for _, n := range f.nodes {
		f.startNode(n)
	}

	took := f.until(2*convergenceBound, "all nodes have the version again", f.inForce(first, everywhere))
	peak := 0

	for _, n := range f.pulls {
		peak = max(peak, n)
	}

	t.Logf("300 nodes have the version again after %d ms; at most %d pulls per second at three controllers", took, peak)
	require.LessOrEqual(t, took, convergenceBound)
}

func TestAdmissionControlRefusesExcessPullsWithRetryTime(t *testing.T) {
	f, _ := settledFleet(t, 1, 2)
	leader := f.leader()
	busy := 0

	for i := range 3 * controller.FullVersionsBurst {
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

	require.GreaterOrEqual(t, busy, controller.FullVersionsBurst)
	require.Less(t, busy, 3*controller.FullVersionsBurst)
}

// TestPullWaitsForAdvisedRetryTime answers a relay's pulls with Busy and checks that none follows before the advised time.
func TestPullWaitsForAdvisedRetryTime(t *testing.T) {
	f, first := settledFleet(t, 1, 1)
	relay := f.nodes[0]
	newer := tiller.NewVersion(1, first.Index()+50, []byte("0123456789abcdef"))
	pulls := 0
	step := func(input node.Input) {
		f.now += stepMs
		for _, m := range relay.core.Step(f.now, input).Messages {
			if m.GetPull() != nil {
				pulls++
			}
		}
	}
	receive := func(e *wire.Envelope) {
		e.From, e.To = "dc0/c0", string(relay.config.Address)
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

func TestNodeBackAfterManyChangesCatchesUpByOneDelta(t *testing.T) {
	const changes = 500

	f, _ := settledFleet(t, 2, 3)
	away := f.nodes[5]
	f.net.Partition(func(from, to string) bool {
		return from == string(away.config.Address) || to == string(away.config.Address)
	})

	var last tiller.Version

	for i := range changes {
		last = f.edit(i + 10)
	}

	f.until(convergenceBound, "the other nodes have the last version", f.inForce(last, func(n *testNode) bool { return n != away }))
	f.net.Partition(nil)

	applied := 0
	f.until(convergenceBound, "the node catches up", func() bool {
		if away.core.Version() != away.lastVersion {
			applied++
		}

		return away.core.Version() == last
	})
	require.LessOrEqual(t, applied, 1, "a returning node must not apply the versions in between")
}

// TestInvalidDeltaIsRejected sends deltas that no correct peer sends. The node must keep its version and accept the next valid one.
func TestInvalidDeltaIsRejected(t *testing.T) {
	cases := []struct {
		name  string
		forge func(next tiller.Version, items []*wire.Item) *wire.Difference
	}{
		{"content does not match the hash", func(next tiller.Version, items []*wire.Item) *wire.Difference {
			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: items[:1]}
		}},
		{"delta for another base", func(next tiller.Version, items []*wire.Item) *wire.Difference {
			return &wire.Difference{Base: tiller.NewVersion(1, 1, []byte("other")).Wire(), Target: next.Wire(), Upserts: items[:1]}
		}},
		{"complete but invalid", func(next tiller.Version, _ []*wire.Item) *wire.Difference {
			items := []*wire.Item{{Path: "default/no_such_setting", Value: []byte("1")}}

			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: items}
		}},
		{"items that cannot be decoded", func(next tiller.Version, _ []*wire.Item) *wire.Difference {
			return &wire.Difference{Target: next.Wire(), Whole: true, Upserts: []*wire.Item{{Path: "route/x", Value: []byte("{")}}}
		}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, first := settledFleet(t, 1, 4)
			victim := f.nodes[3]
			next := tiller.NewVersion(1, first.Index()+1000, []byte("forged hash 0123"))
			f.net.Send(f.now, &wire.Envelope{
				From: "dc0/n0", To: string(victim.config.Address),
				Body: &wire.Envelope_Difference{Difference: tc.forge(next, victim.core.Items())},
			})
			f.run(2 * tiller.Second)
			require.Equal(t, first, victim.core.Version())

			v := f.edit(2)
			f.until(convergenceBound, "the next version is in force", f.inForce(v, everywhere))
		})
	}
}

func TestEditConvergesDespiteClockJumps(t *testing.T) {
	f, _ := settledFleet(t, 2, 5)
	f.nodes[1].skew = -tiller.Hour
	f.nodes[7].skew = tiller.Hour
	f.run(10 * tiller.Second)

	v := f.edit(2)
	f.until(convergenceBound, "the edit is in force everywhere", f.inForce(v, everywhere))
}

func TestControllersReceiveOneReportPerDataCentre(t *testing.T) {
	f, v := settledFleet(t, 3, 10)
	unreachable := f.nodes[4]
	unreachable.up = false

	f.run(5 * tiller.Second)

	reports := 0

	for range 20 {
		f.now += stepMs
		for _, e := range f.net.Due(f.now) {
			if e.GetDataCentreReport() != nil && e.GetTo() == "dc0/c0" {
				reports++
			}
		}

		for _, n := range f.nodes {
			f.stepNode(n, tickOf(f))
		}
	}

	require.InDelta(t, 3, reports, 2, "one report per second and data centre")
	f.run(3 * tiller.Second)

	for _, r := range f.leader().core.Status(f.now).GetReports() {
		require.Len(t, r.GetCounts(), 1)
		require.Equal(t, v, tiller.VersionOf(r.GetCounts()[0].GetVersion()))

		if r.GetDataCentre() == string(unreachable.config.DataCentre) {
			require.Equal(t, uint32(1), r.GetUnreachable())
			require.Equal(t, uint32(9), r.GetNodes())
		}
	}
}

// TestEditsConvergeInTimeDespiteMessageLoss applies edits one after another while a tenth of all messages is lost, as on saturated links.
// The bound is the platform's for an acknowledged version to be in force.
func TestEditsConvergeInTimeDespiteMessageLoss(t *testing.T) {
	const bound = 2 * tiller.Second

	f, _ := settledFleet(t, 4, 25)
	f.net.SetFaults(faultnet.Faults{Loss: 0.1, MinDelay: 1, MaxDelay: 20})

	slowest := tiller.Millis(0)

	for change := 2; change < 32; change++ {
		v := f.edit(change)
		slowest = max(slowest, f.until(convergenceBound, "the edit is in force everywhere", f.inForce(v, everywhere)))
	}

	t.Logf("slowest of 30 edits was in force everywhere after %d ms", slowest)
	require.LessOrEqual(t, slowest, bound)
}

// TestEditRightAfterAllControllersRestartedIsInForceInTime takes all controllers away for a while, as a loss of power does, and applies an edit
// as soon as one leads again. They know no relay until it pulls, so the relays must not have backed off for longer than the bound.
func TestEditRightAfterAllControllersRestartedIsInForceInTime(t *testing.T) {
	const (
		bound       = 2 * tiller.Second
		dataCentres = 4
	)

	for _, outage := range []tiller.Millis{1200, 6000, 30_000} {
		f, _ := settledFleet(t, dataCentres, 8)
		slowest := tiller.Millis(0)

		for change := 2; change < 32; change++ {
			for _, c := range f.controllers {
				c.up = false
			}

			f.run(outage)

			for _, c := range f.controllers {
				f.startController(c)
			}

			v := f.edit(change)
			slowest = max(slowest, f.until(convergenceBound, "the edit is in force everywhere", f.inForce(v, everywhere)))
		}

		t.Logf("outage of %d ms: the slowest of 30 edits was in force everywhere after %d ms", outage, slowest)
		require.LessOrEqual(t, slowest, bound, "outage of %d ms", outage)
	}
}
