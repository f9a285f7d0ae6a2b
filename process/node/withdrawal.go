package node

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// ArchiveTimeout is how long an acknowledgement waits for the controllers once enough peers store an entry. A node that is cut off from them then
// relies on its peers alone.
const ArchiveTimeout tiller.Millis = 400

// replication is a replication of the node's entry that waits for the controllers.
type replication struct {
	token    uint64
	deadline tiller.Millis
	// stored is set once enough peers store the entry.
	stored bool
}

// synchronize sends the node's withdrawals to the controllers that do not store them yet.
func (c *Core) synchronize() {
	c.synchronizer.Store(c.now, c.detector.Withdrawals())
	c.out.Messages = append(c.out.Messages, c.synchronizer.Tick(c.now)...)
	c.finishReplications(nil)
}

// replicate begins to store the node's entry at peers and its withdrawals at controllers.
func (c *Core) replicate(token uint64) {
	c.replications = append(c.replications, replication{token: token, deadline: c.now + ArchiveTimeout})
	c.synchronize()
	c.detect(detector.Replicate{Token: token})
}

// receiveWithdrawals applies the reply of a controller.
func (c *Core) receiveWithdrawals(from string, r *wire.WithdrawalSyncReply) {
	if ws := c.synchronizer.Receive(from, r); len(ws) > 0 {
		c.detect(detector.Restore{Withdrawals: ws})
	}

	c.finishReplications(nil)
}

// finishReplications applies the results of the detector, and returns those replications whose result no longer depends on the controllers.
func (c *Core) finishReplications(results []detector.Replication) {
	for _, r := range results {
		i := slices.IndexFunc(c.replications, func(p replication) bool { return p.token == r.Token })

		switch {
		case i < 0:
		case r.Stored:
			c.replications[i].stored = true
		default:
			c.replications = slices.Delete(c.replications, i, i+1)
			c.out.Replicated = append(c.out.Replicated, r)
		}
	}

	archived := c.synchronizer.Stored()
	c.replications = slices.DeleteFunc(c.replications, func(p replication) bool {
		done := p.stored && (archived || c.now >= p.deadline)
		if done {
			c.out.Replicated = append(c.out.Replicated, detector.Replication{Token: p.token, Stored: true, Archived: archived})
		}

		return done
	})
}

// Recovered reports whether the node has learnt what its peers and the controllers remember of its previous process, or has stopped waiting for
// it.
func (c *Core) Recovered() bool {
	return (c.detector.PeerAnswered() && c.synchronizer.Recalled()) || c.detector.RecoveryTimedOut()
}

// PeerAnswered reports whether a peer has told the node what it remembers of its previous process.
func (c *Core) PeerAnswered() bool { return c.detector.PeerAnswered() }

// Archived reports whether a majority of the controllers stores all withdrawals of the node.
func (c *Core) Archived() bool { return c.synchronizer.Stored() }

// ControllersAnswered reports whether a majority of the controllers has told the node what they remember of its previous process.
func (c *Core) ControllersAnswered() bool { return c.synchronizer.Recalled() }
