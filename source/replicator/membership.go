package replicator

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) member(id string) *wire.Member {
	for _, m := range c.members {
		if m.GetId() == id {
			return m
		}
	}

	return nil
}

// nameOf returns the name of a member, or its identity if it is not one.
func (c *Core) nameOf(id string) string {
	if m := c.member(id); m != nil {
		return m.GetName()
	}

	return id
}

func (c *Core) isVoter(id string) bool { return c.member(id).GetVoter() }

func (c *Core) adoptMembers(e *wire.Entry) {
	if m, ok := membersOf(e); ok {
		c.members = m
		c.membersIndex = e.GetIndex()
		c.syncProgress()
	}
}

// emitMembership records which controllers this one believes to be voters and learners.
func (c *Core) emitMembership() {
	var voters, learners []string

	for _, m := range c.members {
		if m.GetVoter() {
			voters = append(voters, m.GetName()+" "+m.GetId())
		} else {
			learners = append(learners, m.GetName()+" "+m.GetId())
		}
	}

	c.emit(tiller.EventMembership, "voters [%s], learners [%s], set by entry %d of term %d",
		strings.Join(voters, ", "), strings.Join(learners, ", "), c.membersIndex, c.termAt(c.membersIndex))
}

func (c *Core) reloadMembers() {
	c.members = c.snapshot.GetMembers().GetMembers()
	c.membersIndex = c.snapshot.GetIndex()

	for _, e := range c.entries {
		c.adoptMembers(e)
	}
}

func (c *Core) syncProgress() {
	if c.role != RoleLeader {
		return
	}

	for _, m := range c.members {
		if c.progress[m.GetId()] == nil {
			c.progress[m.GetId()] = &progress{nextIndex: c.lastIndex() + 1, lastReplyAt: c.now}
		}
	}

	if p := c.progress[c.id]; p != nil {
		p.matchIndex = c.lastIndex()
	}
}

// canChangeMembers reports whether the last membership change and an entry of the current term are committed.
func (c *Core) canChangeMembers() bool {
	return c.role == RoleLeader && c.membersIndex <= c.commit && c.termAt(c.commit) == c.term
}

func (c *Core) changeMembers(members []*wire.Member, format string, args ...any) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Members{Members: members})
	if err != nil {
		return
	}

	c.emit(tiller.EventMemberChanged, format, args...)
	c.append(wire.EntryKind_ENTRY_KIND_VOTERS, data)
	c.broadcast()
}

// onJoin handles a controller's request to be added. A follower passes it on, since a controller with an empty disk knows only its seeds and
// the leader need not be one of them. A request that was passed on before is not passed on again.
func (c *Core) onJoin(from string, m *wire.Member) {
	if m.GetId() == "" {
		return
	}

	switch {
	case c.role == RoleLeader && c.member(m.GetId()) != nil:
		c.resendSnapshot(m)
	case c.canChangeMembers():
		c.addLearner(m)
	case c.role == RoleFollower && c.Leader() != "" && from == m.GetAddress():
		c.emit(tiller.EventJoinRequested, "%s %s passed on to the leader %s", m.GetName(), m.GetId(), c.nameOf(c.leader))
		c.send(string(c.Leader()), &wire.Envelope{Body: &wire.Envelope_Join{Join: &wire.Join{Member: m}}})
	default:
		c.emit(tiller.EventJoinRequested, "%s %s not added by this %s of term %d, leader %q", m.GetName(), m.GetId(), c.role, c.term, c.Leader())
	}
}

func (c *Core) addLearner(m *wire.Member) {
	learner := &wire.Member{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress()}
	c.changeMembers(append(slices.Clone(c.members), learner), "learner %s added", m.GetName())

	c.resendSnapshot(m)
}

// resendSnapshot starts the replication to a member with the snapshot if it has acknowledged nothing yet: a controller without a cluster
// accepts only a snapshot, and the leader that added it may be gone.
func (c *Core) resendSnapshot(m *wire.Member) {
	if p := c.progress[m.GetId()]; p != nil && p.matchIndex == 0 {
		p.nextIndex = 0
	}
}

// learnerRemovalDelay is how long a learner may be unresponsive before it is removed; it joins again by itself when it returns.
const learnerRemovalDelay = tiller.Minute

// maintainMembers makes at most one change: it removes an unresponsive learner, retires a replaced identity, demotes an
// unresponsive voter or promotes a learner.
func (c *Core) maintainMembers() {
	if !c.canChangeMembers() {
		return
	}

	if learner := c.unresponsiveMember(false, learnerRemovalDelay); learner != nil {
		c.changeMembers(c.without(learner), "unresponsive learner %s removed", learner.GetName())

		return
	}

	learners := c.readyLearners()
	if len(learners) == 0 {
		return
	}

	for _, learner := range learners {
		if old := c.previousIdentity(learner); old != nil {
			c.changeMembers(c.without(old), "identity of %s retired", old.GetName())

			return
		}
	}

	if voter := c.unresponsiveMember(true, c.timing.demoteAfter); voter != nil {
		c.changeMembers(c.withVoter(voter, false), "unresponsive voter %s demoted", voter.GetName())

		return
	}

	if c.voterCount() < oddAtMost(min(c.voterCount()+len(learners), MaxVoters)) {
		c.changeMembers(c.withVoter(learners[0], true), "learner %s promoted", learners[0].GetName())
	}
}

// oddAtMost returns the largest odd number up to n: an even number of voters tolerates no more failures than one voter fewer.
func oddAtMost(n int) int { return n - 1 + n%2 }

func (c *Core) readyLearners() []*wire.Member {
	var out []*wire.Member

	for _, m := range c.members {
		if !m.GetVoter() && c.caughtUp(m) {
			out = append(out, m)
		}
	}

	return out
}

func (c *Core) caughtUp(m *wire.Member) bool {
	p := c.progress[m.GetId()]

	return p != nil && p.matchIndex >= c.commit && p.ackedSentAt >= c.now-c.timing.electionMin
}

// previousIdentity returns the older identity of a controller that lost its disk. It compares addresses too, since initial voters
// have their address as name.
func (c *Core) previousIdentity(learner *wire.Member) *wire.Member {
	for _, m := range c.members {
		same := m.GetName() == learner.GetName() || m.GetAddress() == learner.GetAddress()
		if same && m.GetId() != learner.GetId() && m.GetId() != c.id {
			return m
		}
	}

	return nil
}

// unresponsiveMember returns another voter, or learner if voter is false, that has not replied for longer than span.
func (c *Core) unresponsiveMember(voter bool, span tiller.Millis) *wire.Member {
	for _, m := range c.members {
		p := c.progress[m.GetId()]
		if m.GetVoter() == voter && m.GetId() != c.id && p != nil && p.lastReplyAt < c.now-span {
			return m
		}
	}

	return nil
}

func (c *Core) voterCount() int {
	n := 0

	for _, m := range c.members {
		if m.GetVoter() {
			n++
		}
	}

	return n
}

func (c *Core) without(removed *wire.Member) []*wire.Member {
	return slices.DeleteFunc(slices.Clone(c.members), func(m *wire.Member) bool { return m.GetId() == removed.GetId() })
}

func (c *Core) withVoter(changed *wire.Member, voter bool) []*wire.Member {
	out := slices.Clone(c.members)
	for i, m := range out {
		if m.GetId() == changed.GetId() {
			out[i] = &wire.Member{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Voter: voter}
		}
	}

	return out
}
