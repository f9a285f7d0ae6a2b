package replicator

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) broadcast() {
	for _, m := range c.members {
		if m.GetId() != c.id {
			c.replicate(m)
		}
	}
}

func (c *Core) replicate(m *wire.Member) {
	p := c.progress[m.GetId()]
	if p == nil {
		return
	}

	if p.next <= c.snapshot.GetIndex() {
		c.sendSnapshot(m, p)

		return
	}

	previous := p.next - 1

	// A follower that does not answer gets its entries once it does.
	var entries []*wire.Entry
	if c.now < p.heard+c.timing.electionMin {
		entries = c.batch(p.next)
	}

	c.send(m.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Append{Append: &wire.Append{
		Term: c.term, Leader: c.id, PreviousIndex: previous, PreviousTerm: c.termAt(previous),
		Entries: entries, Commit: c.commit, SentAt: int64(c.now), Round: c.round,
	}}})
}

func (c *Core) batch(from uint64) []*wire.Entry {
	var out []*wire.Entry

	size := 0

	for i := from; i <= c.lastIndex() && len(out) < maxEntriesPerAppend && size < maxBytesPerAppend; i++ {
		e := c.entry(i)
		size += len(e.GetData())
		out = append(out, e)
	}

	return out
}

func (c *Core) sendSnapshot(m *wire.Member, p *progress) {
	if c.now < p.snapshotUntil {
		return
	}

	p.snapshotUntil = c.now + snapshotRetry
	c.send(m.GetAddress(), &wire.Envelope{Body: &wire.Envelope_InstallSnapshot{InstallSnapshot: &wire.InstallSnapshot{
		Term: c.term, Leader: c.id, Snapshot: c.snapshot, SentAt: int64(c.now), Round: c.round,
	}}})
}

func (c *Core) hear(term uint64, leader string) {
	c.follow(term, leader)
	c.leaderHeard = c.now
}

func (c *Core) onAppend(from string, a *wire.Append) {
	if a.GetTerm() < c.term {
		c.replyAppend(from, a, false, 0)

		return
	}

	c.hear(a.GetTerm(), a.GetLeader())

	if !c.matches(a) {
		c.replyAppend(from, a, false, 0)

		return
	}

	last := a.GetPreviousIndex() + uint64(len(a.GetEntries()))
	c.merge(a.GetEntries())

	c.commit = max(c.commit, min(a.GetCommit(), last))
	c.replyAppend(from, a, true, last)
}

// matches reports whether the log agrees with the leader's at the position before the new entries.
func (c *Core) matches(a *wire.Append) bool {
	if a.GetPreviousIndex() < c.snapshot.GetIndex() {
		return true
	}

	return c.holds(a.GetPreviousIndex()) && c.termAt(a.GetPreviousIndex()) == a.GetPreviousTerm()
}

// merge appends entries that the log lacks and drops its own where they differ.
func (c *Core) merge(entries []*wire.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= c.snapshot.GetIndex() || e.GetIndex() <= c.commit {
			continue
		}

		if c.holds(e.GetIndex()) && c.termAt(e.GetIndex()) == e.GetTerm() {
			continue
		}

		c.truncate(e.GetIndex() - 1)
		c.store(entries[i:]...)

		return
	}
}

// echoed is what a leader's message carries for the reply.
type echoed interface {
	GetSentAt() int64
	GetRound() uint64
}

func (c *Core) replyAppend(to string, e echoed, ok bool, match uint64) {
	c.send(to, &wire.Envelope{Body: &wire.Envelope_AppendReply{AppendReply: &wire.AppendReply{
		Term: c.term, Follower: c.id, Success: ok, MatchIndex: match, HintIndex: c.lastIndex(), SentAt: e.GetSentAt(), Round: e.GetRound(),
	}}})
}

func (c *Core) onAppendReply(r *wire.AppendReply) {
	if r.GetTerm() > c.term {
		c.follow(r.GetTerm(), "")

		return
	}

	p := c.progress[r.GetFollower()]
	if c.role != RoleLeader || r.GetTerm() != c.term || p == nil {
		return
	}

	p.acked = max(p.acked, min(tiller.Millis(r.GetSentAt()), c.now))
	p.heard = c.now
	p.round = max(p.round, min(r.GetRound(), c.round))

	if !r.GetSuccess() {
		c.backtrack(r, p)

		return
	}

	match := min(r.GetMatchIndex(), c.lastIndex())
	if match <= p.match {
		return
	}

	p.match = match
	p.next = match + 1

	if m := c.member(r.GetFollower()); m != nil && match < c.lastIndex() {
		c.replicate(m)
	}
}

func (c *Core) backtrack(r *wire.AppendReply, p *progress) {
	next := min(p.next-1, r.GetHintIndex()+1)
	p.next = max(next, p.match+1, 1)

	if m := c.member(r.GetFollower()); m != nil {
		c.replicate(m)
	}
}

func (c *Core) onInstallSnapshot(from string, r *wire.InstallSnapshot) {
	if r.GetTerm() < c.term {
		c.replyAppend(from, r, false, 0)

		return
	}

	s := r.GetSnapshot()
	if c.cluster == "" {
		if s.GetCluster() == "" {
			return
		}

		c.cluster = s.GetCluster()
	}

	c.hear(r.GetTerm(), r.GetLeader())

	if s.GetIndex() > c.commit {
		c.install(s)
	}

	c.replyAppend(from, r, true, max(s.GetIndex(), min(c.commit, c.lastIndex())))
}

// install takes a snapshot; entries after it are kept where the log agrees, since a quorum may count on them.
func (c *Core) install(s *wire.Snapshot) {
	if c.holds(s.GetIndex()) && c.termAt(s.GetIndex()) == s.GetTerm() {
		c.entries = append([]*wire.Entry(nil), c.entries[s.GetIndex()-c.snapshot.GetIndex():]...)
	} else {
		c.entries = nil
	}

	c.snapshot = s
	c.commit = s.GetIndex()
	c.applied = s.GetIndex()
	c.out.Snapshot = s
	c.out.Restore = s
	c.reloadMembers()
}
