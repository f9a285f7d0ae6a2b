package replicator

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// confirmTimeout bounds the wait for a quorum; callers of the source wait a second at most.
const confirmTimeout = tiller.Second

// confirmation waits until a quorum has answered a round that began after it.
type confirmation struct {
	token uint64
	round uint64
	term  uint64
	until tiller.Millis
}

// confirm starts a new round; a controller that does not lead, or has committed nothing in its term yet, refuses at once.
func (c *Core) confirm(token uint64) {
	if c.role != RoleLeader || c.termAt(c.commit) != c.term {
		c.out.Unconfirmed = append(c.out.Unconfirmed, token)

		return
	}

	c.round++
	c.confirming = append(c.confirming, confirmation{token: token, round: c.round, term: c.term, until: c.now + confirmTimeout})
	c.broadcast()
}

// settleConfirmations answers what a quorum has confirmed and gives up on what can no longer be.
func (c *Core) settleConfirmations() {
	if len(c.confirming) == 0 {
		return
	}

	round := c.quorumRound()

	c.confirming = slices.DeleteFunc(c.confirming, func(w confirmation) bool {
		switch {
		case c.role != RoleLeader || w.term != c.term || c.now >= w.until:
			c.out.Unconfirmed = append(c.out.Unconfirmed, w.token)
		case round >= w.round:
			c.out.Confirmed = append(c.out.Confirmed, w.token)
		default:
			return false
		}

		return true
	})
}

// quorumRound returns the latest round that a quorum of voters has answered.
func (c *Core) quorumRound() uint64 {
	if p := c.progress[c.id]; p != nil {
		p.round = c.round
	}

	rounds := c.voterValues(func(p *progress) int64 { return int64(p.round) })
	if len(rounds) == 0 {
		return 0
	}

	return uint64(rounds[c.quorum()-1])
}
