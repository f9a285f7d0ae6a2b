package replicator_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// newVoter returns one of three voters with the given log; the other two do not run.
func newVoter(term uint64, entryTerms ...uint64) *replicator.Core {
	disk := replicator.RestoredState{
		HardState: &wire.HardState{Term: term},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Cluster: "cluster", Members: &wire.Members{Members: []*wire.Member{
			{Id: "a", Name: "a", Address: "a", Voter: true},
			{Id: "b", Name: "b", Address: "b", Voter: true},
			{Id: "c", Name: "c", Address: "c", Voter: true},
		}}},
	}

	for i, t := range entryTerms {
		disk.Entries = append(disk.Entries, &wire.Entry{Index: uint64(i) + 2, Term: t})
	}

	return replicator.New("a", "a", replicator.NewTiming(100), rand.New(rand.NewPCG(1, 1)), disk)
}

// newLearner returns a learner of a cluster with two voters, which do not run.
func newLearner(term uint64) *replicator.Core {
	return replicator.New("a", "a", replicator.NewTiming(100), rand.New(rand.NewPCG(1, 1)), replicator.RestoredState{
		HardState: &wire.HardState{Term: term},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Cluster: "cluster", Members: &wire.Members{Members: []*wire.Member{
			{Id: "a", Name: "a", Address: "a"},
			{Id: "b", Name: "b", Address: "b", Voter: true},
			{Id: "c", Name: "c", Address: "c", Voter: true},
		}}},
	})
}

func messageFromB(e *wire.Envelope) replicator.Receive {
	e.From, e.To, e.Cluster = "b", "a", "cluster"

	return replicator.Receive{Envelope: e}
}

func voteRequest(term uint64, pre bool) replicator.Receive {
	return messageFromB(&wire.Envelope{Body: &wire.Envelope_VoteRequest{VoteRequest: &wire.VoteRequest{
		Term: term, Candidate: "b", LastIndex: 100, LastTerm: term, PreVote: pre,
	}}})
}

// grant answers every vote request to b, and those that follow from the answers, on behalf of the given voter.
func grant(c *replicator.Core, now tiller.Millis, e replicator.Effects, voter string) {
	for _, m := range e.Messages {
		if r := m.GetVoteRequest(); r != nil && m.GetTo() == "b" {
			next := c.Step(now, messageFromB(&wire.Envelope{Body: &wire.Envelope_VoteReply{VoteReply: &wire.VoteReply{
				Term: r.GetTerm(), Voter: voter, Granted: true, PreVote: r.GetPreVote(),
			}}}))
			grant(c, now, next, voter)
		}
	}
}

func granted(e replicator.Effects) bool {
	for _, m := range e.Messages {
		if r := m.GetVoteReply(); r != nil {
			return r.GetGranted()
		}
	}

	return false
}

// TestVotesAreWithheldWhileALeaseMayHold guards against two leaders at once: a vote soon after a heartbeat, or after a restart that
// followed one, could elect another leader while the lease of the first is valid.
func TestVotesAreWithheldWhileALeaseMayHold(t *testing.T) {
	const pastLease = 10 * tiller.Second

	heartbeat := messageFromB(&wire.Envelope{Body: &wire.Envelope_Append{Append: &wire.Append{Term: 2, Leader: "b", PreviousIndex: 1, PreviousTerm: 1}}})
	cases := []struct {
		name   string
		before func(c *replicator.Core)
		at     tiller.Millis
		want   bool
	}{
		{"right after a restart", func(*replicator.Core) {}, 1010, false},
		{"long after a restart", func(*replicator.Core) {}, 1000 + pastLease, true},
		{"right after a heartbeat", func(c *replicator.Core) { c.Step(1000+pastLease, heartbeat) }, 1010 + pastLease, false},
		{"long after a heartbeat", func(c *replicator.Core) { c.Step(1000+pastLease, heartbeat) }, 1000 + 2*pastLease, true},
	}

	for _, tc := range cases {
		for _, pre := range []bool{true, false} {
			t.Run(tc.name, func(t *testing.T) {
				c := newVoter(2)
				c.Step(1000, replicator.Receive{Envelope: &wire.Envelope{}})
				tc.before(c)
				require.Equal(t, tc.want, granted(c.Step(tc.at, voteRequest(9, pre))))
			})
		}
	}
}

func TestOneVotePerTerm(t *testing.T) {
	c := newVoter(2)
	c.Step(1000, replicator.Tick{})

	e := c.Step(20_000, voteRequest(9, false))
	require.True(t, granted(e))
	require.Equal(t, "b", e.Record.GetHardState().GetVote(), "the vote is durable before it is sent")

	other := voteRequest(9, false)
	other.Envelope.GetVoteRequest().Candidate = "c"
	require.False(t, granted(c.Step(20_010, other)))
}

// TestEntryOfAnOlderTermIsNotCommittedByCounting guards against lost commits: a later leader may still replace an entry of an earlier
// term, even if a quorum stores it.
func TestEntryOfAnOlderTermIsNotCommittedByCounting(t *testing.T) {
	c := newVoter(4, 2)

	now := tiller.Millis(1000)
	for ; c.Role() != replicator.RoleLeader && now < 20_000; now += 50 {
		grant(c, now, c.Step(now, replicator.Tick{}), "b")
	}

	require.Equal(t, replicator.RoleLeader, c.Role())

	acknowledge := func(index uint64) {
		c.Step(now, messageFromB(&wire.Envelope{Body: &wire.Envelope_AppendReply{AppendReply: &wire.AppendReply{
			Term: c.Term(), Follower: "b", Success: true, MatchIndex: index, SentAt: int64(now),
		}}}))
	}

	acknowledge(2)
	require.Equal(t, uint64(1), c.Commit(), "an entry of an earlier term is committed only with a later one of the current term")
	require.False(t, c.HoldsLease(now))
	acknowledge(3)
	require.Equal(t, uint64(3), c.Commit())
	require.True(t, c.HoldsLease(now))
}

func TestVoteOfAnUnknownMemberIsNotCounted(t *testing.T) {
	c := newVoter(4)

	for now := tiller.Millis(1000); now < 20_000; now += 50 {
		grant(c, now, c.Step(now, replicator.Tick{}), "b with a new disk")
	}

	require.NotEqual(t, replicator.RoleLeader, c.Role())
}

// details returns the details of the events of one kind.
func details(e replicator.Effects, kind tiller.EventKind) []string {
	var out []string

	for _, event := range e.Events {
		if event.Kind() == kind {
			out = append(out, event.Detail())
		}
	}

	return out
}

func TestEventsExplainElections(t *testing.T) {
	const pastLease = 10 * tiller.Second

	c := newVoter(4, 4, 4)
	first := c.Step(1000, replicator.Tick{})
	require.Equal(t, []string{"voters [a a, b b, c c], learners [], set by entry 1 of term 1"}, details(first, tiller.EventMembership))

	require.Equal(t, []string{"no pre-vote for b in term 5: a leader may hold its lease"},
		details(c.Step(1001, voteRequest(5, true)), tiller.EventVoted))
	require.Equal(t, []string{"no vote for b in term 3: term 4 has begun"},
		details(c.Step(pastLease, voteRequest(3, false)), tiller.EventVoted))
	require.Equal(t, []string{"vote for b in term 5"}, details(c.Step(pastLease, voteRequest(5, false)), tiller.EventVoted))

	campaign := c.Step(2*pastLease, replicator.Tick{})
	require.Equal(t, []string{"pre_candidate of term 6, last entry 3 of term 4"}, details(campaign, tiller.EventCampaign))

	member := &wire.Member{Id: "d", Name: "d", Address: "d"}
	join := c.Step(2*pastLease, messageFromB(&wire.Envelope{Body: &wire.Envelope_Join{Join: &wire.Join{Member: member}}}))
	require.Equal(t, []string{`d d not added by this pre_candidate of term 5, leader ""`}, details(join, tiller.EventJoinRequested))
}

// TestVoterThatDoesNotKnowItIsOneVotes guards against a quorum that cannot be restored: the entry that promoted this learner was
// committed by the others, one of which is gone.
func TestVoterThatDoesNotKnowItIsOneVotes(t *testing.T) {
	const pastLease = 10 * tiller.Second

	learner := newLearner(4)
	learner.Step(1, replicator.Tick{})
	require.True(t, granted(learner.Step(pastLease, voteRequest(5, true))))
	require.True(t, granted(learner.Step(pastLease, voteRequest(5, false))))
	require.False(t, granted(learner.Step(pastLease, voteRequest(4, false))), "one vote a term, and none in an older one")
}

// TestLearnerForgetsASilentLeader guards against a learner that was removed during a cut and never asks to be added again: it asks only
// while it knows no leader.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	learner := newLearner(4)
	learner.Step(1000, messageFromB(&wire.Envelope{Body: &wire.Envelope_Append{Append: &wire.Append{
		Term: 5, Leader: "b", PreviousIndex: 1, PreviousTerm: 1,
	}}}))
	learner.Step(1100, replicator.Tick{})
	require.Equal(t, tiller.Address("b"), learner.Leader())

	learner.Step(1000+replicator.NewTiming(100).ElectionMax(), replicator.Tick{})
	require.Empty(t, learner.Leader())
	require.Equal(t, replicator.RoleFollower, learner.Role())
}
