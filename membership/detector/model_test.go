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
	// recoveryPeriod covers suspicion, its refutation and the repair of tables on a working network.
	recoveryPeriod = 40 * tiller.Second
)

// entryVersion orders the entries of one node.
type entryVersion struct{ incarnation, sequence uint64 }

func (v entryVersion) before(o entryVersion) bool {
	return v.incarnation < o.incarnation || (v.incarnation == o.incarnation && v.sequence < o.sequence)
}

func entryVersionOf(e *wire.NodeEntry) entryVersion {
	return entryVersion{e.GetIncarnation(), e.GetSequence()}
}

// model runs a few cores in virtual time. Every message is in flight until the schedule delivers, duplicates or loses it.
type model struct {
	t     *rapid.T
	now   tiller.Millis
	cores [modelNodes]*detector.Core
	up    [modelNodes]bool
	// seen is the latest version of each node's entry that each process has had.
	seen [modelNodes]map[string]entryVersion
	// issued is the latest version of its own entry that each node has issued.
	issued   map[string]entryVersion
	inFlight []*wire.Envelope
}

func nameOf(i int) string    { return fmt.Sprintf("n%d", i) }
func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:7100", i+1) }

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: 1000, issued: map[string]entryVersion{}}
	for i := range modelNodes {
		m.start(i, 1000)
	}

	return m
}

// start starts a process without stored state. Its incarnation may be lower than before, as after a wall clock was set back.
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
	m.seen[i] = map[string]entryVersion{}
}

func (m *model) step(i int, input detector.Input) {
	if !m.up[i] {
		return
	}

	effects := m.cores[i].Step(m.now, input)
	for _, e := range effects.Messages {
		m.inFlight = append(m.inFlight, cloneEnvelope(e))
	}

	if own := entryVersionOf(m.cores[i].Self()); m.issued[nameOf(i)].before(own) {
		m.issued[nameOf(i)] = own
	}

	m.check(i)
}

func cloneEnvelope(e *wire.Envelope) *wire.Envelope {
	c, ok := proto.Clone(e).(*wire.Envelope)
	if !ok {
		return e
	}

	return c
}

// check verifies that a process never replaces an entry by an older one and has only entries that their owners issued.
func (m *model) check(i int) {
	for _, e := range m.cores[i].Entries() {
		now, name := entryVersionOf(e), e.GetName()
		if now.before(m.seen[i][name]) {
			m.t.Fatalf("%s replaced version %v by older %v of %s", nameOf(i), m.seen[i][name], now, name)
		}

		if m.issued[name].before(now) {
			m.t.Fatalf("%s has version %v of %s, which has issued only %v", nameOf(i), now, name, m.issued[name])
		}

		m.seen[i][name] = now
	}
}

// deliver delivers the message at a position; a duplicate also stays in flight.
func (m *model) deliver(at int, duplicate bool) {
	e := m.inFlight[at]
	if !duplicate {
		m.inFlight = append(m.inFlight[:at], m.inFlight[at+1:]...)
	}

	for i := range modelNodes {
		if addressOf(i) == e.GetTo() {
			m.step(i, detector.Receive{Envelope: cloneEnvelope(e)})
		}
	}
}

func (m *model) advance(span tiller.Millis) {
	m.now += span
	for i := range modelNodes {
		m.step(i, detector.Tick{})
	}
}

// heal runs the network without losses for the recovery period.
func (m *model) heal() {
	for end := m.now + recoveryPeriod; m.now < end; {
		m.advance(modelTick)

		for len(m.inFlight) > 0 {
			m.deliver(0, false)
		}
	}
}

// actions are the possible steps of a schedule; repeated ones are drawn more often.
var actions = []string{
	"advance", "advance", "deliver", "deliver", "deliver", "duplicate", "lose", "announce", "replicate", "leave", "kill", "restart",
}

func (m *model) runAction() {
	i := rapid.IntRange(0, modelNodes-1).Draw(m.t, "node")

	switch rapid.SampledFrom(actions).Draw(m.t, "action") {
	case "advance":
		m.advance(tiller.Millis(rapid.IntRange(1, 1500).Draw(m.t, "span")))
	case "deliver":
		if len(m.inFlight) > 0 {
			m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message"), false)
		}
	case "duplicate":
		if len(m.inFlight) > 0 {
			m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message"), true)
		}
	case "lose":
		if len(m.inFlight) > 0 {
			at := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "message")
			m.inFlight = append(m.inFlight[:at], m.inFlight[at+1:]...)
		}
	case "announce":
		m.step(i, detector.Announce{Backend: detector.Backend{
			Service: "board", Slots: rapid.IntRange(1, 9).Draw(m.t, "slots"), Connections: 10,
			State: rapid.SampledFrom([]wire.BackendState{wire.BackendState_BACKEND_STATE_READY, wire.BackendState_BACKEND_STATE_DRAINING}).Draw(m.t, "state"),
			Withdrawals: rapid.SampledFrom([][]detector.Withdrawal{nil, {{Instance: "a", StartedAtMs: 1, Sequence: 1}}, {
				{Instance: "a", StartedAtMs: 2, Sequence: detector.AllSequences}, {Instance: "b", StartedAtMs: 1, Sequence: 3},
			}}).Draw(m.t, "withdrawals"),
		}})
	case "replicate":
		m.step(i, detector.Replicate{Token: 1})
	case "leave":
		m.step(i, detector.Leave{})
		m.up[i] = false
	case "kill":
		m.up[i] = false
	case "restart":
		m.start(i, uint64(rapid.IntRange(900, 3000).Draw(m.t, "incarnation")))
	}
}

// TestEntriesUnderAnySchedule reorders, duplicates and loses messages while nodes announce, leave, fail and restart with clocks set
// back. No node may replace an entry by an older one or have one that its owner never issued. After the network has recovered, every
// node's entry of each node must equal that node's own, which includes the withdrawals that a node has taken back after a restart.
func TestEntriesUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "actions") {
			m.runAction()
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
					t.Fatalf("%s has entry %v of %s, whose own entry is %v", nameOf(i), known, nameOf(j), other.Self())
				}
			}
		}
	})
}
