package replicator

import (
	"slices"

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

func (c *Core) isVoter(id string) bool { return c.member(id).GetVoter() }

func (c *Core) adoptMembers(e *wire.Entry) {
	if m, ok := membersOf(e); ok {
		c.members = m
		c.membersIndex = e.GetIndex()
		c.syncProgress()
	}
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
			c.progress[m.GetId()] = &progress{next: c.lastIndex() + 1, heard: c.now}
		}
	}

	if p := c.progress[c.id]; p != nil {
		p.match = c.lastIndex()
	}
}

// canChangeMembers holds when the last change and an entry of this term are committed.
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

// onJoin adds an unknown controller as a learner.
func (c *Core) onJoin(m *wire.Member) {
	if m.GetId() == "" || c.member(m.GetId()) != nil || !c.canChangeMembers() {
		return
	}

	learner := &wire.Member{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress()}
	c.changeMembers(append(slices.Clone(c.members), learner), "learner %s added", m.GetName())

	// The joiner has no cluster yet and takes nothing but a snapshot.
	if p := c.progress[m.GetId()]; p != nil {
		p.next = 0
	}
}

// forgetAfter is how long a learner may be silent; it joins again by itself when it returns.
const forgetAfter = tiller.Minute

// maintainMembers takes at most one step: retire a replaced identity, demote a silent voter or promote a learner.
func (c *Core) maintainMembers() {
	if !c.canChangeMembers() {
		return
	}

	if gone := c.silentMember(false, forgetAfter); gone != nil {
		c.changeMembers(c.without(gone), "silent learner %s removed", gone.GetName())

		return
	}

	learners := c.readyLearners()
	if len(learners) == 0 {
		return
	}

	for _, learner := range learners {
		if old := c.replacedBy(learner); old != nil {
			c.changeMembers(c.without(old), "identity of %s retired", old.GetName())

			return
		}
	}

	if silent := c.silentMember(true, c.timing.replaceAfter); silent != nil {
		c.changeMembers(c.withVoter(silent, false), "silent voter %s demoted", silent.GetName())

		return
	}

	if c.voters() < oddAtMost(min(c.voters()+len(learners), MaxVoters)) {
		c.changeMembers(c.withVoter(learners[0], true), "learner %s promoted", learners[0].GetName())
	}
}

// oddAtMost returns the largest odd number up to n: an even number of voters survives no more failures.
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

	return p != nil && p.match >= c.commit && p.acked >= c.now-c.timing.electionMin
}

// replacedBy returns the older identity of the same controller, whose disk is gone. Initial voters are named by their address.
func (c *Core) replacedBy(learner *wire.Member) *wire.Member {
	for _, m := range c.members {
		same := m.GetName() == learner.GetName() || m.GetAddress() == learner.GetAddress()
		if same && m.GetId() != learner.GetId() && m.GetId() != c.id {
			return m
		}
	}

	return nil
}

// silentMember returns a voter or a learner that has not answered for a span.
func (c *Core) silentMember(voter bool, span tiller.Millis) *wire.Member {
	for _, m := range c.members {
		p := c.progress[m.GetId()]
		if m.GetVoter() == voter && m.GetId() != c.id && p != nil && p.heard < c.now-span {
			return m
		}
	}

	return nil
}

func (c *Core) voters() int {
	n := 0

	for _, m := range c.members {
		if m.GetVoter() {
			n++
		}
	}

	return n
}

func (c *Core) without(gone *wire.Member) []*wire.Member {
	return slices.DeleteFunc(slices.Clone(c.members), func(m *wire.Member) bool { return m.GetId() == gone.GetId() })
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
