// Package synchronizer stores a node's withdrawals at the controllers, whose disks outlast a restart of all nodes, and recalls those that the
// node's previous process had stored. It performs no I/O.
package synchronizer

import (
	"math/rand/v2"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// retryPeriod is how often a controller that has not replied is asked again, during retrySpan after a change.
	retryPeriod tiller.Millis = 150
	retrySpan                 = tiller.Second
	// idleRetryPeriod is how often it is asked again later.
	idleRetryPeriod = 2 * tiller.Second
	// maxControllers bounds the controllers that a reply may list.
	maxControllers = 16
)

// peer is what is known of one controller.
type peer struct {
	// stored is the latest revision that the controller has confirmed. Every confirmation also recalls what it had stored before.
	stored     uint64
	nextSendAt tiller.Millis
}

// Core synchronizes the withdrawals of one node. It is not safe for concurrent use.
type Core struct {
	node    string
	address tiller.Address
	random  *rand.Rand
	// configured are the controllers in the settings, and members those that a controller has listed last.
	configured []string
	members    []string
	peers      map[string]*peer

	withdrawals []detector.Withdrawal
	// revision grows with each addition to the withdrawals. The first one stores none and only recalls.
	revision  uint64
	changedAt tiller.Millis
	// nonceBase distinguishes the revisions of this process from those of others.
	nonceBase uint64
}

// New returns a core that has yet to recall the withdrawals of the node's previous process.
func New(node string, address tiller.Address, controllers []tiller.Address, random *rand.Rand) *Core {
	c := &Core{node: node, address: address, random: random, peers: map[string]*peer{}, revision: 1, nonceBase: random.Uint64() << revisionBits}
	c.SetControllers(controllers)

	return c
}

// revisionBits is the part of a nonce that holds the revision.
const revisionBits = 32

// SetControllers replaces the controllers in the settings.
func (c *Core) SetControllers(addresses []tiller.Address) {
	c.configured = c.configured[:0:0]
	for _, a := range addresses {
		c.configured = append(c.configured, string(a))
	}

	c.updatePeers()
}

// updatePeers keeps the configured controllers and the listed ones, and forgets others.
func (c *Core) updatePeers() {
	known := slices.Concat(c.configured, c.members)

	for address := range c.peers {
		if !slices.Contains(known, address) {
			delete(c.peers, address)
		}
	}

	for _, address := range known {
		if c.peers[address] == nil {
			c.peers[address] = &peer{}
		}
	}
}

// Store sets the withdrawals to be stored. Those that are no longer listed expire at the controllers.
func (c *Core) Store(now tiller.Millis, withdrawals []detector.Withdrawal) {
	added := slices.ContainsFunc(withdrawals, func(w detector.Withdrawal) bool { return !slices.Contains(c.withdrawals, w) })
	c.withdrawals = slices.Clone(withdrawals)

	if !added {
		return
	}

	c.revision++
	c.changedAt = now

	for _, p := range c.peers {
		p.nextSendAt = 0
	}
}

// Tick returns the messages that are due.
func (c *Core) Tick(now tiller.Millis) []*wire.Envelope {
	if c.changedAt == 0 {
		c.changedAt = now
	}

	period := retryPeriod
	if now >= c.changedAt+retrySpan {
		period = idleRetryPeriod
	}

	var out []*wire.Envelope

	for _, address := range c.Controllers() {
		p := c.peers[address]
		if p.stored >= c.revision || now < p.nextSendAt {
			continue
		}

		p.nextSendAt = now + period + tiller.Millis(c.random.Int64N(int64(period/2)))

		out = append(out, &wire.Envelope{From: string(c.address), To: address, Body: &wire.Envelope_WithdrawalSync{
			WithdrawalSync: &wire.WithdrawalSync{Node: c.node, Nonce: c.nonceBase + c.revision, Withdrawals: detector.ToWire(c.withdrawals)},
		}})
	}

	return out
}

// Controllers returns the addresses of the known controllers, in order.
func (c *Core) Controllers() []string {
	out := make([]string, 0, len(c.peers))
	for address := range c.peers {
		out = append(out, address)
	}

	slices.Sort(out)

	return out
}

// Receive applies a reply. It returns the withdrawals that the controller had stored for the node if this is its first reply.
func (c *Core) Receive(from string, r *wire.WithdrawalSyncReply) []detector.Withdrawal {
	p := c.peers[from]
	revision := r.GetNonce() - c.nonceBase

	if p == nil || revision == 0 || revision > c.revision {
		return nil
	}

	first := p.stored == 0
	p.stored = max(p.stored, revision)

	if n := len(r.GetControllers()); n > 0 && n <= maxControllers {
		c.members = slices.Clone(r.GetControllers())
		c.updatePeers()
	}

	if !first {
		return nil
	}

	return detector.FromWire(r.GetWithdrawals())
}

// Stored reports whether a majority of the controllers has stored all withdrawals.
func (c *Core) Stored() bool { return c.confirmedByMajority(c.revision) }

// Recalled reports whether a majority of the controllers has replied since the node started.
func (c *Core) Recalled() bool { return c.confirmedByMajority(1) }

func (c *Core) confirmedByMajority(revision uint64) bool {
	voters := c.members
	if len(voters) == 0 {
		voters = c.configured
	}

	confirmed := 0

	for _, address := range voters {
		if c.peers[address].stored >= revision {
			confirmed++
		}
	}

	return confirmed > len(voters)/2 || len(voters) == 0
}
