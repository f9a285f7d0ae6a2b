package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	modelNodes = 4
	modelTick  = 50 * tiller.Millis(1)
	// healedFor covers suspicion, its refutation and the repair of tables on a sound network.
	healedFor = 40 * tiller.Second
)

// mark is how far an entry has got; entries of one node are ordered by it.
type mark struct{ incarnation, sequence uint64 }

func (m mark) before(o mark) bool {
	return m.incarnation < o.incarnation || (m.incarnation == o.incarnation && m.sequence < o.sequence)
}

func markOf(e *wire.NodeEntry) mark { return mark{e.GetIncarnation(), e.GetSequence()} }

// model drives a few cores by hand: every message waits until the schedule delivers, doubles or loses it.
type model struct {
	t     *rapid.T
	now   tiller.Millis
	cores [modelNodes]*detector.Core
	up    [modelNodes]bool
	// seen is the newest mark that each process has held of each node.
	seen [modelNodes]map[string]mark
	// issued is the newest mark that a node has ever given itself.
	issued map[string]mark
	net    []*wire.Envelope
}

func nameOf(i int) string    { return fmt.Sprintf("n%d", i) }
func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:7100", i+1) }

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: 1000, issued: map[string]mark{}}
	for i := range modelNodes {
		m.start(i, 1000)
	}

	return m
}

// start begins a process without memory; the wall clock that gives its incarnation may have been set back.
func (m *model) start(i int, incarnation uint64) {
	dc := "kigali-1"
	if i >= modelNodes/2 {
		dc = "kigali-2"
	}

	self := &wire.NodeEntry{
		Name: nameOf(i), DataCentre: dc, Address: addressOf(i), Incarnation: incarnation, Service: "board", State: wire.BackendState_BACKEND_STATE_NONE,
	}
	m.cores[i] = detector.New(self, []tiller.Address{tiller.Address(addressOf((i + 1) % modelNodes)), tiller.Address(addressOf((i + 2) % modelNodes))},
		rand.New(rand.NewPCG(uint64(i), incarnation)))
	m.up[i] = true
	m.seen[i] = map[string]mark{}
}

func (m *model) step(i int, event detector.Event) {
	if !m.up[i] {
		return
	}

	effects := m.cores[i].Step(m.now, event)
	for _, e := range effects.Messages {
		m.net = append(m.net, copied(e))
	}

	if own := markOf(m.cores[i].Self()); m.issued[nameOf(i)].before(own) {
		m.issued[nameOf(i)] = own
	}

	m.check(i)
}

func copied(e *wire.Envelope) *wire.Envelope {
	c, ok := proto.Clone(e).(*wire.Envelope)
	if !ok {
		return e
	}

	return c
}

// check makes sure that what a process believes of a node never goes back and was said by that node itself.
func (m *model) check(i int) {
	for _, e := range m.cores[i].Entries() {
		now, name := markOf(e), e.GetName()
		if now.before(m.seen[i][name]) {
			m.t.Fatalf("%s went back from %v to %v of %s", nameOf(i), m.seen[i][name], now, name)
		}

		if m.issued[name].before(now) {
			m.t.Fatalf("%s believes %v of %s, which has only issued %v", nameOf(i), now, name, m.issued[name])
		}

		m.seen[i][name] = now
	}
}

// deliver hands over the message at a position and keeps it where it is to come again.
func (m *model) deliver(at int, again bool) {
	e := m.net[at]
	if !again {
		m.net = append(m.net[:at], m.net[at+1:]...)
	}

	for i := range modelNodes {
		if addressOf(i) == e.GetTo() {
			m.step(i, detector.Receive{Envelope: copied(e)})
		}
	}
}

func (m *model) pass(span tiller.Millis) {
	m.now += span
	for i := range modelNodes {
		m.step(i, detector.Tick{})
	}
}

// heal runs a sound network for a while.
func (m *model) heal() {
	for end := m.now + healedFor; m.now < end; {
		m.pass(modelTick)

		for len(m.net) > 0 {
			m.deliver(0, false)
		}
	}
}

// acts are what a schedule may do next; those that stand more than once come more often.
var acts = []string{"pass", "pass", "deliver", "deliver", "deliver", "again", "lose", "announce", "leave", "kill", "restart"}

func (m *model) act() {
	i := rapid.IntRange(0, modelNodes-1).Draw(m.t, "node")

	switch rapid.SampledFrom(acts).Draw(m.t, "act") {
	case "pass":
		m.pass(tiller.Millis(rapid.IntRange(1, 1500).Draw(m.t, "span")))
	case "deliver":
		if len(m.net) > 0 {
			m.deliver(rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message"), false)
		}
	case "again":
		if len(m.net) > 0 {
			m.deliver(rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message"), true)
		}
	case "lose":
		if len(m.net) > 0 {
			at := rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message")
			m.net = append(m.net[:at], m.net[at+1:]...)
		}
	case "announce":
		m.step(i, detector.Announce{Backend: detector.Backend{
			Service: "board", Slots: rapid.IntRange(1, 9).Draw(m.t, "slots"), Connections: 10,
			State: rapid.SampledFrom([]wire.BackendState{wire.BackendState_BACKEND_STATE_READY, wire.BackendState_BACKEND_STATE_DRAINING}).Draw(m.t, "state"),
		}})
	case "leave":
		m.step(i, detector.Leave{})
		m.up[i] = false
	case "kill":
		m.up[i] = false
	case "restart":
		m.start(i, uint64(rapid.IntRange(900, 3000).Draw(m.t, "incarnation")))
	}
}

// TestEntriesUnderAnySchedule reorders, doubles and loses messages while nodes announce, leave, die and start again with clocks set
// back. Nobody may ever go back to an older entry or hold one that its owner never issued, and once the network is sound all
// running nodes must agree with what each says of itself.
func TestEntriesUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "acts") {
			m.act()
		}

		for i := range modelNodes {
			if !m.up[i] {
				m.start(i, uint64(m.now)+10_000)
			}
		}

		m.heal()

		for i, core := range m.cores {
			for j, other := range m.cores {
				known := core.Entry(nameOf(j))
				if known == nil || !proto.Equal(known, other.Self()) {
					t.Fatalf("%s believes %v of %s, which says %v", nameOf(i), known, nameOf(j), other.Self())
				}
			}
		}
	})
}
