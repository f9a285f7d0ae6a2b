// Package subscriber keeps a node at the latest configuration version. A few nodes of each data centre act as relays: they
// pull from controllers and push new versions down a tree of bounded fan-out. Every node also repairs itself from any peer
// that advertises a newer version. The package performs no I/O.
package subscriber

import (
	"math/rand/v2"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timing and limits of the distribution.
const (
	// RelaysPerDataCentre is how many nodes of a data centre pull from controllers.
	RelaysPerDataCentre = 2
	// MaxPushedBytes is the largest difference that is pushed; with its envelope it fits one datagram.
	MaxPushedBytes = 1000
	// FanOut is the number of children of a node in the tree of its data centre.
	FanOut = 8
	// LeasePeriod is how long a version counts as confirmed after the leader's lease last covered it.
	LeasePeriod = 15 * tiller.Second

	pullPeriod = tiller.Second
	// fullTimeout leaves time for a complete version, or a difference by item digests, to cross a narrow link.
	fullTimeout = tiller.Second
	// differenceTimeout is a few round trips between regions: a difference is small, and a lost one is pulled again.
	differenceTimeout tiller.Millis = 300
	// streamPeriod is how long after a lost pull the next ones are also sent over streams. The queue of a saturated link takes seconds
	// to drain.
	streamPeriod = 5 * tiller.Second
	// maxAdvertisers bounds the peers that are remembered for the best version.
	maxAdvertisers = 4
	// maxPulls bounds the attempts to pull a version before the node waits for new advertisements.
	maxPulls = 8
	// pushPeers is how many random peers receive an advertisement beside the children in the tree, in case a message is lost.
	pushPeers = 2
	// bootWindow is how long a node without a configuration collects advertisements before its first pull.
	bootWindow tiller.Millis = 400
	// bootPullPeriod is how often a node without a configuration polls a controller that has none either.
	bootPullPeriod  tiller.Millis = 250
	reportPeriod                  = 5 * tiller.Second
	maxBackoff                    = 10 * tiller.Second
	maxBackoffShift               = 4
	// leaderTimeout is how long the leader is preferred after its last contact.
	leaderTimeout = 3 * tiller.Second
	// reportTimeout is how long a node's report counts in the summary.
	reportTimeout = 15 * tiller.Second
	// recentVersions is how many predecessors a node stores to compute differences from.
	recentVersions     = 32
	maxLaggards        = 16
	maxClaimCandidates = 9
	maxVersionCounts   = 8
)

// View is the state of the membership that the subscriber needs.
type View struct {
	// Peers are the nodes of the data centre that are not dead and have not left, lowest rank first, this node included.
	Peers []*wire.NodeEntry
	// Rank is this node's position in Peers.
	Rank int
	// Unreachable counts the nodes of the data centre that are suspected or dead.
	Unreachable int
}

// Effects states what changed in a step and what the caller must send and record.
type Effects struct {
	// Applied is set when a new version was put in force.
	Applied bool
	// Lag is how long the previous version was known to be stale when the new one was applied.
	Lag tiller.Millis
	// PlacementsChanged is set when the claim placements changed.
	PlacementsChanged bool
	// Messages are to be sent.
	Messages []*wire.Envelope
	// Events are recorded in the timeline.
	Events []tiller.Event
}

// Input is an input of Core.Step.
type Input interface{ input() }

// Tick advances time and updates the membership and claim epoch.
type Tick struct {
	View       View
	ClaimEpoch uint64
}

// Receive delivers a message.
type Receive struct{ Envelope *wire.Envelope }

func (Tick) input()    {}
func (Receive) input() {}

// nodeReport is the latest report of a node.
type nodeReport struct {
	version    tiller.Version
	at         tiller.Millis
	claimEpoch uint64
}

// Core is the state machine of one node's part in the distribution. It is not safe for concurrent use.
type Core struct {
	name        string
	address     tiller.Address
	dataCentre  tiller.DataCentre
	controllers []string
	// configured are the controllers' addresses in the settings.
	configured []string
	random     *rand.Rand
	clock      tiller.MonotonicClock
	now        tiller.Millis
	view       View
	claimEpoch uint64

	store       *store.Store
	placements  *wire.ClaimPlacements
	rejected    tiller.Version
	confirmedAt tiller.Millis
	confirmed   bool

	pulling pull
	// Until streamUntil, pulls are also sent over streams, since datagrams to or from this node are being lost; the next one is due
	// at streamAt.
	streamUntil tiller.Millis
	streamAt    tiller.Millis
	// staleSince is when a version newer than the one in force was first known, zero if none is.
	staleSince tiller.Millis
	// contactAt is when another process last reported its version.
	contactAt tiller.Millis
	// best is the latest version that a peer has advertised.
	best tiller.Version
	// advertisers have advertised the best version; they are asked in turn.
	advertisers   []string
	bootWindowEnd tiller.Millis
	wantFull      bool
	wantDigests   bool

	leader          string
	leaderContactAt tiller.Millis
	nextController  int
	pullAt          tiller.Millis
	unansweredPulls int
	reportAt        tiller.Millis
	summaryAt       tiller.Millis
	reports         map[string]nodeReport
	started         bool
	wasRelay        bool

	out Effects
}

// New returns a core without a configuration.
func New(name string, address tiller.Address, dc tiller.DataCentre, controllers []tiller.Address, random *rand.Rand) *Core {
	c := &Core{
		name: name, address: address, dataCentre: dc, random: random, store: store.New(recentVersions),
		placements: &wire.ClaimPlacements{}, reports: map[string]nodeReport{},
	}
	for _, a := range controllers {
		c.configured = append(c.configured, string(a))
	}

	c.controllers = slices.Clone(c.configured)

	return c
}

// SetControllers replaces the configured controllers; the current ones stay known until a controller advertises others.
func (c *Core) SetControllers(addresses []tiller.Address) {
	c.configured = c.configured[:0:0]
	for _, a := range addresses {
		c.configured = append(c.configured, string(a))
	}

	c.updateControllers(c.controllers)
}

// Step advances the core by one input. The clock reading may jump backwards.
func (c *Core) Step(reading tiller.Millis, input Input) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := input.(type) {
	case Tick:
		c.view = e.View
		c.claimEpoch = e.ClaimEpoch
		c.tick()
	case Receive:
		c.receive(e.Envelope)
	}

	return c.out
}

func (c *Core) tick() {
	if !c.started {
		c.started = true
		c.pullAt = c.now + c.jitter(bootPullPeriod)
		c.summaryAt = c.now + c.jitter(pullPeriod)
		c.nextController = c.random.IntN(max(len(c.controllers), 1))
	}

	if c.pulling.active && c.now >= c.pulling.deadline {
		c.pulling.active = false
		c.emit(tiller.EventPullLost, "no answer in time", tiller.WithCause(c.pulling.from))
		c.streamUntil = c.now + streamPeriod
		c.rotateAdvertisers()
	}

	c.pullBest()
	c.updateConfirmed()

	relay := c.isRelay()
	if relay != c.wasRelay {
		c.wasRelay = relay
		c.emit(tiller.EventRelay, relayText(relay))
	}

	if relay && c.now >= c.pullAt {
		c.pullFromController()
	}

	if c.now >= c.reportAt {
		c.sendReport()
	}

	if c.view.Rank == 0 && c.now >= c.summaryAt {
		c.sendSummary()
	}
}

func relayText(relay bool) string {
	if relay {
		return "pulls from controllers"
	}

	return "no longer pulls from controllers"
}

func (c *Core) isRelay() bool { return c.view.Rank < RelaysPerDataCentre }

func (c *Core) jitter(span tiller.Millis) tiller.Millis {
	return tiller.Millis(c.random.Int64N(int64(max(span, 1))))
}

func (c *Core) updateConfirmed() {
	confirmed := c.Confirmed()
	if confirmed == c.confirmed {
		return
	}

	c.confirmed = confirmed
	if confirmed {
		c.emit(tiller.EventConfirmed, "the leader's lease covers the version in force")
	} else {
		c.emit(tiller.EventUnconfirmed, "the leader's lease was not confirmed within the lease period")
	}
}

// Confirmed reports whether the leader's lease covered the version in force within the last LeasePeriod.
func (c *Core) Confirmed() bool {
	return c.confirmedAt > 0 && c.now < c.confirmedAt+LeasePeriod
}

// Advertisement returns the advertisement of the version in force for the node's peers.
func (c *Core) Advertisement() *wire.Offer {
	return &wire.Offer{
		Version: c.store.Version().Wire(), Confirmed: c.Confirmed(), ConfirmedAge: int64(c.now - c.confirmedAt),
		PlacementRevision: c.placements.GetRevision(),
	}
}

// children returns the node's children in the tree over its data centre.
func (c *Core) children() []*wire.NodeEntry {
	first := min(FanOut*c.view.Rank+1, len(c.view.Peers))
	last := min(first+FanOut, len(c.view.Peers))

	return slices.Clone(c.view.Peers[first:last])
}

// push advertises the version in force to children and random peers. Children receive the last changes instead if these are small,
// which saves the round trip of a pull on saturated links.
func (c *Core) push() {
	d := c.store.LatestDifference(MaxPushedBytes)
	if d == nil {
		c.advertise()

		return
	}

	for _, e := range c.children() {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	c.advertiseTo(c.randomPeers())
}

func (c *Core) advertise() {
	c.advertiseTo(append(c.children(), c.randomPeers()...))
}

// randomPeers returns a few random nodes of the data centre; this node and duplicates are possible.
func (c *Core) randomPeers() []*wire.NodeEntry {
	n := min(pushPeers, len(c.view.Peers))
	out := make([]*wire.NodeEntry, 0, n)

	for range n {
		out = append(out, c.view.Peers[c.random.IntN(len(c.view.Peers))])
	}

	return out
}

func (c *Core) advertiseTo(nodes []*wire.NodeEntry) {
	for _, e := range nodes {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.Advertisement()}})
	}
}

func (c *Core) send(to string, e *wire.Envelope) {
	if to == "" || to == string(c.address) {
		return
	}

	e.From = string(c.address)
	e.To = to
	c.out.Messages = append(c.out.Messages, e)
}

func (c *Core) emit(kind tiller.EventKind, detail string, options ...tiller.EventOption) {
	options = append(options, tiller.WithVersion(c.store.Version()))
	c.out.Events = append(c.out.Events, tiller.NewEvent(kind, detail, options...))
}

// Version returns the version in force.
func (c *Core) Version() tiller.Version { return c.store.Version() }

// Lag returns how long a version newer than the one in force has been known, or zero if none is.
func (c *Core) Lag() tiller.Millis {
	if c.staleSince == 0 {
		return 0
	}

	return c.now - c.staleSince
}

// ContactAge returns the time since another process last reported its version.
func (c *Core) ContactAge() tiller.Millis { return c.now - c.contactAt }

// Document returns the document in force.
func (c *Core) Document() tiller.Document { return c.store.Document() }

// Items returns the items in force.
func (c *Core) Items() []*wire.Item { return c.store.Items() }

// Placements returns the latest claim placements that the node knows.
func (c *Core) Placements() *wire.ClaimPlacements { return c.placements }
