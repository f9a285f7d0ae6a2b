// Package replicator implements the consensus protocol of the controllers: a replicated log in the manner of Raft, with
// pre-vote, check-quorum, a leader lease, learners, single-step membership changes and snapshots. It performs no I/O.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

//go:generate enumer -type=Role -trimprefix=Role -transform=snake

// Role is the role of a controller in its current term.
type Role int

// Roles of a controller.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Timing holds the periods and timeouts of the protocol.
type Timing struct {
	heartbeat   tiller.Millis
	electionMin tiller.Millis
	electionMax tiller.Millis
	lease       tiller.Millis
	demoteAfter tiller.Millis
}

// NewTiming derives the timeouts from the heartbeat period.
func NewTiming(heartbeat tiller.Millis) Timing {
	const (
		electionMinBeats = 6
		electionMaxBeats = 12
		// A lease must expire before another leader can be elected.
		leaseBeats  = 5
		demoteBeats = 20
	)

	return Timing{
		heartbeat:   heartbeat,
		electionMin: electionMinBeats * heartbeat,
		electionMax: electionMaxBeats * heartbeat,
		lease:       leaseBeats * heartbeat,
		demoteAfter: demoteBeats * heartbeat,
	}
}

// Lease returns how long a leader's lease lasts, counted from the sending of a heartbeat that a quorum acknowledges.
func (t Timing) Lease() tiller.Millis { return t.lease }

// ElectionMax returns the longest election timeout, after which a follower without contact to a leader starts an election.
func (t Timing) ElectionMax() tiller.Millis { return t.electionMax }

const (
	// DefaultHeartbeat is the heartbeat period in milliseconds for controllers in different regions.
	DefaultHeartbeat tiller.Millis = 200
	// MaxVoters is the number of voters up to which learners are promoted.
	MaxVoters = 5

	maxEntriesPerAppend = 256
	maxBytesPerAppend   = 1 << 20
	snapshotRetryPeriod = 2 * tiller.Second
)

// RestoredState is the durable state loaded from the journal at start.
type RestoredState struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}

// Effects lists what the caller must do after a step, in the order of the fields.
type Effects struct {
	// Record must be durable before the effects below are carried out.
	Record *wire.Record
	// Snapshot replaces the journal and must be durable before the effects below are carried out.
	Snapshot *wire.Snapshot
	// Restore, if set, replaces the state of the state machine.
	Restore *wire.Snapshot
	// Committed entries are applied to the state machine in order.
	Committed []*wire.Entry
	// Messages are sent after the steps above.
	Messages []*wire.Envelope
	// Events are recorded in the timeline.
	Events []tiller.Event
	// Confirmed holds the tokens of the confirmations that a quorum has acknowledged.
	Confirmed []uint64
	// Unconfirmed holds the tokens of the confirmations that failed.
	Unconfirmed []uint64
	// Proposed is the log index of the proposal made in this step, zero if it was refused.
	Proposed uint64
}

// Input is an input of Core.Step.
type Input interface{ input() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Envelope *wire.Envelope }

// Propose asks the leader to append a command.
type Propose struct{ Data []byte }

// Compact replaces the log up to an index by the state machine's data at that index.
type Compact struct {
	Index uint64
	Data  []byte
}

// Confirm asks the leader to verify, by a round of messages to a quorum, that no other controller leads. It does not rely on
// clocks, so that a controller that was suspended learns that it no longer leads. The token is returned in the effects.
type Confirm struct{ Token uint64 }

func (Confirm) input() {}
func (Tick) input()    {}
func (Receive) input() {}
func (Propose) input() {}
func (Compact) input() {}

type progress struct {
	matchIndex     uint64
	ackedRound     uint64
	nextIndex      uint64
	ackedSentAt    tiller.Millis
	lastReplyAt    tiller.Millis
	nextSnapshotAt tiller.Millis
}

// Core is the protocol state of one controller.
type Core struct {
	id      string
	address tiller.Address
	cluster string
	timing  Timing
	random  *rand.Rand
	clock   tiller.MonotonicClock
	now     tiller.Millis

	role              Role
	term              uint64
	vote              string
	leader            string
	lastLeaderContact tiller.Millis
	electionAt        tiller.Millis
	heartbeatAt       tiller.Millis
	votes             tiller.Set[string]

	snapshot *wire.Snapshot
	entries  []*wire.Entry
	commit   uint64
	applied  uint64

	members      []*wire.Member
	membersIndex uint64
	// reportedMembers is the index of the membership that was recorded last.
	reportedMembers uint64
	progress        map[string]*progress

	round                uint64
	pendingConfirmations []confirmation

	out          Effects
	stateChanged bool
}

// New returns a core with the restored state. If that is empty, the core waits until a leader adds it to a cluster.
func New(id string, address tiller.Address, timing Timing, random *rand.Rand, restored RestoredState) *Core {
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
// pass equal arguments.
func Bootstrap(cluster string, data []byte, voters ...*wire.Member) *wire.Snapshot {
	members := &wire.Members{}
	for _, m := range voters {
		members.Members = append(members.Members, &wire.Member{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Voter: true})
	}

	return &wire.Snapshot{Index: 1, Term: 1, Members: members, Data: data, Cluster: cluster}
}

// Step advances the protocol by one input at the given clock reading and returns what the caller must do.
func (c *Core) Step(reading tiller.Millis, input Input) Effects {
	c.now = c.clock.Advance(reading)
	c.out = Effects{}

	if c.electionAt == 0 {
		c.start()
	}

	c.stateChanged = false

	switch e := input.(type) {
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
	c.deliverCommitted()
	c.resolveConfirmations()
	c.recordHardState()

	if c.reportedMembers != c.membersIndex {
		c.reportedMembers = c.membersIndex
		c.emitMembership()
	}

	return c.out
}

// start counts a restart as contact with a leader, so that votes are withheld for a while: a leader whose heartbeat was acknowledged
// before the restart may still hold its lease.
func (c *Core) start() {
	c.resetElection()

	if c.term > 0 {
		c.lastLeaderContact = c.now
	}

	c.reportedMembers = c.membersIndex
	c.emitMembership()
}

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()

		return
	}

	if c.now < c.electionAt {
		return
	}

	if c.isVoter(c.id) {
		c.campaign(true)

		return
	}

	// A learner that the leader has removed hears nothing more, and asks to be added again only once it knows no leader.
	c.becomeFollower(c.term, "")
}

func (c *Core) tickLeader() {
	if c.quorumAcked() < c.now-c.timing.electionMin {
		c.emit(tiller.EventSteppedDown, "no quorum of voters answers")
		c.becomeFollower(c.term, "")

		return
	}

	if c.membersIndex <= c.commit && !c.isVoter(c.id) {
		c.emit(tiller.EventSteppedDown, "no longer a voter")
		c.becomeFollower(c.term, "")

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
		c.onJoin(e.GetFrom(), b.Join.GetMember())
	default:
	}
}

// sameCluster reports whether to accept a message. Controllers of other clusters are ignored, and a controller without a cluster
// accepts only snapshots.
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

// HoldsLease reports whether this controller leads and holds its lease at the given clock reading.
func (c *Core) HoldsLease(reading tiller.Millis) bool {
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

// Commit returns the highest index known to be committed.
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

// HardState returns the term and vote, which are stored with a snapshot.
func (c *Core) HardState() *wire.HardState { return &wire.HardState{Term: c.term, Vote: c.vote} }

// Tail returns the entries after the snapshot.
func (c *Core) Tail() []*wire.Entry { return slices.Clone(c.entries) }
