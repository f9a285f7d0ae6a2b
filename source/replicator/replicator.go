// Package replicator is the quorum protocol of the controllers: a replicated log with pre-vote, check-quorum, a leader
// lease, learners, single-step membership changes and snapshots. It does no input or output.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

//go:generate enumer -type=Role -trimprefix=Role -transform=snake

// Role is what a controller does in its term.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Timing holds the protocol's spans of time.
type Timing struct {
	heartbeat    tiller.Millis
	electionMin  tiller.Millis
	electionMax  tiller.Millis
	lease        tiller.Millis
	replaceAfter tiller.Millis
}

// NewTiming derives the spans from the heartbeat period.
func NewTiming(heartbeat tiller.Millis) Timing {
	const (
		electionMinBeats = 6
		electionMaxBeats = 12
		leaseBeats       = 5
		replaceBeats     = 20
	)

	return Timing{
		heartbeat:    heartbeat,
		electionMin:  electionMinBeats * heartbeat,
		electionMax:  electionMaxBeats * heartbeat,
		lease:        leaseBeats * heartbeat,
		replaceAfter: replaceBeats * heartbeat,
	}
}

// Lease returns how long a leader stays current after a quorum has answered.
func (t Timing) Lease() tiller.Millis { return t.lease }

// ElectionMax returns the longest wait before a follower campaigns.
func (t Timing) ElectionMax() tiller.Millis { return t.electionMax }

const (
	// DefaultHeartbeat suits controllers in different regions.
	DefaultHeartbeat tiller.Millis = 200
	// MaxVoters is the size up to which learners are promoted.
	MaxVoters = 5

	maxEntriesPerAppend = 256
	maxBytesPerAppend   = 1 << 20
	snapshotRetry       = 2 * tiller.Second
)

// Restored is what the journal holds at start.
type Restored struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}

// Effects is what the caller must do after a step, in the order of the fields.
type Effects struct {
	// Record must be durable before anything below is done.
	Record *wire.Record
	// Snapshot replaces the journal and must be durable before anything below is done.
	Snapshot *wire.Snapshot
	// Restore replaces the state machine when set.
	Restore *wire.Snapshot
	// Committed is applied to the state machine in order.
	Committed []*wire.Entry
	// Messages are sent last.
	Messages []*wire.Envelope
	// Events go to the time line.
	Events []tiller.Event
	// Confirmed are the tokens of confirmations that a quorum has answered.
	Confirmed []uint64
	// Unconfirmed are the tokens of confirmations that this controller cannot give.
	Unconfirmed []uint64
	// Proposed is the position of the proposal of this step, zero if it was refused.
	Proposed uint64
}

// Event is an input of the core.
type Event interface{ event() }

// Tick tells the core that time has passed.
type Tick struct{}

// Receive hands the core a message.
type Receive struct{ Envelope *wire.Envelope }

// Propose asks the leader to append a command.
type Propose struct{ Data []byte }

// Compact tells the core that the state machine has been saved up to an index.
type Compact struct {
	Index uint64
	Data  []byte
}

// Confirm asks the leader to make sure by a round of messages that no other controller leads. Clocks play no part, so that
// a controller that was suspended learns that it no longer leads. The token comes back in the effects.
type Confirm struct{ Token uint64 }

func (Confirm) event() {}
func (Tick) event()    {}
func (Receive) event() {}
func (Propose) event() {}
func (Compact) event() {}

type progress struct {
	match         uint64
	round         uint64
	next          uint64
	acked         tiller.Millis
	heard         tiller.Millis
	snapshotUntil tiller.Millis
}

// Core is one controller's part of the protocol.
type Core struct {
	id      string
	address tiller.Address
	cluster string
	timing  Timing
	random  *rand.Rand
	clock   tiller.Ratchet
	now     tiller.Millis

	role        Role
	term        uint64
	vote        string
	leader      string
	leaderHeard tiller.Millis
	electionAt  tiller.Millis
	heartbeatAt tiller.Millis
	votes       tiller.Set[string]

	snapshot *wire.Snapshot
	entries  []*wire.Entry
	commit   uint64
	applied  uint64

	members      []*wire.Member
	membersIndex uint64
	progress     map[string]*progress

	round      uint64
	confirming []confirmation

	out          Effects
	stateChanged bool
}

// New returns a core; an empty restored state makes it wait until a leader adds it.
func New(id string, address tiller.Address, timing Timing, random *rand.Rand, restored Restored) *Core {
	c := &Core{
		id: id, address: address, timing: timing, random: random,
		term: restored.HardState.GetTerm(), vote: restored.HardState.GetVote(),
		snapshot: restored.Snapshot, entries: slices.Clone(restored.Entries),
		progress: map[string]*progress{},
	}
	if c.snapshot == nil {
		c.snapshot = &wire.Snapshot{}
	}

	c.cluster = c.snapshot.GetCluster()
	c.commit = c.snapshot.GetIndex()
	c.applied = c.commit
	c.reloadMembers()

	return c
}

// Bootstrap returns the first snapshot of a new cluster with the given voters. Controllers that form a cluster together must
// be given equal arguments.
func Bootstrap(cluster string, data []byte, voters ...*wire.Member) *wire.Snapshot {
	members := &wire.Members{}
	for _, m := range voters {
		members.Members = append(members.Members, &wire.Member{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Voter: true})
	}

	return &wire.Snapshot{Index: 1, Term: 1, Members: members, Data: data, Cluster: cluster}
}

// Step advances the protocol by one event and returns what the caller must do.
func (c *Core) Step(reading tiller.Millis, event Event) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	if c.electionAt == 0 {
		c.start()
	}

	c.stateChanged = false

	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Envelope)
	case Propose:
		c.propose(e.Data)
	case Confirm:
		c.confirm(e.Token)
	case Compact:
		c.compact(e.Index, e.Data)
	}

	c.advanceCommit()
	c.deliver()
	c.settleConfirmations()
	c.sealRecord()

	return c.out
}

// start withholds votes for a while, since a leader that was heard before a restart may still hold its lease.
func (c *Core) start() {
	c.resetElection()

	if c.term > 0 {
		c.leaderHeard = c.now
	}
}

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()

		return
	}

	if c.now >= c.electionAt && c.isVoter(c.id) {
		c.campaign(true)
	}
}

func (c *Core) tickLeader() {
	if c.quorumAcked() < c.now-c.timing.electionMin {
		c.emit(tiller.EventSteppedDown, "no quorum of voters answers")
		c.follow(c.term, "")

		return
	}

	if c.membersIndex <= c.commit && !c.isVoter(c.id) {
		c.emit(tiller.EventSteppedDown, "no longer a voter")
		c.follow(c.term, "")

		return
	}

	if c.now < c.heartbeatAt {
		return
	}

	c.heartbeatAt = c.now + c.timing.heartbeat
	c.broadcast()
	c.maintainMembers()
}

func (c *Core) receive(e *wire.Envelope) {
	if !c.sameCluster(e) {
		return
	}

	switch b := e.GetBody().(type) {
	case *wire.Envelope_VoteRequest:
		c.onVoteRequest(e.GetFrom(), b.VoteRequest)
	case *wire.Envelope_VoteReply:
		c.onVoteReply(b.VoteReply)
	case *wire.Envelope_Append:
		c.onAppend(e.GetFrom(), b.Append)
	case *wire.Envelope_AppendReply:
		c.onAppendReply(b.AppendReply)
	case *wire.Envelope_InstallSnapshot:
		c.onInstallSnapshot(e.GetFrom(), b.InstallSnapshot)
	case *wire.Envelope_Join:
		c.onJoin(b.Join.GetMember())
	default:
	}
}

// sameCluster keeps apart controllers of other clusters; one without a cluster only listens to snapshots.
func (c *Core) sameCluster(e *wire.Envelope) bool {
	if c.cluster != "" {
		return e.GetCluster() == c.cluster || (e.GetCluster() == "" && e.GetJoin() != nil)
	}

	return e.GetInstallSnapshot() != nil
}

func (c *Core) emit(kind tiller.EventKind, format string, args ...any) {
	c.out.Events = append(c.out.Events, tiller.NewEvent(kind, fmt.Sprintf(format, args...)))
}

func (c *Core) send(to string, e *wire.Envelope) {
	if to == "" || to == string(c.address) {
		return
	}

	e.From = string(c.address)
	e.To = to
	e.Cluster = c.cluster
	c.out.Messages = append(c.out.Messages, e)
}

// Current reports whether this controller leads and holds its lease at the given time.
func (c *Core) Current(reading tiller.Millis) bool {
	now := c.clock.Advance(reading)
	if c.role != RoleLeader || c.termAt(c.commit) != c.term {
		return false
	}

	c.now = now

	return now < c.quorumAcked()+c.timing.lease
}

// ID returns the identity under which the controller votes.
func (c *Core) ID() string { return c.id }

// Cluster returns the cluster's identity, empty before the controller has joined one.
func (c *Core) Cluster() string { return c.cluster }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the highest committed index that the controller knows.
func (c *Core) Commit() uint64 { return c.commit }

// Members returns the controllers of the cluster, learners included.
func (c *Core) Members() []*wire.Member { return c.members }

// Leader returns the address of the leader, empty if unknown.
func (c *Core) Leader() tiller.Address {
	if m := c.member(c.leader); m != nil {
		return tiller.Address(m.GetAddress())
	}

	return ""
}

// HardState returns the term and vote to store with a snapshot.
func (c *Core) HardState() *wire.HardState { return &wire.HardState{Term: c.term, Vote: c.vote} }

// Tail returns the entries after the snapshot.
func (c *Core) Tail() []*wire.Entry { return slices.Clone(c.entries) }
