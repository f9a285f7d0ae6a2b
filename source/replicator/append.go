package replicator

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// broadcast sends the next entries, or a heartbeat if there are none, to every other member.
func (c *Core) broadcast() {
	for _, m := range c.members {
		if m.GetId() != c.id {
			c.replicate(m)
		}
	}
}

// replicate sends a member its next entries, or the snapshot if the log no longer contains them.
func (c *Core) replicate(m *wire.Member) {
	p := c.progress[m.GetId()]
	if p == nil {
		return
	}

	if p.nextIndex <= c.snapshot.GetIndex() {
		c.sendSnapshot(m, p)

		return
	}

	previous := p.nextIndex - 1

	// An unresponsive follower receives only heartbeats until it replies.
	var entries []*wire.Entry
	if c.now < p.lastReplyAt+c.timing.electionMin {
		entries = c.entriesFrom(p.nextIndex)
	}

	c.send(m.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Append{Append: &wire.Append{
		Term: c.term, Leader: c.id, PreviousIndex: previous, PreviousTerm: c.termAt(previous),
		Entries: entries, Commit: c.commit, SentAt: int64(c.now), Round: c.round,
	}}})
}

func (c *Core) entriesFrom(from uint64) []*wire.Entry {
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
	if c.now < p.nextSnapshotAt {
		return
	}

	p.nextSnapshotAt = c.now + snapshotRetryPeriod
	c.send(m.GetAddress(), &wire.Envelope{Body: &wire.Envelope_InstallSnapshot{InstallSnapshot: &wire.InstallSnapshot{
		Term: c.term, Leader: c.id, Snapshot: c.snapshot, SentAt: int64(c.now), Round: c.round,
	}}})
}

// acceptLeader follows a leader and records the contact, since votes are withheld while the leader's lease may be valid.
func (c *Core) acceptLeader(term uint64, leader string) {
	c.becomeFollower(term, leader)
	c.lastLeaderContact = c.now
}

func (c *Core) onAppend(from string, a *wire.Append) {
	if a.GetTerm() < c.term {
		c.replyAppend(from, a, false, 0)

		return
	}

	c.acceptLeader(a.GetTerm(), a.GetLeader())

	if !c.logMatches(a) {
		c.replyAppend(from, a, false, 0)

		return
	}

	last := a.GetPreviousIndex() + uint64(len(a.GetEntries()))
	c.mergeEntries(a.GetEntries())

	c.commit = max(c.commit, min(a.GetCommit(), last))
	c.replyAppend(from, a, true, last)
}

// logMatches reports whether the log agrees with the leader's at the entry before the new ones.
func (c *Core) logMatches(a *wire.Append) bool {
	if a.GetPreviousIndex() < c.snapshot.GetIndex() {
		return true
	}

	return c.hasIndex(a.GetPreviousIndex()) && c.termAt(a.GetPreviousIndex()) == a.GetPreviousTerm()
}

// mergeEntries appends the entries missing from the log, after truncating the log where it conflicts with them.
func (c *Core) mergeEntries(entries []*wire.Entry) {
	for i, e := range entries {
		if e.GetIndex() <= c.snapshot.GetIndex() || e.GetIndex() <= c.commit {
			continue
		}

		if c.hasIndex(e.GetIndex()) && c.termAt(e.GetIndex()) == e.GetTerm() {
			continue
		}

		c.truncate(e.GetIndex() - 1)
		c.appendEntries(entries[i:]...)

		return
	}
}

// leaderMessage holds the fields of a leader's message that the reply echoes.
type leaderMessage interface {
	GetSentAt() int64
	GetRound() uint64
}

func (c *Core) replyAppend(to string, e leaderMessage, ok bool, match uint64) {
	c.send(to, &wire.Envelope{Body: &wire.Envelope_AppendReply{AppendReply: &wire.AppendReply{
		Term: c.term, Follower: c.id, Success: ok, MatchIndex: match, HintIndex: c.lastIndex(), SentAt: e.GetSentAt(), Round: e.GetRound(),
	}}})
}

func (c *Core) onAppendReply(r *wire.AppendReply) {
	if r.GetTerm() > c.term {
		c.becomeFollower(r.GetTerm(), "")

		return
	}

	p := c.progress[r.GetFollower()]
	if c.role != RoleLeader || r.GetTerm() != c.term || p == nil {
		return
	}

	p.ackedSentAt = max(p.ackedSentAt, min(tiller.Millis(r.GetSentAt()), c.now))
	p.lastReplyAt = c.now
	p.ackedRound = max(p.ackedRound, min(r.GetRound(), c.round))

	if !r.GetSuccess() {
		c.backtrack(r, p)

		return
	}

	match := min(r.GetMatchIndex(), c.lastIndex())
	if match <= p.matchIndex {
		return
	}

	p.matchIndex = match
	p.nextIndex = match + 1

	if m := c.member(r.GetFollower()); m != nil && match < c.lastIndex() {
		c.replicate(m)
	}
}

// backtrack lowers the next index of a follower whose log does not match and tries again.
func (c *Core) backtrack(r *wire.AppendReply, p *progress) {
	next := min(p.nextIndex-1, r.GetHintIndex()+1)
	p.nextIndex = max(next, p.matchIndex+1, 1)

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

	c.acceptLeader(r.GetTerm(), r.GetLeader())

	if s.GetIndex() > c.commit {
		c.installSnapshot(s)
	}

	c.replyAppend(from, r, true, max(s.GetIndex(), min(c.commit, c.lastIndex())))
}

// installSnapshot replaces the log up to a snapshot. Later entries are kept if the log agrees with the snapshot, since they may
// already count towards a quorum.
func (c *Core) installSnapshot(s *wire.Snapshot) {
	if c.hasIndex(s.GetIndex()) && c.termAt(s.GetIndex()) == s.GetTerm() {
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
