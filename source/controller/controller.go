// Package controller holds the decisions of a control VM: it replicates edits, serves versions to relays, keeps the
// reports of the data centres and places claim groups. It does no input or output.
package controller

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Bounds and periods of a controller.
const (
	// WholesPerSecond is the rate at which a controller answers with whole versions; other answers cost less.
	WholesPerSecond = 60
	// WholesBurst is how many whole versions it sends at once.
	WholesBurst = 120

	wholeCost = 8
	pullCost  = 1

	recentVersions = 256
	compactEvery   = 512
	relayMemory    = 15 * tiller.Second
	// maxOffers and offerPeriod repeat an offer that a relay does not react to, since it may have been lost.
	maxOffers                        = 4
	offerPeriod        tiller.Millis = 150
	joinPeriod                       = tiller.Second
	busyRetry                        = 2 * tiller.Second
	maxPeersTold                     = 4
	maxDataCentresTold               = 16
	editTimeout        tiller.Millis = 5000
	maxWaitingEdits                  = 256
)

// Effects is what the caller must do after a step, in the order of the fields.
type Effects struct {
	// Record must be durable before anything below is done.
	Record *wire.Record
	// Snapshot replaces the journal and must be durable before anything below is done.
	Snapshot *wire.Snapshot
	// Messages are sent.
	Messages []*wire.Envelope
	// Replies answer edits.
	Replies []Reply
	// Confirmed are the tokens of reads that see the newest committed version.
	Confirmed []uint64
	// Unconfirmed are the tokens of reads that this controller cannot answer.
	Unconfirmed []uint64
	// Events go to the time line.
	Events []tiller.Event
}

// Reply answers the edit that came with a token.
type Reply struct {
	token uint64
	reply *wire.ApplyReply
}

// Token returns the token of the edit.
func (r Reply) Token() uint64 { return r.token }

// Reply returns the answer.
func (r Reply) Reply() *wire.ApplyReply { return r.reply }

// Event is an input of the core.
type Event interface{ event() }

// Tick tells the core that time has passed.
type Tick struct{}

// Receive hands the core a message.
type Receive struct{ Envelope *wire.Envelope }

// Edit asks for a new version; the token comes back with the reply.
type Edit struct {
	Token uint64
	Edit  *wire.Edit
}

// Read asks whether what this controller shows is the newest; the token comes back in the effects.
type Read struct{ Token uint64 }

func (Read) event()    {}
func (Tick) event()    {}
func (Receive) event() {}
func (Edit) event()    {}

type waiting struct {
	token uint64
	edit  *wire.Edit
	index uint64
	term  uint64
	until tiller.Millis
}

// report is a data centre's latest report and since when its claim candidates are the same.
type report struct {
	*wire.DataCentreReport
	stableSince tiller.Millis
}

type relay struct {
	dataCentre string
	seenAt     tiller.Millis
	// offers is how often the newest version is still to be offered, next at offerAt; a pull ends it.
	offers  int
	offerAt tiller.Millis
}

// Core is one controller.
type Core struct {
	member  *wire.Member
	peers   []tiller.Address
	log     *replicator.Core
	state   *arbiter.State
	holder  *holder.Holder
	bucket  bucket
	clock   tiller.Ratchet
	now     tiller.Millis
	joinAt  tiller.Millis
	random  *rand.Rand
	relays  map[string]relay
	reports map[string]*report
	waiting []waiting
	applied uint64
	saved   uint64
	placeAt tiller.Millis

	out Effects
}

// New returns a controller; the restored state is empty on a fresh disk.
func New(member *wire.Member, peers []tiller.Address, timing replicator.Timing, random *rand.Rand, restored replicator.Restored) (*Core, error) {
	c := &Core{
		member: member, peers: peers, random: random, state: arbiter.New(0), holder: holder.New(recentVersions),
		bucket: newBucket(WholesPerSecond*wholeCost, WholesBurst*wholeCost), relays: map[string]relay{}, reports: map[string]*report{},
		log: replicator.New(member.GetId(), tiller.Address(member.GetAddress()), timing, random, restored),
	}

	if restored.Snapshot != nil {
		if err := c.restore(restored.Snapshot); err != nil {
			return nil, err
		}
	}

	return c, nil
}

func (c *Core) restore(s *wire.Snapshot) error {
	state, err := arbiter.Decode(s.GetData())
	if err != nil {
		return err
	}

	c.state = state
	c.applied = s.GetIndex()
	c.saved = s.GetIndex()

	return c.serve()
}

// serve makes the replicated version available to pullers.
func (c *Core) serve() error {
	if !c.state.Version().NewerThan(c.holder.Version()) {
		return nil
	}

	return c.holder.Set(c.state.Version(), c.state.Items())
}

// Step advances the controller by one event.
func (c *Core) Step(reading tiller.Millis, event Event) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	switch e := event.(type) {
	case Tick:
		c.run(replicator.Tick{})
		c.tick()
	case Receive:
		c.receive(e.Envelope)
		c.out.Messages = wire.AnswerAlike(e.Envelope, c.out.Messages)
	case Edit:
		c.edit(e)
	case Read:
		c.run(replicator.Confirm{Token: e.Token})
	}

	return c.out
}

// run steps the log and applies what it committed.
func (c *Core) run(event replicator.Event) uint64 {
	e := c.log.Step(c.now, event)
	c.out.Record = mergeRecords(c.out.Record, e.Record)
	c.out.Events = append(c.out.Events, e.Events...)
	c.out.Messages = append(c.out.Messages, e.Messages...)
	c.out.Confirmed = append(c.out.Confirmed, e.Confirmed...)
	c.out.Unconfirmed = append(c.out.Unconfirmed, e.Unconfirmed...)

	if e.Snapshot != nil {
		c.out.Snapshot = e.Snapshot
	}

	if e.Restore != nil {
		c.restored(e.Restore)
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

func (c *Core) restored(s *wire.Snapshot) {
	if err := c.restore(s); err != nil {
		c.emit(tiller.EventRejected, err.Error())

		return
	}

	c.offerRelays()
}

// applyAll applies committed entries; only the newest version of a batch, such as the log of a restarted controller, is served.
func (c *Core) applyAll(entries []*wire.Entry) {
	before := c.state.Version()
	revision := c.state.Placements().GetRevision()

	for _, entry := range entries {
		c.apply(entry)
	}

	if c.state.Version().NewerThan(before) {
		if err := c.serve(); err != nil {
			c.emit(tiller.EventRejected, err.Error(), tiller.WithVersion(c.state.Version()))
		}
	}

	if c.state.Version().NewerThan(before) || c.state.Placements().GetRevision() > revision {
		c.offerRelays()
	}
}

func (c *Core) apply(entry *wire.Entry) {
	c.applied = entry.GetIndex()

	if entry.GetKind() == wire.EntryKind_ENTRY_KIND_COMMAND {
		c.applyCommand(entry)
	}

	c.settle(entry)
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
	if c.applied < c.saved+compactEvery {
		return
	}

	data, err := c.state.Encode()
	if err != nil {
		c.emit(tiller.EventDiskFailed, err.Error())

		return
	}

	c.saved = c.applied
	c.run(replicator.Compact{Index: c.applied, Data: data})
}

func (c *Core) tick() {
	c.join()
	c.expireWaiting()
	c.repeatOffers()

	if c.Current(c.now) && c.now >= c.placeAt {
		c.placeAt = c.now + placePeriod
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

// Current reports whether the controller leads and holds its lease.
func (c *Core) Current(reading tiller.Millis) bool { return c.log.Current(reading) }

// Status returns what the controller knows.
func (c *Core) Status(reading tiller.Millis) *wire.StatusReply {
	s := &wire.StatusReply{
		Controller: c.member.GetName(), Leader: string(c.log.Leader()), Current: c.Current(c.clock.Advance(reading)),
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
		Current: c.Current(c.clock.Advance(reading)),
	}
}

// SetPeers replaces the controllers that the settings name.
func (c *Core) SetPeers(peers []tiller.Address) { c.peers = peers }

// Leader returns the address of the leading controller, empty if unknown.
func (c *Core) Leader() tiller.Address { return c.log.Leader() }

// Cluster returns the cluster's identity, empty before the controller has joined.
func (c *Core) Cluster() string { return c.log.Cluster() }

// Version returns the newest committed version.
func (c *Core) Version() tiller.Version { return c.state.Version() }

// HardState returns what the journal stores with a snapshot.
func (c *Core) HardState() *wire.HardState { return c.log.HardState() }

// Tail returns the log after the snapshot.
func (c *Core) Tail() []*wire.Entry { return c.log.Tail() }
