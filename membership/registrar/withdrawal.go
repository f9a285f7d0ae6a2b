package registrar

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// maxWithdrawals bounds the withdrawals that are remembered.
	maxWithdrawals = 32
	// withdrawalLifetime is how long a withdrawal is remembered; late announcements are delayed by seconds.
	withdrawalLifetime = tiller.Minute
	// minAnnouncingSpan is how long a start that seems earlier than one that left must announce itself, without a gap as long as the lease, until
	// it counts as a server that runs now.
	minAnnouncingSpan = 10 * tiller.Second
)

// withdrawal is a withdrawal with this node's own bookkeeping of it.
type withdrawal struct {
	detector.Withdrawal

	expiresAt tiller.Millis
	// restored is set if a peer remembered the withdrawal from this node's previous process.
	restored bool
	// announced is set if this process has accepted an announcement of the start.
	announced bool
	// single is set if the withdrawal makes no earlier starts void, since one of them is known to run.
	single bool
}

// Restore applies withdrawals that a peer remembers from this node's previous process. Their drain linger is over.
func (c *Core) Restore(now tiller.Millis, withdrawals []detector.Withdrawal) {
	for _, w := range withdrawals {
		c.remember(now, withdrawal{Withdrawal: w, restored: true})
	}

	if c.state == wire.BackendState_BACKEND_STATE_NONE || !c.withdrawn(now, c.current) {
		return
	}

	c.setState(now, wire.BackendState_BACKEND_STATE_DRAINING, false)
	c.endLinger(now)
}

// rememberLeaving remembers the announcement by which a start begins to leave, and forgets it if the start is in use again.
func (c *Core) rememberLeaving(now tiller.Millis, a Announcement) {
	i := slices.IndexFunc(c.withdrawals, func(w withdrawal) bool { return w.Instance == a.Instance && w.StartedAtMs == a.StartedAtMs })
	leaves := a.Leaves()

	switch {
	case leaves && i < 0:
		c.remember(now, withdrawal{Withdrawal: withdrawalOf(a), announced: true})
	case leaves && c.withdrawals[i].restored:
		c.endLinger(now)
	case !leaves && i >= 0:
		c.withdrawals = slices.Delete(c.withdrawals, i, i+1)
	}
}

// remember adds a withdrawal. It replaces those of the same instance that it covers.
func (c *Core) remember(now tiller.Millis, w withdrawal) {
	c.withdrawals = slices.DeleteFunc(c.withdrawals, func(known withdrawal) bool { return now >= known.expiresAt })

	if slices.ContainsFunc(c.withdrawals, func(known withdrawal) bool { return known.covers(w.Withdrawal) }) {
		return
	}

	c.withdrawals = slices.DeleteFunc(c.withdrawals, func(known withdrawal) bool { return w.covers(known.Withdrawal) })

	w.expiresAt = now + withdrawalLifetime
	c.withdrawals = append(c.withdrawals, w)
	c.withdrawals = c.withdrawals[max(0, len(c.withdrawals)-maxWithdrawals):]
}

// covers reports whether all announcements that another withdrawal makes void are void by this one too.
func (w withdrawal) covers(other detector.Withdrawal) bool {
	switch {
	case w.Instance != other.Instance:
		return false
	case w.StartedAtMs == other.StartedAtMs:
		return other.Sequence <= w.Sequence
	default:
		return other.StartedAtMs < w.StartedAtMs && !w.single
	}
}

// withdrawalOf returns the withdrawal that makes an announcement and those before it void.
func withdrawalOf(a Announcement) detector.Withdrawal {
	return detector.Withdrawal{Instance: a.Instance, StartedAtMs: a.StartedAtMs, Sequence: a.Sequence}
}

// withdrawn reports whether an announcement is void, because its start or a later one of the same instance is leaving.
func (c *Core) withdrawn(now tiller.Millis, a Announcement) bool {
	return slices.ContainsFunc(c.withdrawals, func(w withdrawal) bool { return w.voids(now, a) })
}

// voids reports whether the withdrawal makes an announcement void.
func (w withdrawal) voids(now tiller.Millis, a Announcement) bool {
	return a.Instance != "" && now < w.expiresAt && w.covers(withdrawalOf(a))
}

// candidate is a start that continues to announce itself after a start with a later time has left.
type candidate struct {
	instance    string
	startedAtMs int64
	sequence    uint64
	firstAt     tiller.Millis
	lastAt      tiller.Millis
}

// startedAgain reports whether a void announcement is of a server that runs now: it started after the one that left, and the VM's clock was set
// back between. Announcements of an earlier start arrive late by seconds, so none arrive for minAnnouncingSpan.
func (c *Core) startedAgain(now tiller.Millis, a Announcement) bool {
	known := &c.candidate

	switch {
	case known.instance != a.Instance || known.startedAtMs != a.StartedAtMs || now >= known.lastAt+c.lease:
		*known = candidate{instance: a.Instance, startedAtMs: a.StartedAtMs, sequence: a.Sequence, firstAt: now, lastAt: now}

		return false
	case a.Sequence <= known.sequence:
		return false
	}

	known.sequence, known.lastAt = a.Sequence, now

	return now >= known.firstAt+minAnnouncingSpan && c.limitWithdrawals(now, a)
}

// limitWithdrawals limits the withdrawals that make an announcement void to their own starts, and reports whether that is possible. Only where
// this process has accepted announcements of the start that left is its time certain.
func (c *Core) limitWithdrawals(now tiller.Millis, a Announcement) bool {
	for _, w := range c.withdrawals {
		if w.voids(now, a) && (!w.announced || w.StartedAtMs == a.StartedAtMs) {
			return false
		}
	}

	for i := range c.withdrawals {
		if c.withdrawals[i].voids(now, a) {
			c.withdrawals[i].single = true
		}
	}

	return true
}

// sharedWithdrawals returns the withdrawals that other nodes are to remember in case this node restarts.
func (c *Core) sharedWithdrawals(now tiller.Millis) []detector.Withdrawal {
	var out []detector.Withdrawal

	for _, w := range c.withdrawals {
		if now < w.expiresAt {
			out = append(out, w.Withdrawal)
		}
	}

	return out
}
