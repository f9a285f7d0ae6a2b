// Package archiver holds the withdrawals and crash records that a controller stores for nodes, so that they outlast a restart of all nodes. It
// performs no I/O.
package archiver

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// Lifetime is how long a withdrawal is kept after it was stored or loaded. Nodes remember withdrawals for a minute.
	Lifetime = 2 * tiller.Minute
	// MaxNodes bounds the nodes with withdrawals.
	MaxNodes = 10_000

	// sweepPeriod is how often the withdrawals of all nodes are searched for expired ones.
	sweepPeriod = tiller.Second
)

// withdrawal is a withdrawal with the time at which it may be forgotten.
type withdrawal struct {
	detector.Withdrawal
	expiresAt tiller.Millis
}

// Core is the store of one controller. It is not safe for concurrent use.
type Core struct {
	clock       tiller.MonotonicClock
	now         tiller.Millis
	nextSweepAt tiller.Millis
	nodes       map[string][]withdrawal
	// crashRecords are what the nodes know of crashing requests.
	crashRecords *quarantiner.Registry
}

// New returns an empty store.
func New() *Core {
	return &Core{nodes: map[string][]withdrawal{}, crashRecords: quarantiner.NewRegistry()}
}

// Result is what follows from a request of a node.
type Result struct {
	// Reply may be sent once all records up to this one are durable.
	Reply *wire.WithdrawalSyncReply
	// Record is to be made durable, nil if the request adds nothing.
	Record *wire.ArchiveRecord
	// Complete is set if the store holds all withdrawals in the request. If not, it must not be confirmed.
	Complete bool
	// Recall is set if the node only asks what is stored, as one that has started does. It is sent the crash records too.
	Recall bool
}

// Sync adds the withdrawals in a request. The reply lists those that were stored before, and the voting controllers.
func (c *Core) Sync(reading tiller.Millis, r *wire.WithdrawalSync, voters []string) Result {
	result := Result{
		Reply: &wire.WithdrawalSyncReply{
			Nonce: r.GetNonce(), Controllers: voters, Withdrawals: detector.ToWire(c.List(reading, r.GetNode())),
		},
		Recall: len(r.GetWithdrawals()) == 0,
	}

	var added bool

	added, result.Complete = c.Add(reading, r.GetNode(), detector.FromWire(r.GetWithdrawals()))
	if added {
		result.Record = &wire.ArchiveRecord{Node: r.GetNode(), Withdrawals: r.GetWithdrawals()}
	}

	return result
}

// Load applies records that are durable, in the order in which they were written.
func (c *Core) Load(reading tiller.Millis, records []*wire.ArchiveRecord) {
	for _, r := range records {
		c.Add(reading, r.GetNode(), detector.FromWire(r.GetWithdrawals()))
		c.MergeCrashRecords(reading, r.GetCrashRecords())
	}
}

// List returns the withdrawals of a node, oldest first.
func (c *Core) List(reading tiller.Millis, node string) []detector.Withdrawal {
	c.advance(reading)
	c.expire(node)

	out := make([]detector.Withdrawal, 0, len(c.nodes[node]))
	for _, w := range c.nodes[node] {
		out = append(out, w.Withdrawal)
	}

	return out
}

// Add adds withdrawals of a node. It reports whether any was new, which the caller must make durable, and whether the store now holds all of them:
// one that no node can have issued, or that is beyond the limits, is left out.
func (c *Core) Add(reading tiller.Millis, node string, withdrawals []detector.Withdrawal) (added, complete bool) {
	c.advance(reading)
	c.expire(node)

	if node == "" || len(node) > detector.MaxTextBytes || (c.nodes[node] == nil && len(c.nodes) >= MaxNodes) {
		return false, len(withdrawals) == 0
	}

	for _, w := range withdrawals {
		if len(w.Instance) > detector.MaxTextBytes || c.has(node, w) {
			continue
		}

		added = true
		c.nodes[node] = append(c.nodes[node], withdrawal{Withdrawal: w, expiresAt: c.now + Lifetime})
		c.nodes[node] = c.nodes[node][max(0, len(c.nodes[node])-detector.MaxWithdrawals):]
	}

	return added, !slices.ContainsFunc(withdrawals, func(w detector.Withdrawal) bool { return !c.has(node, w) })
}

func (c *Core) has(node string, w detector.Withdrawal) bool {
	return slices.ContainsFunc(c.nodes[node], func(known withdrawal) bool { return known.Withdrawal == w })
}

// Records returns all withdrawals in an order of their nodes' names, and the latest crash records.
func (c *Core) Records(reading tiller.Millis) []*wire.ArchiveRecord {
	c.advance(reading)

	nodes := tiller.NewSet[string]()
	for node := range c.nodes {
		nodes.Add(node)
	}

	out := make([]*wire.ArchiveRecord, 0, len(c.nodes))
	for _, node := range nodes.Sorted() {
		if ws := c.List(reading, node); len(ws) > 0 {
			out = append(out, &wire.ArchiveRecord{Node: node, Withdrawals: detector.ToWire(ws)})
		}
	}

	if crashes := c.CrashRecords(reading); len(crashes) > 0 {
		out = append(out, &wire.ArchiveRecord{CrashRecords: crashes})
	}

	return out
}

// advance moves the time forward and forgets the withdrawals that have expired.
func (c *Core) advance(reading tiller.Millis) {
	c.now = c.clock.Advance(reading)
	if c.now < c.nextSweepAt {
		return
	}

	c.nextSweepAt = c.now + sweepPeriod

	for node := range c.nodes {
		c.expire(node)
	}
}

// expire forgets the withdrawals of a node that have expired.
func (c *Core) expire(node string) {
	list := slices.DeleteFunc(c.nodes[node], func(w withdrawal) bool { return c.now >= w.expiresAt })
	if len(list) == 0 {
		delete(c.nodes, node)
	} else {
		c.nodes[node] = list
	}
}
