// Package fleettest runs the decisions of controllers and nodes together in virtual time, breaks their network and
// checks the promises about configuration after every step.
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
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	stepMs      = tiller.Millis(50)
	convergence = 16 * tiller.Second
)

type source struct {
	address string
	core    *controller.Core
	disk    replicator.Restored
	up      bool
}

type member struct {
	identity node.Identity
	core     *node.Core
	up       bool
	highest  tiller.Version
	skew     tiller.Millis
}

type fleet struct {
	t       *testing.T
	net     *faultnet.Net
	now     tiller.Millis
	sources []*source
	nodes   []*member
	replies map[uint64]*wire.ApplyReply
	token   uint64
	starts  uint64
	// content holds the hash of every accepted version.
	content map[string]string
	// pulls counts the pulls that reach controllers in each second.
	pulls map[tiller.Millis]int
	// work is called before each step; it may be nil.
	work func()
}

// newFleet starts three controllers and a number of nodes in each data centre.
func newFleet(t *testing.T, dataCentres, nodesEach int) *fleet {
	t.Helper()

	f := &fleet{
		t: t, now: 1_000_000, net: faultnet.New(7, faultnet.Faults{MinDelay: 1, MaxDelay: 20}),
		replies: map[uint64]*wire.ApplyReply{}, content: map[string]string{}, pulls: map[tiller.Millis]int{},
	}

	for i := range 3 {
		f.addSource(i)
	}

	for dc := range dataCentres {
		for i := range nodesEach {
			f.addNode(dc, i)
		}
	}

	return f
}

func (f *fleet) addSource(i int) {
	s := &source{address: fmt.Sprintf("dc%d/c%d", i, i)}

	if i == 0 {
		data, err := arbiter.New(1).Encode()
		require.NoError(f.t, err)

		s.disk.Snapshot = replicator.Bootstrap("cluster", data, f.controllerMember(s))
		s.disk.HardState = &wire.HardState{Term: 1}
	}

	f.sources = append(f.sources, s)
	f.startSource(s)
}

func (f *fleet) controllerMember(s *source) *wire.Member {
	return &wire.Member{Id: s.address + "-disk", Name: s.address, Address: s.address}
}

func (f *fleet) startSource(s *source) {
	f.starts++

	var err error

	s.core, err = controller.New(f.controllerMember(s), []tiller.Address{"dc0/c0", "dc1/c1", "dc2/c2"}, replicator.NewTiming(100),
		rand.New(rand.NewPCG(f.starts, 1)), s.disk)
	require.NoError(f.t, err)

	s.up = true
}

func (f *fleet) addNode(dc, i int) {
	f.nodes = append(f.nodes, &member{identity: node.Identity{
		Name: fmt.Sprintf("n%d-%d", dc, i), DataCentre: tiller.DataCentre(fmt.Sprintf("dc%d", dc)),
		Address: tiller.Address(fmt.Sprintf("dc%d/n%d", dc, i)), CallAddress: tiller.Address(fmt.Sprintf("dc%d/n%d/call", dc, i)),
		Service: "casting-board", Controllers: []tiller.Address{"dc0/c0", "dc1/c1", "dc2/c2"},
		Seeds: []tiller.Address{"dc0/n0", "dc1/n0", tiller.Address(fmt.Sprintf("dc%d/n1", dc))},
	}})
	f.startNode(f.nodes[len(f.nodes)-1])
}

func (f *fleet) startNode(m *member) {
	f.starts++
	m.core = node.New(m.identity, uint64(f.now)+f.starts, quarantiner.New(), rand.New(rand.NewPCG(f.starts, 2)))
	m.up = true
	m.highest = tiller.Version{}
	f.stepNode(m, node.Announce{Backend: detector.Backend{
		Service: "casting-board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 10, Connections: 130,
	}})
}

func (f *fleet) stepSource(s *source, event controller.Event) {
	if !s.up {
		return
	}

	e := s.core.Step(f.now, event)
	if e.Record != nil {
		journaler.Replay(&s.disk, e.Record)
	}

	if e.Snapshot != nil {
		s.disk = replicator.Restored{Snapshot: e.Snapshot, HardState: s.core.HardState(), Entries: s.core.Tail()}
	}

	f.net.Send(f.now, e.Messages...)

	for _, r := range e.Replies {
		f.replies[r.Token()] = r.Reply()
	}

	for _, event := range e.Events {
		if event.Kind() == tiller.EventAccepted {
			f.accept(event.Version())
		}
	}
}

// accept checks that a position of the log never names two documents.
func (f *fleet) accept(v tiller.Version) {
	position := fmt.Sprintf("%d.%d", v.Generation(), v.Index())
	if old, ok := f.content[position]; ok {
		require.Equal(f.t, old, string(v.Hash()), "two documents at %s", position)
	}

	f.content[position] = string(v.Hash())
}

func (f *fleet) stepNode(m *member, event node.Event) {
	if !m.up {
		return
	}

	e := m.core.Step(f.now+m.skew, event)
	f.net.Send(f.now, e.Messages...)
	f.checkNode(m)
}

// checkNode checks that the node's version never falls, was accepted and is held whole.
func (f *fleet) checkNode(m *member) {
	v := m.core.Version()
	require.False(f.t, m.highest.NewerThan(v), "%s moved back from %s to %s", m.identity.Name, m.highest, v)

	if v != m.highest {
		accepted, ok := f.content[fmt.Sprintf("%d.%d", v.Generation(), v.Index())]
		require.True(f.t, ok, "%s holds %s, which was never accepted", m.identity.Name, v)
		require.Equal(f.t, accepted, string(encoder.Hash(m.core.Items())), "%s does not hold the whole of %s", m.identity.Name, v)
	}

	m.highest = v
}

func (f *fleet) run(span tiller.Millis) {
	for end := f.now + span; f.now < end; f.now += stepMs {
		if f.work != nil {
			f.work()
		}

		f.deliver()

		for _, s := range f.sources {
			f.stepSource(s, controller.Tick{})
		}

		for _, m := range f.nodes {
			f.stepNode(m, node.Tick{Wall: f.now})
		}
	}
}

func (f *fleet) deliver() {
	sources := map[string]*source{}
	for _, s := range f.sources {
		sources[s.address] = s
	}

	nodes := map[string]*member{}
	for _, m := range f.nodes {
		nodes[string(m.identity.Address)] = m
	}

	for _, e := range f.net.Due(f.now) {
		if s := sources[e.GetTo()]; s != nil {
			if e.GetPull() != nil {
				f.pulls[f.now/tiller.Second]++
			}

			f.stepSource(s, controller.Receive{Envelope: e})
		} else if m := nodes[e.GetTo()]; m != nil {
			f.stepNode(m, node.Receive{Wall: f.now, Envelope: e})
		}
	}
}

// until runs until a condition holds and returns how long it took.
func (f *fleet) until(bound tiller.Millis, what string, ok func() bool) tiller.Millis {
	f.t.Helper()

	start := f.now
	for f.now < start+bound {
		if ok() {
			return f.now - start
		}

		f.run(stepMs)
	}

	require.Fail(f.t, "it did not happen in time that "+what)

	return 0
}

func (f *fleet) leader() *source {
	for _, s := range f.sources {
		if s.up && s.core.Current(f.now) {
			return s
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

// send hands an edit to a controller and returns the token of its answer.
func (f *fleet) send(s *source, e *wire.Edit) uint64 {
	f.token++
	f.stepSource(s, controller.Edit{Token: f.token, Edit: e})

	return f.token
}

// edit brings a change into the source and returns the accepted version.
func (f *fleet) edit(change int) tiller.Version {
	f.t.Helper()
	f.until(convergence, "a controller leads", func() bool { return f.leader() != nil })

	leader := f.leader()
	token := f.send(leader, f.newEdit(leader.core.Version(), change))
	f.until(convergence, "the edit is decided", func() bool { return f.replies[token] != nil })
	require.True(f.t, f.replies[token].GetOutcome().GetAccepted(), f.replies[token].String())

	return tiller.VersionOf(f.replies[token].GetOutcome().GetVersion())
}

func (f *fleet) inForce(v tiller.Version, where func(m *member) bool) func() bool {
	return func() bool {
		for _, m := range f.nodes {
			if m.up && where(m) && m.core.Version() != v {
				return false
			}
		}

		return true
	}
}

func everywhere(*member) bool { return true }

func in(dc string) func(m *member) bool {
	return func(m *member) bool { return string(m.identity.DataCentre) == dc }
}

func outside(dc string) func(m *member) bool {
	return func(m *member) bool { return string(m.identity.DataCentre) != dc }
}

// centre returns the data centre of an address.
func centre(address string) string { return strings.SplitN(address, "/", 2)[0] }

// cutOff separates data centres from all others.
func (f *fleet) cutOff(centres ...string) {
	f.net.Cut(func(from, to string) bool {
		return centre(from) != centre(to) && (slices.Contains(centres, centre(from)) || slices.Contains(centres, centre(to)))
	})
}

// settled starts a fleet and brings a first version into force.
func settled(t *testing.T, dataCentres, nodesEach int) (*fleet, tiller.Version) {
	t.Helper()

	f := newFleet(t, dataCentres, nodesEach)
	v := f.edit(1)
	f.until(convergence, "the first version is in force", f.inForce(v, everywhere))
	f.run(5 * tiller.Second)

	return f, v
}
