package replicator

import (
	"fmt"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) resetElection() {
	spread := int64(c.timing.electionMax - c.timing.electionMin)
	c.electionAt = c.now + c.timing.electionMin + tiller.Millis(c.random.Int64N(spread+1))
}

// campaign requests the votes of all voters; a pre-vote leaves the term unchanged.
func (c *Core) campaign(pre bool) {
	c.resetElection()
	c.leader = ""
	c.votes = tiller.NewSet[string]()

	term := c.term + 1
	if pre {
		c.role = RolePreCandidate
	} else {
		c.role = RoleCandidate
		c.setTerm(term, c.id)
	}

	c.emit(tiller.EventCampaign, "%s of term %d, last entry %d of term %d", c.role, term, c.lastIndex(), c.termAt(c.lastIndex()))

	for _, m := range c.members {
		if m.GetVoter() && m.GetId() != c.id {
			c.send(m.GetAddress(), &wire.Envelope{Body: &wire.Envelope_VoteRequest{VoteRequest: &wire.VoteRequest{
				Term: term, Candidate: c.id, LastIndex: c.lastIndex(), LastTerm: c.termAt(c.lastIndex()), PreVote: pre,
			}}})
		}
	}

	c.countVote(c.id)
}

func (c *Core) countVote(voter string) {
	if !c.isVoter(voter) {
		return
	}

	c.votes.Add(voter)

	if c.votes.Len() < c.quorum() {
		return
	}

	if c.role == RolePreCandidate {
		c.campaign(false)

		return
	}

	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.heartbeatAt = 0
	c.progress = map[string]*progress{}
	c.syncProgress()

	for _, p := range c.progress {
		p.ackedSentAt = c.now
	}

	c.emit(tiller.EventElected, "leads term %d", c.term)
	c.append(wire.EntryKind_ENTRY_KIND_NOOP, nil)
	c.broadcast()
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.term {
		c.setTerm(term, "")
	}

	c.role = RoleFollower
	c.leader = leader
	c.resetElection()
}

// hasLiveLeader reports whether the last contact with a leader is so recent that its lease may still be valid.
func (c *Core) hasLiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}

	return c.lastLeaderContact > 0 && c.now < c.lastLeaderContact+c.timing.electionMin
}

// onVoteRequest answers also as a learner: the entry that made this controller a voter may not have arrived yet, and the candidate counts only
// the votes of those that its own log names as voters.
func (c *Core) onVoteRequest(from string, r *wire.VoteRequest) {
	reason := c.refuseVote(r)
	granted := reason == ""
	c.emitVote(r, reason)

	if granted && !r.GetPreVote() {
		if r.GetTerm() > c.term {
			c.becomeFollower(r.GetTerm(), "")
		}

		c.setTerm(c.term, r.GetCandidate())
		c.resetElection()
	}

	c.send(from, &wire.Envelope{Body: &wire.Envelope_VoteReply{VoteReply: &wire.VoteReply{
		Term: max(c.term, grantedTerm(r, granted)), Voter: c.id, Granted: granted, PreVote: r.GetPreVote(),
	}}})
}

func grantedTerm(r *wire.VoteRequest, granted bool) uint64 {
	if granted {
		return r.GetTerm()
	}

	return 0
}

// emitVote records a vote, or why it was refused.
func (c *Core) emitVote(r *wire.VoteRequest, reason string) {
	kind := "vote"
	if r.GetPreVote() {
		kind = "pre-vote"
	}

	if reason == "" {
		c.emit(tiller.EventVoted, "%s for %s in term %d", kind, c.nameOf(r.GetCandidate()), r.GetTerm())

		return
	}

	c.emit(tiller.EventVoted, "no %s for %s in term %d: %s", kind, c.nameOf(r.GetCandidate()), r.GetTerm(), reason)
}

// refuseVote returns why a vote must be refused, or an empty string if it may be granted.
func (c *Core) refuseVote(r *wire.VoteRequest) string {
	last := c.lastIndex()

	switch {
	case r.GetTerm() < c.term:
		return fmt.Sprintf("term %d has begun", c.term)
	case c.hasLiveLeader():
		return "a leader may hold its lease"
	case !c.upToDate(r):
		return fmt.Sprintf("its last entry %d of term %d is older than %d of term %d", r.GetLastIndex(), r.GetLastTerm(), last, c.termAt(last))
	case r.GetTerm() > c.term:
		return ""
	case r.GetPreVote():
		return fmt.Sprintf("term %d has begun", c.term)
	case c.vote != "" && c.vote != r.GetCandidate():
		return "the vote went to " + c.nameOf(c.vote)
	default:
		return ""
	}
}

func (c *Core) upToDate(r *wire.VoteRequest) bool {
	lastTerm := c.termAt(c.lastIndex())
	if r.GetLastTerm() != lastTerm {
		return r.GetLastTerm() > lastTerm
	}

	return r.GetLastIndex() >= c.lastIndex()
}

func (c *Core) onVoteReply(r *wire.VoteReply) {
	if !r.GetGranted() {
		if r.GetTerm() > c.term {
			c.becomeFollower(r.GetTerm(), "")
		}

		return
	}

	counts := (c.role == RolePreCandidate && r.GetPreVote() && r.GetTerm() == c.term+1) ||
		(c.role == RoleCandidate && !r.GetPreVote() && r.GetTerm() == c.term)
	if counts {
		c.countVote(r.GetVoter())
	}
}
