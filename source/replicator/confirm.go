package replicator

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// confirmTimeout bounds the wait for a quorum; callers of a controller wait at most one second.
const confirmTimeout = tiller.Second

// confirmation is a pending request that succeeds when a quorum has acknowledged a round started after it.
type confirmation struct {
	token     uint64
	round     uint64
	term      uint64
	expiresAt tiller.Millis
}

// confirm starts a new round. It fails at once if this controller is not the leader or has not committed an entry of its term yet.
func (c *Core) confirm(token uint64) {
	if c.role != RoleLeader || c.termAt(c.commit) != c.term {
		c.out.Unconfirmed = append(c.out.Unconfirmed, token)

		return
	}

	c.round++
	c.pendingConfirmations = append(c.pendingConfirmations, confirmation{token: token, round: c.round, term: c.term, expiresAt: c.now + confirmTimeout})
	c.broadcast()
}

// resolveConfirmations completes the requests whose round a quorum has acknowledged and fails those that can no longer succeed.
func (c *Core) resolveConfirmations() {
	if len(c.pendingConfirmations) == 0 {
		return
	}

	round := c.quorumRound()

	c.pendingConfirmations = slices.DeleteFunc(c.pendingConfirmations, func(p confirmation) bool {
		switch {
		case c.role != RoleLeader || p.term != c.term || c.now >= p.expiresAt:
			c.out.Unconfirmed = append(c.out.Unconfirmed, p.token)
		case round >= p.round:
			c.out.Confirmed = append(c.out.Confirmed, p.token)
		default:
			return false
		}

		return true
	})
}

// quorumRound returns the latest round that a quorum of voters has acknowledged.
func (c *Core) quorumRound() uint64 {
	if p := c.progress[c.id]; p != nil {
		p.ackedRound = c.round
	}

	rounds := c.voterValues(func(p *progress) int64 { return int64(p.ackedRound) })
	if len(rounds) == 0 {
		return 0
	}

	return uint64(rounds[c.quorum()-1])
}
