// Package subscriber brings a node to the newest configuration version and keeps it there. A few nodes of each data
// centre act as relays: they pull from controllers and push digests down a bounded tree; every node repairs from any
// peer that holds a newer version. It does no input or output.
package subscriber

import (
	"math/rand/v2"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Timing and bounds of the distribution.
const (
	// RelaysPerDataCentre is how many nodes of a data centre pull from controllers.
	RelaysPerDataCentre = 2
	// MaxPushedBytes is the largest difference that is sent without being asked for; with its envelope it fits one datagram.
	MaxPushedBytes = 1000
	// FanOut is the number of children of a node in the tree of its data centre.
	FanOut = 8
	// LeasePeriod is how long a version counts as confirmed after the source's lease was seen.
	LeasePeriod = 15 * tiller.Second

	pullPeriod = tiller.Second
	// wholeTimeout is how long a whole version, or the difference by digests, may take over a narrow link.
	wholeTimeout = tiller.Second
	// differenceTimeout is some round trips between regions; a difference is small, and what is lost is asked for again.
	differenceTimeout tiller.Millis = 300
	// streamPeriod is how long a lost pull makes the next ones go over streams too; the queue in front of a full link lasts for seconds.
	streamPeriod = 5 * tiller.Second
	// maxHolders bounds the remembered holders of the best version, and maxPulls the pulls before new offers are waited for.
	maxHolders = 4
	maxPulls   = 8
	// pushPeers is how many random peers hear of a new version beside the children in the tree, in case a message is lost.
	pushPeers                = 2
	bootWindow tiller.Millis = 400
	// bootPullPeriod is how often a node without a configuration asks a source that has none to give yet.
	bootPullPeriod  tiller.Millis = 250
	reportPeriod                  = 5 * tiller.Second
	maxBackoff                    = 10 * tiller.Second
	maxBackoffShift               = 4
	leaderTimeout                 = 3 * tiller.Second
	reportTimeout                 = 15 * tiller.Second
	recentVersions                = 32
	maxLaggards                   = 16
	maxCandidates                 = 9
	maxVersionKinds               = 8
)

// View is what the membership tells the subscriber.
type View struct {
	// Peers are the nodes of the data centre that are not gone, lowest rank first, this node included.
	Peers []*wire.NodeEntry
	// Rank is this node's position among them.
	Rank int
	// Unreachable counts the nodes of the data centre that are suspected or dead.
	Unreachable int
}

// Effects is what the caller must do after a step.
type Effects struct {
	// Applied is set when a new version came into force.
	Applied bool
	// Lag is how long a version newer than the one before had been known when the new version was applied.
	Lag tiller.Millis
	// Placed is set when the claim groups changed.
	Placed bool
	// Messages are sent.
	Messages []*wire.Envelope
	// Events go to the time line.
	Events []tiller.Event
}

// Event is an input of the core.
type Event interface{ event() }

// Tick tells the core that time has passed.
type Tick struct {
	View       View
	ClaimEpoch uint64
}

// Receive hands the core a message.
type Receive struct{ Envelope *wire.Envelope }

func (Tick) event()    {}
func (Receive) event() {}

type reported struct {
	version    tiller.Version
	at         tiller.Millis
	claimEpoch uint64
}

// Core is one node's part in the distribution.
type Core struct {
	name        string
	address     tiller.Address
	dataCentre  tiller.DataCentre
	controllers []string
	// configured are the controllers that the settings name.
	configured []string
	random     *rand.Rand
	clock      tiller.Ratchet
	now        tiller.Millis
	view       View
	claimEpoch uint64

	holder      *holder.Holder
	placements  *wire.ClaimPlacements
	refused     tiller.Version
	confirmedAt tiller.Millis
	confirmed   bool

	pulling pull
	// streamUntil is until when pulls go over streams too, since datagrams to or from this node are lost; the next one goes at streamAt.
	streamUntil tiller.Millis
	streamAt    tiller.Millis
	// behindSince is since when a version newer than the one in force is known, zero if none is.
	behindSince tiller.Millis
	// contactAt is when another process last told which version it holds.
	contactAt tiller.Millis
	best      tiller.Version
	// holders offered the best version; they are asked in turn.
	holders    []string
	bootUntil  tiller.Millis
	wantWhole  bool
	wantDigest bool

	leader      string
	leaderHeard tiller.Millis
	nextSource  int
	pullAt      tiller.Millis
	failures    int
	reportAt    tiller.Millis
	summaryAt   tiller.Millis
	reports     map[string]reported
	started     bool
	wasRelay    bool

	out Effects
}

// New returns a core without a configuration.
func New(name string, address tiller.Address, dc tiller.DataCentre, controllers []tiller.Address, random *rand.Rand) *Core {
	c := &Core{
		name: name, address: address, dataCentre: dc, random: random, holder: holder.New(recentVersions),
		placements: &wire.ClaimPlacements{}, reports: map[string]reported{},
	}
	for _, a := range controllers {
		c.configured = append(c.configured, string(a))
	}

	c.controllers = slices.Clone(c.configured)

	return c
}

// SetControllers replaces the controllers that the settings name; those that were learnt stay known.
func (c *Core) SetControllers(addresses []tiller.Address) {
	c.configured = c.configured[:0:0]
	for _, a := range addresses {
		c.configured = append(c.configured, string(a))
	}

	c.learnControllers(c.controllers)
}

// Step advances the core by one event.
func (c *Core) Step(reading tiller.Millis, event Event) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := event.(type) {
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
		c.nextSource = c.random.IntN(max(len(c.controllers), 1))
	}

	if c.pulling.active && c.now >= c.pulling.until {
		c.pulling.active = false
		c.emit(tiller.EventPullLost, "no answer in time", tiller.WithCause(c.pulling.from))
		c.streamUntil = c.now + streamPeriod
		c.nextHolder()
	}

	c.pullBest()
	c.updateConfirmed()

	relay := c.isRelay()
	if relay != c.wasRelay {
		c.wasRelay = relay
		c.emit(tiller.EventRelay, relayText(relay))
	}

	if relay && c.now >= c.pullAt {
		c.pullFromSource()
	}

	if c.now >= c.reportAt {
		c.report()
	}

	if c.view.Rank == 0 && c.now >= c.summaryAt {
		c.summarize()
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
		c.emit(tiller.EventConfirmed, "the source's lease covers the version in force")
	} else {
		c.emit(tiller.EventUnconfirmed, "the source's lease was not seen for a while")
	}
}

// Confirmed reports whether the source's lease covered the version in force a short while ago.
func (c *Core) Confirmed() bool {
	return c.confirmedAt > 0 && c.now < c.confirmedAt+LeasePeriod
}

// Offer returns the digest that the node tells its peers.
func (c *Core) Offer() *wire.Offer {
	return &wire.Offer{
		Version: c.holder.Version().Wire(), Confirmed: c.Confirmed(), ConfirmedAge: int64(c.now - c.confirmedAt),
		PlacementRevision: c.placements.GetRevision(),
	}
}

// children returns the node's children in the tree over its data centre.
func (c *Core) children() []*wire.NodeEntry {
	first := min(FanOut*c.view.Rank+1, len(c.view.Peers))
	last := min(first+FanOut, len(c.view.Peers))

	return slices.Clone(c.view.Peers[first:last])
}

// push spreads the version in force: children get the last changes where they are small. That saves the round trip of a pull on links
// that are full.
func (c *Core) push() {
	d := c.holder.Latest(MaxPushedBytes)
	if d == nil {
		c.pushOffers()

		return
	}

	for _, e := range c.children() {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	c.offerTo(c.randomPeers())
}

func (c *Core) pushOffers() {
	c.offerTo(append(c.children(), c.randomPeers()...))
}

// randomPeers returns a few nodes of the data centre, this one perhaps among them.
func (c *Core) randomPeers() []*wire.NodeEntry {
	n := min(pushPeers, len(c.view.Peers))
	out := make([]*wire.NodeEntry, 0, n)

	for range n {
		out = append(out, c.view.Peers[c.random.IntN(len(c.view.Peers))])
	}

	return out
}

func (c *Core) offerTo(nodes []*wire.NodeEntry) {
	for _, e := range nodes {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.Offer()}})
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
	options = append(options, tiller.WithVersion(c.holder.Version()))
	c.out.Events = append(c.out.Events, tiller.NewEvent(kind, detail, options...))
}

// Version returns the version in force.
func (c *Core) Version() tiller.Version { return c.holder.Version() }

// Lag returns how long a version newer than the one in force has been known, zero if none is.
func (c *Core) Lag() tiller.Millis {
	if c.behindSince == 0 {
		return 0
	}

	return c.now - c.behindSince
}

// ContactAge returns how long ago another process last told which version it holds.
func (c *Core) ContactAge() tiller.Millis { return c.now - c.contactAt }

// Document returns the document in force.
func (c *Core) Document() tiller.Document { return c.holder.Document() }

// Items returns the items in force.
func (c *Core) Items() []*wire.Item { return c.holder.Items() }

// Placements returns the claim groups that the node knows.
func (c *Core) Placements() *wire.ClaimPlacements { return c.placements }
