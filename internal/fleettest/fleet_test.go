// Package fleettest runs the cores of controllers and nodes together in virtual time, injects faults into their network and checks the
// guarantees about configuration after every step.
package fleettest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/archiver"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	stepMs           = tiller.Millis(50)
	convergenceBound = 16 * tiller.Second
)

// testController is a controller and what it has written to its disk.
type testController struct {
	address string
	core    *controller.Core
	disk    replicator.RestoredState
	// archive holds what the controller stores for nodes, and archiveDisk what it has written to its disk.
	archive     *archiver.Core
	archiveDisk []*wire.ArchiveRecord
	// withdrawalSyncs counts the requests of nodes.
	withdrawalSyncs int
	// lostDisks is how many disks the controller has lost; each has an identity of its own.
	lostDisks int
	up        bool
}

// testNode is a node with its version after the previous step and the offset of its clock from that of the fleet.
type testNode struct {
	config      node.Config
	core        *node.Core
	up          bool
	lastVersion tiller.Version
	skew        tiller.Millis
	// crashRecords are those that the node knows.
	crashRecords *quarantiner.Registry
	// restored and replicated are what the node's steps have returned since its start.
	restored   []detector.Withdrawal
	replicated []detector.Replication
}

// fleet runs controllers and nodes in virtual time and checks their state after every step.
type fleet struct {
	t           *testing.T
	net         *faultnet.Net
	now         tiller.Millis
	controllers []*testController
	nodes       []*testNode
	replies     map[uint64]*wire.ApplyReply
	token       uint64
	starts      uint64
	// acceptedHashes holds the content hash of every accepted version by its position in the log.
	acceptedHashes map[string]string
	// pulls counts the pulls that reach the controllers in each second.
	pulls map[tiller.Millis]int
	// beforeStep is called before each step unless it is nil.
	beforeStep func()
}

// newFleet starts three controllers and a number of nodes in each data centre.
func newFleet(t *testing.T, dataCentres, nodesEach int) *fleet {
	t.Helper()

	f := &fleet{
		t: t, now: 1_000_000, net: faultnet.New(7, faultnet.Faults{MinDelay: 1, MaxDelay: 20}),
		replies: map[uint64]*wire.ApplyReply{}, acceptedHashes: map[string]string{}, pulls: map[tiller.Millis]int{},
	}

	for i := range 3 {
		f.addController(i)
	}

	for dc := range dataCentres {
		for i := range nodesEach {
			f.addNode(dc, i)
		}
	}

	return f
}

func (f *fleet) addController(i int) {
	c := &testController{address: fmt.Sprintf("dc%d/c%d", i, i)}

	if i == 0 {
		data, err := arbiter.New(1).Encode()
		require.NoError(f.t, err)

		c.disk.Snapshot = replicator.Bootstrap("cluster", data, f.controllerMember(c))
		c.disk.HardState = &wire.HardState{Term: 1}
	}

	f.controllers = append(f.controllers, c)
	f.startController(c)
}

func (f *fleet) controllerMember(c *testController) *wire.Member {
	return &wire.Member{Id: fmt.Sprintf("%s-disk%d", c.address, c.lostDisks), Name: c.address, Address: c.address}
}

// loseDisk starts a controller again with an empty disk.
func (f *fleet) loseDisk(c *testController) {
	c.disk = replicator.RestoredState{}
	c.archiveDisk = nil
	c.lostDisks++
	f.startController(c)
}

func (f *fleet) startController(c *testController) {
	f.starts++

	var err error

	c.core, err = controller.New(f.controllerMember(c), []tiller.Address{"dc0/c0", "dc1/c1", "dc2/c2"}, replicator.NewTiming(100),
		rand.New(rand.NewPCG(f.starts, 1)), c.disk)
	require.NoError(f.t, err)

	c.archive = archiver.New()
	c.archive.Load(f.now, c.archiveDisk)

	c.up = true
}

// addNode adds the node with index i in data centre dc and starts it.
func (f *fleet) addNode(dc, i int) {
	f.nodes = append(f.nodes, &testNode{config: node.Config{
		Name: fmt.Sprintf("n%d-%d", dc, i), DataCentre: tiller.DataCentre(fmt.Sprintf("dc%d", dc)),
		Address: tiller.Address(fmt.Sprintf("dc%d/n%d", dc, i)), CallAddress: tiller.Address(fmt.Sprintf("dc%d/n%d/call", dc, i)),
		Service: "casting-board", Controllers: []tiller.Address{"dc0/c0", "dc1/c1", "dc2/c2"},
		Seeds: []tiller.Address{"dc0/n0", "dc1/n0", tiller.Address(fmt.Sprintf("dc%d/n1", dc))},
	}})
	f.startNode(f.nodes[len(f.nodes)-1])
}

func (f *fleet) startNode(n *testNode) {
	f.starts++
	n.crashRecords = quarantiner.NewRegistry()
	n.core = node.New(n.config, uint64(f.now)+f.starts, n.crashRecords, rand.New(rand.NewPCG(f.starts, 2)))
	n.up = true
	n.lastVersion = tiller.Version{}
	n.restored, n.replicated = nil, nil
	f.stepNode(n, node.Announce{Backend: detector.Backend{
		Service: "casting-board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 10, Connections: 130,
	}})
}

func (f *fleet) stepController(c *testController, input controller.Input) {
	if !c.up {
		return
	}

	e := c.core.Step(f.now, input)
	if e.Record != nil {
		journaler.ApplyRecord(&c.disk, e.Record)
	}

	if e.Snapshot != nil {
		c.disk = replicator.RestoredState{Snapshot: e.Snapshot, HardState: c.core.HardState(), Entries: c.core.Tail()}
	}

	f.net.Send(f.now, e.Messages...)

	for _, r := range e.Replies {
		f.replies[r.Token()] = r.Message()
	}

	for _, event := range e.Events {
		if event.Kind() == tiller.EventAccepted {
			f.recordAccepted(event.Version())
		}
	}
}

// recordAccepted records an accepted version and checks that no other document was accepted at its position in the log.
func (f *fleet) recordAccepted(v tiller.Version) {
	position := fmt.Sprintf("%d.%d", v.Generation(), v.Index())
	if old, ok := f.acceptedHashes[position]; ok {
		require.Equal(f.t, old, string(v.Hash()), "two documents at %s", position)
	}

	f.acceptedHashes[position] = string(v.Hash())
}

func (f *fleet) stepNode(n *testNode, input node.Input) {
	if !n.up {
		return
	}

	e := n.core.Step(f.now+n.skew, input)
	n.restored = append(n.restored, e.Restored...)
	n.replicated = append(n.replicated, e.Replicated...)
	f.net.Send(f.now, e.Messages...)
	f.checkNode(n)
}

// checkNode checks that the node's version has not decreased, was accepted and is complete.
func (f *fleet) checkNode(n *testNode) {
	v := n.core.Version()
	require.False(f.t, n.lastVersion.NewerThan(v), "%s moved back from %s to %s", n.config.Name, n.lastVersion, v)

	if v != n.lastVersion {
		accepted, ok := f.acceptedHashes[fmt.Sprintf("%d.%d", v.Generation(), v.Index())]
		require.True(f.t, ok, "%s has installed %s, which was never accepted", n.config.Name, v)
		require.Equal(f.t, accepted, string(encoder.Hash(n.core.Items())), "the items of %s do not match version %s", n.config.Name, v)
	}

	n.lastVersion = v
}

// run advances the virtual time in steps, and delivers messages and ticks in each.
func (f *fleet) run(span tiller.Millis) {
	for end := f.now + span; f.now < end; f.now += stepMs {
		if f.beforeStep != nil {
			f.beforeStep()
		}

		f.deliver()

		for _, c := range f.controllers {
			f.stepController(c, controller.Tick{})
		}

		for _, n := range f.nodes {
			f.stepNode(n, node.Tick{Wall: f.now})
		}
	}
}

func (f *fleet) deliver() {
	controllers := map[string]*testController{}
	for _, c := range f.controllers {
		controllers[c.address] = c
	}

	nodes := map[string]*testNode{}
	for _, n := range f.nodes {
		nodes[string(n.config.Address)] = n
	}

	for _, e := range f.net.Due(f.now) {
		if c := controllers[e.GetTo()]; c != nil {
			if e.GetPull() != nil {
				f.pulls[f.now/tiller.Second]++
			}

			f.deliverToController(c, e)
		} else if n := nodes[e.GetTo()]; n != nil {
			f.stepNode(n, node.Receive{Wall: f.now, Envelope: e})
		}
	}
}

// until runs the fleet until a condition holds and returns how long it took. It fails the test if that takes longer than the bound.
func (f *fleet) until(bound tiller.Millis, what string, ok func() bool) tiller.Millis {
	f.t.Helper()

	start := f.now
	for f.now < start+bound {
		if ok() {
			return f.now - start
		}

		f.run(stepMs)
	}

	require.Fail(f.t, "timed out waiting until "+what)

	return 0
}

// leader returns the controller that holds a valid lease as leader, nil if there is none.
func (f *fleet) leader() *testController {
	for _, c := range f.controllers {
		if c.up && c.core.HoldsLease(f.now) {
			return c
		}
	}

	return nil
}

func spec(change int) tiller.DocumentSpec {
	return tiller.DocumentSpec{
		Defaults: map[string]int64{"queue_length": int64(change % 1000)},
		Services: []tiller.ServiceSpec{{Name: "casting-board"}},
		Routes: []tiller.RouteSpec{{
			Name: "browse", Method: "GET", PathPrefix: "/calls", Service: "casting-board", Class: "interactive", Idempotent: true,
		}},
	}
}

func (f *fleet) newEdit(base tiller.Version, change int) *wire.Edit {
	items, err := encoder.Encode(spec(change))
	require.NoError(f.t, err)

	return &wire.Edit{Id: uuid.NewSHA1(uuid.Nil, fmt.Appendf(nil, "%d %d", f.now, f.token)).String(), Base: base.Wire(), Author: "test", Items: items}
}

// send submits an edit to a controller and returns the token under which f.replies will hold the answer.
func (f *fleet) send(c *testController, e *wire.Edit) uint64 {
	f.token++
	f.stepController(c, controller.Edit{Token: f.token, Edit: e})

	return f.token
}

// edit submits a change to the leader, waits for the outcome and returns the accepted version.
func (f *fleet) edit(change int) tiller.Version {
	f.t.Helper()
	f.until(convergenceBound, "a controller leads", func() bool { return f.leader() != nil })

	leader := f.leader()
	token := f.send(leader, f.newEdit(leader.core.Version(), change))
	f.until(convergenceBound, "the edit is decided", func() bool { return f.replies[token] != nil })
	require.True(f.t, f.replies[token].GetOutcome().GetAccepted(), f.replies[token].String())

	return tiller.VersionOf(f.replies[token].GetOutcome().GetVersion())
}

// inForce returns a condition: all running nodes that the filter selects have installed exactly the given version.
func (f *fleet) inForce(v tiller.Version, where func(n *testNode) bool) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.up && where(n) && n.core.Version() != v {
				return false
			}
		}

		return true
	}
}

func everywhere(*testNode) bool { return true }

func inDataCentre(dc string) func(n *testNode) bool {
	return func(n *testNode) bool { return string(n.config.DataCentre) == dc }
}

func outsideDataCentre(dc string) func(n *testNode) bool {
	return func(n *testNode) bool { return string(n.config.DataCentre) != dc }
}

// dataCentreOf returns the data centre in an address.
func dataCentreOf(address string) string { return strings.SplitN(address, "/", 2)[0] }

// isolate separates each of the given data centres from all others.
func (f *fleet) isolate(dataCentres ...string) {
	f.net.Partition(func(from, to string) bool {
		return dataCentreOf(from) != dataCentreOf(to) &&
			(slices.Contains(dataCentres, dataCentreOf(from)) || slices.Contains(dataCentres, dataCentreOf(to)))
	})
}

// settledFleet starts a fleet and returns it with its first version, which is in force on every node.
func settledFleet(t *testing.T, dataCentres, nodesEach int) (*fleet, tiller.Version) {
	t.Helper()

	f := newFleet(t, dataCentres, nodesEach)
	v := f.edit(1)
	f.until(convergenceBound, "the first version is in force", f.inForce(v, everywhere))
	f.run(5 * tiller.Second)

	return f, v
}
