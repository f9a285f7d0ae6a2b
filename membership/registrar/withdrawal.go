package registrar

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Restore applies withdrawals that a peer remembers from this node's previous process. Their drain linger is over.
func (c *Core) Restore(now tiller.Millis, withdrawals []detector.Withdrawal) {
	for _, w := range withdrawals {
		c.remember(now, w, true)
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
		c.remember(now, detector.Withdrawal{Instance: a.Instance, StartedAtMs: a.StartedAtMs, Sequence: a.Sequence}, false)
	case leaves && c.withdrawals[i].restored:
		c.endLinger(now)
	case !leaves && i >= 0:
		c.withdrawals = slices.Delete(c.withdrawals, i, i+1)
	}
}

// remember adds a withdrawal. It replaces an earlier withdrawal of the same instance.
func (c *Core) remember(now tiller.Millis, w detector.Withdrawal, restored bool) {
	c.withdrawals = slices.DeleteFunc(c.withdrawals, func(known withdrawal) bool { return now >= known.expiresAt })

	if i := slices.IndexFunc(c.withdrawals, func(known withdrawal) bool { return known.Instance == w.Instance }); i >= 0 {
		if known := c.withdrawals[i]; covers(known.Withdrawal, w) {
			return
		}

		c.withdrawals = slices.Delete(c.withdrawals, i, i+1)
	}

	c.withdrawals = append(c.withdrawals, withdrawal{Withdrawal: w, expiresAt: now + withdrawalLifetime, restored: restored})
	c.withdrawals = c.withdrawals[max(0, len(c.withdrawals)-maxWithdrawals):]
}

// covers reports whether all announcements that a withdrawal of an instance makes void are void by another one too.
func covers(known, w detector.Withdrawal) bool {
	return w.StartedAtMs < known.StartedAtMs || (w.StartedAtMs == known.StartedAtMs && w.Sequence <= known.Sequence)
}

// withdrawn reports whether an announcement is void, because its start or a later one of the same instance is leaving.
func (c *Core) withdrawn(now tiller.Millis, a Announcement) bool {
	return a.Instance != "" && slices.ContainsFunc(c.withdrawals, func(w withdrawal) bool {
		return now < w.expiresAt && w.Instance == a.Instance &&
			covers(w.Withdrawal, detector.Withdrawal{Instance: a.Instance, StartedAtMs: a.StartedAtMs, Sequence: a.Sequence})
	})
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
