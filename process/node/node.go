// Package node implements the state machine of the process on a worker's VM: membership, configuration, claims and quarantine. It performs no
// input or output.
package node

import (
	"math/rand/v2"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/synchronizer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Config is the part of a node's settings that its core needs.
type Config struct {
	Name        string
	DataCentre  tiller.DataCentre
	Address     tiller.Address
	CallAddress tiller.Address
	Service     tiller.Service
	Controllers []tiller.Address
	Seeds       []tiller.Address
	// CheckAddress returns an error for an address that no node has; nil allows all.
	CheckAddress func(address string) error
}

// Effects is what the caller must do after a step.
type Effects struct {
	// TableChanged is set if the routing table may have changed.
	TableChanged bool
	// Messages are the messages to send.
	Messages []*wire.Envelope
	// Claims are the results of claims.
	Claims []claimer.Result
	// FinishedCrashReports are the tokens of the crash reports that all recipients have acknowledged, or whose wait for acknowledgements has
	// timed out.
	FinishedCrashReports []uint64
	// ApplyLag is the time between learning of a newer version and applying one, none if no version was applied.
	ApplyLag tiller.Option[tiller.Millis]
	// RoundTrip is the round-trip time of the probe that was answered, none if no probe was answered.
	RoundTrip tiller.Option[tiller.Millis]
	// Events are recorded in the timeline.
	Events []tiller.Event
	// Restored are withdrawals that this process did not know and that a peer remembers from the previous one.
	Restored []detector.Withdrawal
	// Replicated are the results of replications.
	Replicated []detector.Replication
}

// Input is an input of Core.Step.
type Input interface{ input() }

// Tick advances the timers. Wall is the latest wall-clock time known from any process.
type Tick struct{ Wall tiller.Millis }

// Receive delivers a message from another process.
type Receive struct {
	Wall     tiller.Millis
	Envelope *wire.Envelope
}

// Announce reports the state of the backend server on this VM.
type Announce struct{ Backend detector.Backend }

// ReplicateEntry sends the node's membership entry to peers until enough of them store it. The result is in Effects.Replicated.
type ReplicateEntry struct{ Token uint64 }

// AcquireClaim claims the key of a request before an attempt runs it.
type AcquireClaim struct {
	Key     claimer.Key
	Digest  []byte
	Attempt string
}

// CompleteClaim reports the outcome of an attempt.
type CompleteClaim struct {
	Key     claimer.Key
	Digest  []byte
	Attempt string
	Ran     bool
	Answer  *wire.Answer
}

// CrashReport reports a request that was in flight when the backend server crashed.
type CrashReport struct {
	Token uint64
	// Crash numbers the crashes that this process has observed; copies of a request in the same crash count once.
	Crash  uint64
	Digest quarantiner.Digest
	Route  string
}

// ClearStrikes clears the crash record of a request on all nodes, which ends its quarantine.
type ClearStrikes struct{ Digest quarantiner.Digest }

// Leave tells the peers that the node is stopping.
type Leave struct{}

func (Tick) input()           {}
func (Receive) input()        {}
func (Announce) input()       {}
func (ReplicateEntry) input() {}
func (AcquireClaim) input()   {}
func (CompleteClaim) input()  {}
func (CrashReport) input()    {}
func (ClearStrikes) input()   {}
func (Leave) input()          {}

// Core is the state machine of one node; it is not safe for concurrent use.
type Core struct {
	config       Config
	detector     *detector.Core
	subscriber   *subscriber.Core
	synchronizer *synchronizer.Core
	// replications wait for the controllers; enough peers store their entries.
	replications []replication
	member       *claimer.Member
	claimant     *claimer.Claimant
	crashRecords *quarantiner.Registry
	strikes      *strikeTracker
	// lifts are the quarantines that were lifted lately, the latest last.
	lifts        []lift
	clock        tiller.MonotonicClock
	now          tiller.Millis
	wall         tiller.Millis
	view         subscriber.View
	viewRevision uint64

	out Effects
}

// New returns the core of a node; the incarnation must increase with each start of the node.
func New(config Config, incarnation uint64, crashRecords *quarantiner.Registry, random *rand.Rand) *Core {
	self := &wire.NodeEntry{
		Name: config.Name, DataCentre: string(config.DataCentre), Address: string(config.Address),
		CallAddress: string(config.CallAddress), Incarnation: incarnation, Service: string(config.Service),
		State: wire.BackendState_BACKEND_STATE_NONE,
	}

	c := &Core{
		config: config, crashRecords: crashRecords,
		detector:     detector.New(self, config.Seeds, random, detector.WithAddressCheck(config.CheckAddress)),
		synchronizer: synchronizer.New(config.Name, config.Address, config.Controllers, random),
		subscriber:   subscriber.New(config.Name, config.Address, config.DataCentre, config.Controllers, random),
		claimant:     claimer.NewClaimant(config.Address),
		strikes:      newStrikeTracker(random),
	}
	c.member = claimer.NewMember(c.claimIdentity(), config.Address, config.DataCentre)

	return c
}

func (c *Core) claimIdentity() string {
	self := c.detector.Self()

	return claimer.Identity(self.GetName(), self.GetIncarnation(), c.config.Address)
}

// Step advances the node by one input at a clock reading, and returns the effects to carry out.
func (c *Core) Step(reading tiller.Millis, input Input) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := input.(type) {
	case Tick:
		c.wall = e.Wall
		c.tick(e.Wall)
	case Receive:
		c.wall = e.Wall
		c.receive(e.Wall, e.Envelope)
		c.out.Messages = wire.ReplyOverStream(e.Envelope, c.out.Messages)
	case Announce:
		c.detect(detector.Announce{Backend: e.Backend})
		c.synchronize()
	case ReplicateEntry:
		c.replicate(e.Token)
	case AcquireClaim:
		messages, results := c.claimant.Acquire(c.now, e.Key, e.Digest, e.Attempt)
		c.sendClaims(messages)
		c.out.Claims = append(c.out.Claims, results...)
	case CompleteClaim:
		c.sendClaims(c.claimant.Complete(c.now, e.Key, e.Digest, e.Attempt, e.Ran, e.Answer))
	case CrashReport:
		c.strike(e)
	case ClearStrikes:
		c.clearStrikes(e.Digest)
	case Leave:
		c.member.Seal()
		c.detect(detector.Leave{})
	}

	return c.out
}

func (c *Core) tick(wall tiller.Millis) {
	c.detector.SetAdvertisement(c.subscriber.Advertisement())
	c.detect(detector.Tick{})
	c.synchronize()
	c.refreshView()
	c.subscribe(subscriber.Tick{View: c.view, ClaimEpoch: c.member.ServingEpoch()})

	messages, results := c.claimant.Tick(c.now)
	c.out.Claims = append(c.out.Claims, results...)
	c.sendClaims(messages)

	messages, events := c.member.Tick(c.now, wall, c.hasEnded)
	c.out.Events = append(c.out.Events, events...)
	c.out.Messages = append(c.out.Messages, messages...)

	c.out.FinishedCrashReports = append(c.out.FinishedCrashReports, c.strikes.expire(c.now)...)
}

// refreshView recomputes the subscriber's view of its peers after the membership has changed.
func (c *Core) refreshView() {
	if c.viewRevision == c.detector.Revision() {
		return
	}

	c.viewRevision = c.detector.Revision()
	v := subscriber.View{Peers: c.detector.Ranked(c.config.DataCentre), Rank: c.detector.SelfRank()}

	for _, e := range c.detector.Entries() {
		if e.GetDataCentre() != string(c.config.DataCentre) {
			continue
		}

		if e.GetLiveness() == wire.Liveness_LIVENESS_SUSPECT || e.GetLiveness() == wire.Liveness_LIVENESS_DEAD {
			v.Unreachable++
		}
	}

	c.view = v
}

// hasEnded reports whether the process of a claim identity is known to have ended: it left, or a later incarnation is known.
func (c *Core) hasEnded(identity string) bool {
	name, incarnation, _, ok := claimer.ParseIdentity(identity)
	e := c.detector.Entry(name)

	if !ok || e == nil {
		return false
	}

	left := e.GetLiveness() == wire.Liveness_LIVENESS_LEFT && e.GetIncarnation() == incarnation

	return left || e.GetIncarnation() > incarnation
}

func (c *Core) detect(input detector.Input) {
	before := c.detector.Self().GetIncarnation()
	e := c.detector.Step(c.now, input)
	c.out.TableChanged = c.out.TableChanged || e.Changed
	c.out.Messages = append(c.out.Messages, e.Messages...)
	c.out.Events = append(c.out.Events, e.Events...)
	c.out.Restored = append(c.out.Restored, e.Restored...)
	c.finishReplications(e.Replicated)

	for _, address := range e.Started {
		c.sendCrashRecords(address, c.crashRecords.Encode(c.now))
	}

	if e.RoundTrip > 0 {
		c.out.RoundTrip = tiller.Some(e.RoundTrip)
	}

	// The claim identity contains the incarnation.
	if c.detector.Self().GetIncarnation() != before {
		c.member.SetIdentity(c.claimIdentity())
	}
}

func (c *Core) subscribe(input subscriber.Input) {
	e := c.subscriber.Step(c.now, input)
	c.out.TableChanged = c.out.TableChanged || e.Applied || e.PlacementsChanged
	c.out.Messages = append(c.out.Messages, e.Messages...)
	c.out.Events = append(c.out.Events, e.Events...)

	if e.Applied {
		c.detector.SetAdvertisement(c.subscriber.Advertisement())
		c.out.ApplyLag = tiller.Some(e.Lag)
	}

	if e.PlacementsChanged {
		c.applyPlacements()
	}
}

func (c *Core) applyPlacements() {
	for _, p := range c.subscriber.Placements().GetPlacements() {
		c.claimant.SetPlacement(p)
		c.member.SetPlacement(p)
	}
}

func (c *Core) receive(wall tiller.Millis, e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Probe, *wire.Envelope_ProbeAck:
		c.detector.SetAdvertisement(c.subscriber.Advertisement())
		c.detect(detector.Receive{Envelope: e})
		c.subscribe(subscriber.Receive{Envelope: e})
	case *wire.Envelope_TablePush:
		c.detect(detector.Receive{Envelope: e})
	case *wire.Envelope_WithdrawalSyncReply:
		c.receiveWithdrawals(e.GetFrom(), b.WithdrawalSyncReply)
	case *wire.Envelope_Claim, *wire.Envelope_ClaimFetch, *wire.Envelope_ClaimState:
		messages, events := c.member.Receive(wall, e)
		c.out.Events = append(c.out.Events, events...)
		c.sendClaims(messages)
	case *wire.Envelope_ClaimReply:
		c.out.Claims = append(c.out.Claims, c.claimant.Receive(e)...)
	case *wire.Envelope_Strike:
		c.receiveStrike(e.GetFrom(), b.Strike)
	case *wire.Envelope_StrikeAck:
		c.out.FinishedCrashReports = append(c.out.FinishedCrashReports, c.strikes.ack(e.GetFrom(), b.StrikeAck.GetNonce())...)
	case *wire.Envelope_CrashRecords:
		c.receiveCrashRecords(b.CrashRecords)
	case *wire.Envelope_Offer:
		if len(b.Offer.GetPeers()) > 0 {
			c.detect(detector.Introduce{Addresses: b.Offer.GetPeers()})
		}

		c.subscribe(subscriber.Receive{Envelope: e})
	default:
		c.subscribe(subscriber.Receive{Envelope: e})
	}
}

// sendClaims queues claim messages for sending. It delivers those addressed to this node at once, since they need no network.
func (c *Core) sendClaims(messages []*wire.Envelope) {
	for _, m := range messages {
		if m.GetTo() != string(c.config.Address) {
			c.out.Messages = append(c.out.Messages, m)

			continue
		}

		c.receive(c.wall, m)
	}
}

// SetControllers replaces the controller addresses given in the settings.
func (c *Core) SetControllers(addresses []tiller.Address) {
	c.subscriber.SetControllers(addresses)
	c.synchronizer.SetControllers(addresses)
}

// Lag returns how long a version newer than the one in force has been known, zero if no newer one is known.
func (c *Core) Lag() tiller.Millis { return c.subscriber.Lag() }

// ContactAge returns the time since another process last reported its version.
func (c *Core) ContactAge() tiller.Millis { return c.subscriber.ContactAge() }

// Version returns the configuration version in force.
func (c *Core) Version() tiller.Version { return c.subscriber.Version() }

// Confirmed reports whether the source's lease covered the version in force within the last lease period.
func (c *Core) Confirmed() bool { return c.subscriber.Confirmed() }

// Document returns the configuration document in force.
func (c *Core) Document() tiller.Document { return c.subscriber.Document() }

// Items returns the items of the document in force.
func (c *Core) Items() []*wire.Item { return c.subscriber.Items() }

// Placements returns the latest claim group placements known to the node.
func (c *Core) Placements() *wire.ClaimPlacements { return c.subscriber.Placements() }

// Entries returns the membership table.
func (c *Core) Entries() []*wire.NodeEntry { return c.detector.Entries() }

// Self returns the node's own entry.
func (c *Core) Self() *wire.NodeEntry { return c.detector.Self() }

// Rank returns the node's position in the ranking of its data centre's nodes.
func (c *Core) Rank() int { return c.detector.SelfRank() }

// ClaimRecordCount returns the number of claims that the node stores.
func (c *Core) ClaimRecordCount() int { return c.member.RecordCount() }
