package replicator

import (
	"cmp"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) propose(data []byte) {
	if c.role != RoleLeader {
		return
	}

	c.out.Proposed = c.append(wire.EntryKind_ENTRY_KIND_COMMAND, data)
	c.broadcast()
}

func (c *Core) append(kind wire.EntryKind, data []byte) uint64 {
	e := &wire.Entry{Index: c.lastIndex() + 1, Term: c.term, Kind: kind, Data: data}
	c.appendEntries(e)

	if p := c.progress[c.id]; p != nil {
		p.matchIndex = e.GetIndex()
	}

	return e.GetIndex()
}

func (c *Core) appendEntries(entries ...*wire.Entry) {
	c.entries = append(c.entries, entries...)
	c.record().Entries = append(c.record().Entries, entries...)

	for _, e := range entries {
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_VOTERS {
			c.adoptMembers(e)
		}
	}
}

func (c *Core) record() *wire.Record {
	if c.out.Record == nil {
		c.out.Record = &wire.Record{}
	}

	return c.out.Record
}

func (c *Core) recordHardState() {
	if c.stateChanged {
		c.record().HardState = &wire.HardState{Term: c.term, Vote: c.vote}
	}
}

func (c *Core) setTerm(term uint64, vote string) {
	if c.term == term && c.vote == vote {
		return
	}

	c.term = term
	c.vote = vote
	c.stateChanged = true
}

// advanceCommit advances the leader's commit index to the last entry that a quorum of voters stores, if it is of the current term.
func (c *Core) advanceCommit() {
	if c.role != RoleLeader {
		return
	}

	matches := c.voterValues(func(p *progress) int64 { return int64(p.matchIndex) })
	if len(matches) == 0 {
		return
	}

	index := uint64(matches[c.quorum()-1])
	if index > c.commit && c.termAt(index) == c.term {
		c.commit = index
		c.broadcast()
	}
}

func (c *Core) deliverCommitted() {
	for c.applied < c.commit {
		e := c.entry(c.applied + 1)
		if e == nil {
			return
		}

		c.applied++
		c.out.Committed = append(c.out.Committed, e)
	}
}

// voterValues returns one value per voter, in descending order.
func (c *Core) voterValues(value func(*progress) int64) []int64 {
	var out []int64

	for _, m := range c.members {
		if !m.GetVoter() {
			continue
		}

		v := int64(0)
		if p := c.progress[m.GetId()]; p != nil {
			v = value(p)
		}

		out = append(out, v)
	}

	slices.SortFunc(out, func(a, b int64) int { return cmp.Compare(b, a) })

	return out
}

// quorumAcked returns the send time of the latest heartbeat that a quorum has acknowledged.
func (c *Core) quorumAcked() tiller.Millis {
	if p := c.progress[c.id]; p != nil {
		p.ackedSentAt = c.now
	}

	acks := c.voterValues(func(p *progress) int64 { return int64(p.ackedSentAt) })
	if len(acks) == 0 {
		return 0
	}

	return tiller.Millis(acks[c.quorum()-1])
}

func (c *Core) quorum() int {
	n := 0

	for _, m := range c.members {
		if m.GetVoter() {
			n++
		}
	}

	return n/2 + 1
}
