// Package detector keeps the membership of a node's data centre and what other data centres tell of theirs. Nodes probe
// each other directly and through others, suspect before they declare dead, and refute suspicion of themselves. It does
// no input or output.
package detector

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timing of the failure detector.
const (
	ProbePeriod                     = tiller.Second
	DirectTimeout     tiller.Millis = 300
	SuspicionTimeout                = 4 * tiller.Second
	TombstoneLifetime               = 10 * tiller.Minute

	gossipPeriod      tiller.Millis = 100
	remotePeriod                    = tiller.Second
	seedPeriod                      = 10 * tiller.Second
	revivePeriod                    = 5 * tiller.Second
	tablePushPeriod                 = 2 * tiller.Second
	maxPiggyback                    = 8
	maxSends                        = 6
	indirectProbes                  = 3
	gossipFanOut                    = 2
	relaysPerDC                     = 2
	maxEntriesPerPush               = 400
)

// Effects is what the caller must do after a step.
type Effects struct {
	// Changed is set when the table changed.
	Changed bool
	// RoundTrip is how long the probe that was just answered took, with the wait in front of both links; zero if none was.
	RoundTrip tiller.Millis
	// Messages are sent.
	Messages []*wire.Envelope
	// Events go to the time line.
	Events []tiller.Event
}

// Event is an input of the core.
type Event interface{ event() }

// Tick tells the core that time has passed.
type Tick struct{}

// Receive hands the core a message.
type Receive struct{ Envelope *wire.Envelope }

// Announce changes what the node tells of its backend server.
type Announce struct{ Backend Backend }

// Introduce names nodes that may be unknown here.
type Introduce struct{ Addresses []string }

func (Introduce) event() {}

// Leave tells the others that the node stops.
type Leave struct{}

func (Tick) event()     {}
func (Receive) event()  {}
func (Announce) event() {}
func (Leave) event()    {}

// Backend is a backend server as its node announces it.
type Backend struct {
	Service     tiller.Service
	State       wire.BackendState
	Slots       int
	Connections int
	// Instance names the start of the server, empty if it does not tell.
	Instance string
	// ColdUntil is until when the server is slow after its start, by its own node's clock.
	ColdUntil tiller.Millis
}

type probe struct {
	nonce    uint64
	target   string
	sentAt   tiller.Millis
	indirect bool
	active   bool
}

type relayed struct {
	requester string
	nonce     uint64
	at        tiller.Millis
}

// Core is one node's view of the membership.
type Core struct {
	self    *wire.NodeEntry
	seeds   []tiller.Address
	random  *rand.Rand
	clock   tiller.Ratchet
	now     tiller.Millis
	table   *table
	queue   []string
	probing probe
	order   []string
	relayed map[uint64]relayed
	offer   *wire.Offer

	probeAt    tiller.Millis
	gossipAt   tiller.Millis
	remoteAt   tiller.Millis
	seedAt     tiller.Millis
	reviveAt   tiller.Millis
	pushedAt   map[string]tiller.Millis
	pendingNew bool

	out Effects
}

// New returns a core that knows only itself. The incarnation must grow with each start; a smaller one is corrected as
// soon as a peer remembers a larger one.
func New(self *wire.NodeEntry, seeds []tiller.Address, random *rand.Rand) *Core {
	c := &Core{
		self: self, seeds: seeds, random: random, table: newTable(),
		relayed: map[uint64]relayed{}, pushedAt: map[string]tiller.Millis{},
	}
	c.table.put(self, 0)

	return c
}

// SetOffer sets the configuration digest that travels with probes.
func (c *Core) SetOffer(o *wire.Offer) { c.offer = o }

// Step advances the core by one event.
func (c *Core) Step(reading tiller.Millis, event Event) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Envelope)
	case Announce:
		c.announce(e.Backend)
	case Introduce:
		c.introduce(e.Addresses)
	case Leave:
		c.leave()
	}

	return c.out
}

func (c *Core) tick() {
	if c.probeAt == 0 {
		c.start()
	}

	c.checkProbe()

	if c.now >= c.probeAt {
		c.probeAt = c.now + ProbePeriod
		c.probeNext()
		c.expire()
	}

	if c.now >= c.gossipAt && c.pendingNew {
		c.gossipAt = c.now + gossipPeriod
		c.gossip()
	}

	c.tickRemote()
}

// start spreads the periods of nodes that start together.
func (c *Core) start() {
	c.probeAt = c.now + c.jitter(ProbePeriod)
	c.remoteAt = c.now + c.jitter(remotePeriod)
	c.reviveAt = c.now + revivePeriod + c.jitter(revivePeriod)
	c.seedAt = c.now + c.jitter(DirectTimeout)
}

func (c *Core) jitter(span tiller.Millis) tiller.Millis {
	return tiller.Millis(c.random.Int64N(int64(span)))
}

func (c *Core) tickRemote() {
	if c.now >= c.seedAt {
		c.seedAt = c.now + seedPeriod
		if len(c.localAlive()) == 0 {
			c.seedAt = c.now + ProbePeriod
		}

		c.probeSeed()
	}

	if c.now >= c.remoteAt {
		c.remoteAt = c.now + remotePeriod
		if c.SelfRank() < relaysPerDC {
			c.probeRemote()
		}
	}

	if c.now >= c.reviveAt {
		c.reviveAt = c.now + revivePeriod
		c.probeGone()
	}
}

func (c *Core) announce(b Backend) {
	if c.self.GetService() == string(b.Service) && c.self.GetState() == b.State && int(c.self.GetSlots()) == b.Slots &&
		int(c.self.GetConnections()) == b.Connections && c.self.GetInstance() == b.Instance && c.self.GetColdUntil() == int64(b.ColdUntil) {
		return
	}

	c.changeSelf(func(e *wire.NodeEntry) {
		if b.State == wire.BackendState_BACKEND_STATE_READY && e.GetState() != b.State {
			e.ReadySince = int64(c.now)
		}

		e.Service = string(b.Service)
		e.State = b.State
		e.Slots = uint32(max(b.Slots, 0))
		e.Connections = uint32(max(b.Connections, 0))
		e.Instance = b.Instance
		e.ColdUntil = int64(b.ColdUntil)
	})
}

func (c *Core) leave() {
	c.changeSelf(func(e *wire.NodeEntry) { e.Liveness = wire.Liveness_LIVENESS_LEFT })

	for _, e := range c.sample(c.localAlive(), maxPiggyback) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// introduce contacts nodes that are not in the table; they answer with what they know.
func (c *Core) introduce(addresses []string) {
	known := tiller.NewSet[string]()
	for _, e := range c.Entries() {
		if !gone(e) {
			known.Add(e.GetAddress())
		}
	}

	for _, address := range addresses {
		if known.Add(address) {
			c.sendProbe(address, 0, "", "")
		}
	}
}

// changeSelf raises the sequence, so that the change wins over what others say of this node.
func (c *Core) changeSelf(change func(*wire.NodeEntry)) {
	e, ok := proto.Clone(c.self).(*wire.NodeEntry)
	if !ok {
		return
	}

	e.Sequence++
	change(e)
	c.self = e
	c.put(e)
}

func (c *Core) put(e *wire.NodeEntry) {
	c.table.put(e, c.now)
	c.out.Changed = true
	c.pendingNew = true

	if !slices.Contains(c.queue, e.GetName()) {
		c.queue = append(c.queue, e.GetName())
	}
}

func (c *Core) emit(kind tiller.EventKind, detail string, options ...tiller.EventOption) {
	c.out.Events = append(c.out.Events, tiller.NewEvent(kind, detail, options...))
}

func (c *Core) send(to string, e *wire.Envelope) {
	if to == "" || to == c.self.GetAddress() {
		return
	}

	e.From = c.self.GetAddress()
	e.To = to
	c.out.Messages = append(c.out.Messages, e)
}

// Self returns the node's own entry.
func (c *Core) Self() *wire.NodeEntry { return c.self }

// Entries returns all known entries ordered by data centre and name, tombstones included.
func (c *Core) Entries() []*wire.NodeEntry {
	out := make([]*wire.NodeEntry, 0, len(c.table.records))
	for _, dc := range c.table.dataCentres() {
		out = append(out, c.table.inDataCentre(dc)...)
	}

	return out
}

// Revision grows with every change of the table.
func (c *Core) Revision() uint64 { return c.table.revision }

// Entry returns what is known of a node, nil if nothing is.
func (c *Core) Entry(name string) *wire.NodeEntry { return c.table.entry(name) }

// Ranked returns the nodes of a data centre that are not gone, lowest rank first.
func (c *Core) Ranked(dc tiller.DataCentre) []*wire.NodeEntry {
	out := slices.DeleteFunc(c.table.inDataCentre(string(dc)), gone)
	slices.SortFunc(out, func(a, b *wire.NodeEntry) int { return cmp.Compare(Rank(a.GetName()), Rank(b.GetName())) })

	return out
}

// DataCentres returns the data centres of which nodes are known, ordered by name.
func (c *Core) DataCentres() []tiller.DataCentre {
	names := c.table.dataCentres()

	out := make([]tiller.DataCentre, 0, len(names))
	for _, name := range names {
		out = append(out, tiller.DataCentre(name))
	}

	return out
}

// SelfRank returns the node's position among the nodes of its data centre.
func (c *Core) SelfRank() int {
	rank := 0
	own := Rank(c.self.GetName())

	for _, name := range c.table.names[c.self.GetDataCentre()] {
		r := c.table.records[name]
		if !gone(r.entry) && Rank(name) < own {
			rank++
		}
	}

	return rank
}

// localAlive returns the other nodes of the data centre that are not gone, ordered by name.
func (c *Core) localAlive() []*wire.NodeEntry {
	return slices.DeleteFunc(c.table.inDataCentre(c.self.GetDataCentre()), func(e *wire.NodeEntry) bool {
		return gone(e) || e.GetName() == c.self.GetName()
	})
}

func (c *Core) sample(entries []*wire.NodeEntry, n int) []*wire.NodeEntry {
	c.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })

	return entries[:min(n, len(entries))]
}
