// Package detector maintains the membership table of a node's data centre and a copy of those of other data centres. Nodes
// probe each other directly and through peers, suspect a node before they declare it dead, refute suspicion of themselves,
// and spread entries by gossip and anti-entropy. The package performs no I/O.
package detector

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timing and limits of the failure detector.
const (
	// ProbePeriod is how often a node probes a peer of its data centre.
	ProbePeriod = tiller.Second
	// DirectTimeout is how long a node waits for an acknowledgement before it asks peers to probe the target.
	DirectTimeout tiller.Millis = 300
	// SuspicionTimeout is how long a suspected node may refute the suspicion before it is declared dead.
	SuspicionTimeout = 4 * tiller.Second
	// TombstoneLifetime is how long the entry of a node that is dead or has left is kept.
	TombstoneLifetime = 10 * tiller.Minute

	gossipPeriod tiller.Millis = 100
	// remotePeriod is how often a relay probes another data centre.
	remotePeriod = tiller.Second
	// seedPeriod is how often a node probes a seed. While it knows no peer of its data centre, it does so every ProbePeriod.
	seedPeriod = 10 * tiller.Second
	// deadProbePeriod is how often a node probes one that was declared dead.
	deadProbePeriod = 5 * tiller.Second
	// tablePushPeriod is the minimum time between two pushes of a data centre's table after its digest differed.
	tablePushPeriod = 2 * tiller.Second
	maxPiggyback    = 8
	// maxTransmissions is how often a changed entry is piggybacked.
	maxTransmissions = 6
	// indirectProbes is how many peers are asked to probe an unresponsive node.
	indirectProbes = 3
	gossipFanOut   = 2
	// relaysPerDataCentre is how many nodes of a data centre exchange entries with other data centres.
	relaysPerDataCentre = 2
	maxEntriesPerPush   = 400
)

// Effects states what changed in a step and what the caller must send and record.
type Effects struct {
	// Changed is set when the table changed.
	Changed bool
	// RoundTrip is how long the probe acknowledged in this step took, queueing on both links included; zero if none was.
	RoundTrip tiller.Millis
	// Messages are to be sent.
	Messages []*wire.Envelope
	// Events are recorded in the timeline.
	Events []tiller.Event
	// Started are the addresses of processes that have contacted this node for the first time since they started.
	Started []string
	// Restored are withdrawals that this process did not know and that a peer remembers from the previous one.
	Restored []Withdrawal
	// Replicated are the results of replications.
	Replicated []Replication
}

// probe is the node's own outstanding probe.
type probe struct {
	nonce    uint64
	target   string
	sentAt   tiller.Millis
	indirect bool
	active   bool
}

// relayedProbe is a probe that this node sends on behalf of a peer.
type relayedProbe struct {
	requester string
	nonce     uint64
	at        tiller.Millis
}

// Core is the state machine of one node's view of the membership. It is not safe for concurrent use.
type Core struct {
	self   *wire.NodeEntry
	seeds  []tiller.Address
	random *rand.Rand
	clock  tiller.MonotonicClock
	now    tiller.Millis
	table  *table
	// gossipQueue names the changed entries that are still to be spread.
	gossipQueue []string
	probing     probe
	// probeOrder names the nodes still to be probed in this pass over the data centre.
	probeOrder []string
	// relayed contains the outstanding relayed probes by their nonce.
	relayed map[uint64]relayedProbe
	// advertisement is the node's configuration version, sent with probes.
	advertisement *wire.Offer

	probeAt     tiller.Millis
	gossipAt    tiller.Millis
	remoteAt    tiller.Millis
	seedAt      tiller.Millis
	deadProbeAt tiller.Millis
	// nextPushAt is the earliest time to push a data centre's table again, by data centre.
	nextPushAt    map[string]tiller.Millis
	gossipPending bool

	// checkAddress returns an error for an address that no node has; nil allows all.
	checkAddress func(address string) error
	// refusalEventAt is the earliest time of the next event about a refused entry.
	refusalEventAt tiller.Millis
	// replications are in progress.
	replications []*replication
	// startedAt is the time of the first tick.
	startedAt tiller.Millis
	// contacted is set when a peer has sent its table of this node's data centre, or what it knows of this node.
	contacted bool

	out Effects
}

// New returns a core that knows only itself. The incarnation must grow with each start; a smaller one is corrected as soon
// as a peer replies with a larger one.
func New(self *wire.NodeEntry, seeds []tiller.Address, random *rand.Rand, options ...Option) *Core {
	c := &Core{
		self: self, seeds: seeds, random: random, table: newTable(),
		relayed: map[uint64]relayedProbe{}, nextPushAt: map[string]tiller.Millis{},
	}
	c.table.put(self, 0)

	for _, o := range options {
		o(c)
	}

	return c
}

// SetAdvertisement sets the advertisement of the configuration version that is sent with probes.
func (c *Core) SetAdvertisement(o *wire.Offer) { c.advertisement = o }

// Step advances the core by one input. The clock reading may jump backwards.
func (c *Core) Step(reading tiller.Millis, input Input) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := input.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Envelope)
	case Announce:
		c.announce(e.Backend)
	case Introduce:
		c.introduce(e.Addresses)
	case Replicate:
		c.replicate(e.Token)
	case Restore:
		c.restoreWithdrawals(e.Withdrawals)
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
	c.tickReplications()

	if c.now >= c.probeAt {
		c.probeAt = c.now + ProbePeriod
		c.probeNext()
		c.expire()
	}

	if c.now >= c.gossipAt && c.gossipPending {
		c.gossipAt = c.now + gossipPeriod
		c.gossip()
	}

	c.tickRemote()
}

// start begins the wait for peers and adds jitter to the first timers, since many nodes may start together.
func (c *Core) start() {
	c.startedAt = c.now
	c.probeAt = c.now + c.jitter(ProbePeriod)
	c.remoteAt = c.now + c.jitter(remotePeriod)
	c.deadProbeAt = c.now + deadProbePeriod + c.jitter(deadProbePeriod)
	c.seedAt = c.now + c.jitter(DirectTimeout)
}

func (c *Core) jitter(span tiller.Millis) tiller.Millis {
	return tiller.Millis(c.random.Int64N(int64(span)))
}

// tickRemote probes a seed, another data centre and a dead node when each is due.
func (c *Core) tickRemote() {
	if c.now >= c.seedAt {
		c.seedAt = c.now + seedPeriod

		switch {
		case !c.contacted && !c.RecoveryTimedOut():
			c.seedAt = c.now + recoveryPeriod
		case len(c.localPeers()) == 0:
			c.seedAt = c.now + ProbePeriod
		}

		c.probeSeed()
	}

	if c.now >= c.remoteAt {
		c.remoteAt = c.now + remotePeriod
		if c.SelfRank() < relaysPerDataCentre {
			c.probeRemote()
		}
	}

	if c.now >= c.deadProbeAt {
		c.deadProbeAt = c.now + deadProbePeriod
		c.probeDead()
	}
}

func (c *Core) announce(b Backend) {
	if c.self.GetService() == string(b.Service) && c.self.GetState() == b.State && int(c.self.GetSlots()) == b.Slots &&
		int(c.self.GetConnections()) == b.Connections && c.self.GetInstance() == b.Instance && c.self.GetColdUntil() == int64(b.ColdUntil) &&
		slices.Equal(c.Withdrawals(), latest(b.Withdrawals)) {
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
		e.Withdrawals = ToWire(latest(b.Withdrawals))
	})
}

func (c *Core) leave() {
	c.changeSelf(func(e *wire.NodeEntry) { e.Liveness = wire.Liveness_LIVENESS_LEFT })

	for _, e := range c.sample(c.localPeers(), maxPiggyback) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// introduce probes addresses that are not in the table; the nodes there reply with their tables.
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

// changeSelf changes the node's own entry and raises its sequence, so that it replaces the entries that peers have of this node.
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

// put stores an entry and queues it for gossip.
func (c *Core) put(e *wire.NodeEntry) {
	c.table.put(e, c.now)
	c.out.Changed = true
	c.gossipPending = true

	if !slices.Contains(c.gossipQueue, e.GetName()) {
		c.gossipQueue = append(c.gossipQueue, e.GetName())
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

// Entries returns all known entries, tombstones included, ordered by data centre and name.
func (c *Core) Entries() []*wire.NodeEntry {
	out := make([]*wire.NodeEntry, 0, len(c.table.records))
	for _, dc := range c.table.dataCentres() {
		out = append(out, c.table.inDataCentre(dc)...)
	}

	return out
}

// Revision grows with every change of the table.
func (c *Core) Revision() uint64 { return c.table.revision }

// Entry returns a node's entry, or nil if the node is unknown.
func (c *Core) Entry(name string) *wire.NodeEntry { return c.table.entry(name) }

// Ranked returns the nodes of a data centre that are not dead and have not left, lowest rank first.
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

// SelfRank returns the node's position in Ranked for its data centre.
func (c *Core) SelfRank() int {
	rank := 0
	own := Rank(c.self.GetName())

	for _, name := range c.table.namesByDataCentre[c.self.GetDataCentre()] {
		r := c.table.records[name]
		if !gone(r.entry) && Rank(name) < own {
			rank++
		}
	}

	return rank
}

// localPeers returns the other nodes of the data centre that are not dead and have not left, ordered by name.
func (c *Core) localPeers() []*wire.NodeEntry {
	return slices.DeleteFunc(c.table.inDataCentre(c.self.GetDataCentre()), func(e *wire.NodeEntry) bool {
		return gone(e) || e.GetName() == c.self.GetName()
	})
}

// sample shuffles the entries in place and returns up to n of them.
func (c *Core) sample(entries []*wire.NodeEntry, n int) []*wire.NodeEntry {
	c.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })

	return entries[:min(n, len(entries))]
}
