// Package controller implements the logic of a control VM: it replicates edits, serves versions to relays, stores the
// reports of the data centres and places claim groups. It performs no I/O.
package controller

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Limits and periods of a controller.
const (
	// FullVersionsPerSecond is the rate at which a controller can answer pulls with the full version; other answers consume less of the
	// same budget.
	FullVersionsPerSecond = 60
	// FullVersionsBurst is the largest burst of full versions.
	FullVersionsBurst = 120

	// Costs of answering a pull, in tokens of the pull budget.
	fullVersionCost = 8
	pullCost        = 1

	recentVersions      = 256
	compactAfterEntries = 512
	relayExpiry         = 15 * tiller.Second
	// An advertisement may be lost, so it is sent up to maxAdvertisements times, every advertisePeriod, until the relay pulls.
	maxAdvertisements                      = 4
	advertisePeriod          tiller.Millis = 150
	joinPeriod                             = tiller.Second
	busyRetryAfter                         = 2 * tiller.Second
	maxIntroducedPeers                     = 4
	maxIntroducedDataCentres               = 16
	editTimeout              tiller.Millis = 5000
	maxPendingEdits                        = 256
)

// Effects lists what the caller must do after a step, in the order of the fields.
type Effects struct {
	// Record must be durable before the effects below are carried out.
	Record *wire.Record
	// Snapshot replaces the journal and must be durable before the effects below are carried out.
	Snapshot *wire.Snapshot
	// Messages are sent to controllers and relays.
	Messages []*wire.Envelope
	// Replies answer pending edits.
	Replies []Reply
	// Confirmed holds the tokens of the reads that may return this controller's state, since it is the latest.
	Confirmed []uint64
	// Unconfirmed holds the tokens of the reads that this controller cannot answer.
	Unconfirmed []uint64
	// Events are recorded in the timeline.
	Events []tiller.Event
}

// Reply is the answer to the edit that was submitted with a token.
type Reply struct {
	token uint64
	reply *wire.ApplyReply
}

// Token returns the token of the edit.
func (r Reply) Token() uint64 { return r.token }

// Message returns the answer.
func (r Reply) Message() *wire.ApplyReply { return r.reply }

// Input is an input of Core.Step.
type Input interface{ input() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Envelope *wire.Envelope }

// Edit submits an edit; the token is returned with the reply.
type Edit struct {
	Token uint64
	Edit  *wire.Edit
}

// ConfirmRead asks whether this controller's state is the latest; the token is returned in the effects.
type ConfirmRead struct{ Token uint64 }

func (ConfirmRead) input() {}
func (Tick) input()        {}
func (Receive) input()     {}
func (Edit) input()        {}

type pendingEdit struct {
	token     uint64
	edit      *wire.Edit
	index     uint64
	term      uint64
	expiresAt tiller.Millis
}

// report is the latest report of a data centre, with the time since which its claim candidates are unchanged.
type report struct {
	*wire.DataCentreReport
	stableSince tiller.Millis
}

type relay struct {
	dataCentre string
	seenAt     tiller.Millis
	// advertisementsLeft is how many more times the latest version is advertised; a pull sets it to zero.
	advertisementsLeft  int
	nextAdvertisementAt tiller.Millis
}

// Core is the state of one controller.
type Core struct {
	member          *wire.Member
	peers           []tiller.Address
	log             *replicator.Core
	state           *arbiter.State
	store           *store.Store
	pullBudget      tokenBucket
	clock           tiller.MonotonicClock
	now             tiller.Millis
	nextJoinAt      tiller.Millis
	random          *rand.Rand
	relays          map[string]relay
	reports         map[string]*report
	pendingEdits    []pendingEdit
	applied         uint64
	snapshotIndex   uint64
	nextPlacementAt tiller.Millis

	out Effects
}

// New returns a controller with the restored state, which is empty on a fresh disk. It fails if the snapshot cannot be decoded.
func New(member *wire.Member, peers []tiller.Address, timing replicator.Timing, random *rand.Rand, restored replicator.RestoredState) (*Core, error) {
	c := &Core{
		member: member, peers: peers, random: random, state: arbiter.New(0), store: store.New(recentVersions),
		pullBudget: newTokenBucket(FullVersionsPerSecond*fullVersionCost, FullVersionsBurst*fullVersionCost),
		relays:     map[string]relay{}, reports: map[string]*report{},
		log: replicator.New(member.GetId(), tiller.Address(member.GetAddress()), timing, random, restored),
	}

	if restored.Snapshot != nil {
		if err := c.loadSnapshot(restored.Snapshot); err != nil {
			return nil, err
		}
	}

	return c, nil
}

func (c *Core) loadSnapshot(s *wire.Snapshot) error {
	state, err := arbiter.Decode(s.GetData())
	if err != nil {
		return err
	}

	c.state = state
	c.applied = s.GetIndex()
	c.snapshotIndex = s.GetIndex()

	return c.publish()
}

// publish makes the committed version available to relays.
func (c *Core) publish() error {
	if !c.state.Version().NewerThan(c.store.Version()) {
		return nil
	}

	return c.store.Set(c.state.Version(), c.state.Items())
}

// Step advances the controller by one input at the given clock reading and returns what the caller must do.
func (c *Core) Step(reading tiller.Millis, input Input) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := input.(type) {
	case Tick:
		c.stepLog(replicator.Tick{})
		c.tick()
	case Receive:
		c.receive(e.Envelope)
		c.out.Messages = wire.ReplyOverStream(e.Envelope, c.out.Messages)
	case Edit:
		c.edit(e)
	case ConfirmRead:
		c.stepLog(replicator.Confirm{Token: e.Token})
	}

	return c.out
}

// stepLog steps the replicated log and applies the entries that it commits. It returns the index of a proposal, zero if refused.
func (c *Core) stepLog(input replicator.Input) uint64 {
	e := c.log.Step(c.now, input)
	c.out.Record = mergeRecords(c.out.Record, e.Record)
	c.out.Events = append(c.out.Events, e.Events...)
	c.out.Messages = append(c.out.Messages, e.Messages...)
	c.out.Confirmed = append(c.out.Confirmed, e.Confirmed...)
	c.out.Unconfirmed = append(c.out.Unconfirmed, e.Unconfirmed...)

	if e.Snapshot != nil {
		c.out.Snapshot = e.Snapshot
	}

	if e.Restore != nil {
		c.installSnapshot(e.Restore)
	}

	if len(e.Committed) > 0 {
		c.applyAll(e.Committed)
		c.compact()
	}

	return e.Proposed
}

func mergeRecords(a, b *wire.Record) *wire.Record {
	if a == nil || b == nil {
		if a == nil {
			return b
		}

		return a
	}

	a.Entries = append(a.Entries, b.GetEntries()...)
	if b.GetHardState() != nil {
		a.HardState = b.GetHardState()
	}

	return a
}

func (c *Core) installSnapshot(s *wire.Snapshot) {
	if err := c.loadSnapshot(s); err != nil {
		c.emit(tiller.EventRejected, err.Error())

		return
	}

	c.advertiseToRelays()
}

// applyAll applies committed entries. Only the latest version of a batch, such as the log of a restarted controller, is published.
func (c *Core) applyAll(entries []*wire.Entry) {
	before := c.state.Version()
	revision := c.state.Placements().GetRevision()

	for _, entry := range entries {
		c.apply(entry)
	}

	if c.state.Version().NewerThan(before) {
		if err := c.publish(); err != nil {
			c.emit(tiller.EventRejected, err.Error(), tiller.WithVersion(c.state.Version()))
		}
	}

	if c.state.Version().NewerThan(before) || c.state.Placements().GetRevision() > revision {
		c.advertiseToRelays()
	}
}

func (c *Core) apply(entry *wire.Entry) {
	c.applied = entry.GetIndex()

	if entry.GetKind() == wire.EntryKind_ENTRY_KIND_COMMAND {
		c.applyCommand(entry)
	}

	c.resolveEdits(entry)
}

func (c *Core) applyCommand(entry *wire.Entry) {
	var command wire.Command
	if err := proto.Unmarshal(entry.GetData(), &command); err != nil {
		c.emit(tiller.EventRejected, err.Error())

		return
	}

	before := c.state.Version()
	outcome := c.state.Apply(entry.GetIndex(), &command)

	if c.state.Version().NewerThan(before) {
		c.emit(tiller.EventAccepted, "by "+outcome.GetAuthor(),
			tiller.WithVersion(c.state.Version()), tiller.WithKey(outcome.GetEditId()))
	} else if outcome.GetConflict() {
		c.emit(tiller.EventConflict, "base is not the version in force", tiller.WithKey(outcome.GetEditId()))
	}
}

func (c *Core) compact() {
	if c.applied < c.snapshotIndex+compactAfterEntries {
		return
	}

	data, err := c.state.Encode()
	if err != nil {
		c.emit(tiller.EventDiskFailed, err.Error())

		return
	}

	c.snapshotIndex = c.applied
	c.stepLog(replicator.Compact{Index: c.applied, Data: data})
}

func (c *Core) tick() {
	c.join()
	c.expirePendingEdits()
	c.repeatAdvertisements()

	if c.HoldsLease(c.now) && c.now >= c.nextPlacementAt {
		c.nextPlacementAt = c.now + placementPeriod
		c.placeClaims()
	}
}

func (c *Core) send(to string, e *wire.Envelope) {
	if to == c.member.GetAddress() {
		return
	}

	e.From = c.member.GetAddress()
	e.To = to
	c.out.Messages = append(c.out.Messages, e)
}

func (c *Core) emit(kind tiller.EventKind, detail string, options ...tiller.EventOption) {
	c.out.Events = append(c.out.Events, tiller.NewEvent(kind, detail, options...))
}

// HoldsLease reports whether the controller leads and holds its lease at the given clock reading.
func (c *Core) HoldsLease(reading tiller.Millis) bool { return c.log.HoldsLease(reading) }

// Status returns the controller's view of the cluster, the version in force and the data centres.
func (c *Core) Status(reading tiller.Millis) *wire.StatusReply {
	s := &wire.StatusReply{
		Controller: c.member.GetName(), Leader: string(c.log.Leader()), Current: c.HoldsLease(c.clock.Advance(reading)),
		Version: c.state.Version().Wire(), Members: c.log.Members(), Term: c.log.Term(), Commit: c.log.Commit(),
		Placements: c.state.Placements(), Now: int64(c.clock.Last()),
	}

	for _, dc := range sortedKeys(c.reports) {
		s.Reports = append(s.Reports, c.reports[dc].DataCentreReport)
	}

	return s
}

// Show returns the document in force with its history.
func (c *Core) Show(reading tiller.Millis) *wire.ShowReply {
	return &wire.ShowReply{
		Version: c.state.Version().Wire(), Items: c.state.Items(), History: c.state.History(),
		Current: c.HoldsLease(c.clock.Advance(reading)),
	}
}

// SetPeers replaces the controllers listed in the settings.
func (c *Core) SetPeers(peers []tiller.Address) { c.peers = peers }

// Voters returns the addresses of the voting members.
func (c *Core) Voters() []string {
	var out []string

	for _, m := range c.log.Members() {
		if m.GetVoter() {
			out = append(out, m.GetAddress())
		}
	}

	return out
}

// Leader returns the address of the leading controller, empty if unknown.
func (c *Core) Leader() tiller.Address { return c.log.Leader() }

// Cluster returns the cluster's identity, empty before the controller has joined one.
func (c *Core) Cluster() string { return c.log.Cluster() }

// Version returns the latest committed version.
func (c *Core) Version() tiller.Version { return c.state.Version() }

// HardState returns the term and vote, which the journal stores with a snapshot.
func (c *Core) HardState() *wire.HardState { return c.log.HardState() }

// Tail returns the log entries after the snapshot.
func (c *Core) Tail() []*wire.Entry { return c.log.Tail() }
