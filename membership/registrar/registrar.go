// Package registrar keeps the announcements of the backend server on a node's VM under a lease. It performs no I/O.
package registrar

import (
	"fmt"
	"net/netip"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// DefaultLease is how long an announcement is valid without a renewal, unless WithLease sets another time.
	DefaultLease = 3 * tiller.Second

	// refusalPeriod is how long a refused connection overrides announcements.
	refusalPeriod = tiller.Second
	// maxRefusalPeriod is how long it overrides them while no further announcement is received.
	maxRefusalPeriod = 3 * tiller.Second
)

// Option changes how a core treats announcements.
type Option func(*Core)

// WithLease sets how long an announcement is valid without a renewal.
func WithLease(lease tiller.Millis) Option { return func(c *Core) { c.lease = lease } }

// WithDrainLinger sets how long a draining server still accepts requests, since other nodes send some before they learn that it drains.
func WithDrainLinger(linger tiller.Millis) Option { return func(c *Core) { c.drainLinger = linger } }

// WithWallClock refuses starts that lie more than MaxClockLead ahead of a clock.
func WithWallClock(clock tiller.Clock) Option { return func(c *Core) { c.wall = clock } }

// WithHost refuses announcements of servers on another host.
func WithHost(host netip.Addr) Option { return func(c *Core) { c.host = host.Unmap() } }

// WithHold counts a ready server as starting while the function returns true.
func WithHold(held func() bool) Option { return func(c *Core) { c.held = held } }

// WithOptionalConnections allows announcements without a number of connections.
func WithOptionalConnections() Option { return func(c *Core) { c.connectionsOptional = true } }

// Core keeps the latest announcement. It is not safe for concurrent use.
type Core struct {
	service             tiller.Service
	lease               tiller.Millis
	drainLinger         tiller.Millis
	connectionsOptional bool
	// held reports whether a ready server counts as starting.
	held func() bool
	// wall is the VM's wall clock, nil if starts are not compared with it.
	wall tiller.Clock
	// host is where the server runs, the zero value if any host is allowed.
	host netip.Addr

	current        Announcement
	state          wire.BackendState
	leaseExpiresAt tiller.Millis
	announcedAt    tiller.Millis
	drainingSince  tiller.Millis
	coldUntil      tiller.Millis
	// lowSequence is the largest sequence that was ignored as too low since the latest announcement.
	lowSequence uint64
	refusedAt   tiller.Millis
	refused     bool
	// ignored counts the announcements that were superseded or void.
	ignored int
	// withdrawals are the starts that are leaving, the latest last.
	withdrawals []withdrawal
	// candidate is the latest start whose announcements are void.
	candidate candidate
}

// New returns a core for the service in the node's settings.
func New(service tiller.Service, options ...Option) *Core {
	c := &Core{
		service: service, lease: DefaultLease, state: wire.BackendState_BACKEND_STATE_NONE, held: func() bool { return false },
	}
	for _, o := range options {
		o(c)
	}

	return c
}

// Announce accepts an announcement, or returns every fault in it and keeps the previous one. An announcement that was superseded by
// a later one, or by a withdrawal, has no faults and changes nothing.
func (c *Core) Announce(now tiller.Millis, a Announcement) []string {
	state, faults := c.validate(a)
	if len(faults) > 0 {
		return faults
	}

	if c.superseded(now, a) {
		c.ignored++

		return nil
	}

	newStart := !c.sameStart(a)
	if newStart {
		c.coldUntil = now + tiller.Millis(a.ColdMs)
		c.refused = false
	} else if a.ColdMs == 0 {
		c.coldUntil = min(c.coldUntil, now)
	}

	c.setState(now, state, newStart)
	c.rememberLeaving(now, a)

	c.current = a
	c.candidate = candidate{}
	c.lowSequence = 0
	c.announcedAt = now
	c.leaseExpiresAt = now + c.lease

	return nil
}

func (c *Core) setState(now tiller.Millis, state wire.BackendState, newStart bool) {
	if state == wire.BackendState_BACKEND_STATE_DRAINING && (newStart || c.state != state) {
		c.drainingSince = now
	}

	c.state = state
}

// endLinger ends the time in which a draining server still accepts requests.
func (c *Core) endLinger(now tiller.Millis) {
	c.drainingSince = min(c.drainingSince, now-c.drainLinger)
}

func (c *Core) sameStart(a Announcement) bool {
	return c.state != wire.BackendState_BACKEND_STATE_NONE && a.Instance == c.current.Instance && a.StartedAtMs == c.current.StartedAtMs
}

// superseded reports whether an announcement is older than what is known. The clock of a VM may be set back between two starts, so
// an earlier start is older only while the lease of the known server lasts.
func (c *Core) superseded(now tiller.Millis, a Announcement) bool {
	if c.withdrawn(now, a) && !c.startedAgain(now, a) {
		return true
	}

	if c.sameStart(a) {
		return a.Sequence > 0 && a.Sequence <= c.current.Sequence && !c.sequenceRestarted(now, a)
	}

	return a.StartedAtMs < c.current.StartedAtMs && now < c.leaseExpiresAt
}

// sequenceRestarted reports whether the known sequence is not the server's own, so that its announcements would be ignored for ever: after the
// lease has expired, announcements with lower sequences still grow.
func (c *Core) sequenceRestarted(now tiller.Millis, a Announcement) bool {
	if a.Sequence == c.current.Sequence {
		return false
	}

	grows := c.lowSequence > 0 && a.Sequence > c.lowSequence
	c.lowSequence = max(c.lowSequence, a.Sequence)

	return grows && now >= c.leaseExpiresAt
}

// Withdraw marks one start of the server as draining: it may complete its running requests, but gets no new ones after the drain
// linger. Later announcements of that start are ignored if they name its instance. If startedAtMs is zero, the latest announced start
// is meant.
func (c *Core) Withdraw(now tiller.Millis, instance string, startedAtMs int64) {
	known := instance == c.current.Instance && c.state != wire.BackendState_BACKEND_STATE_NONE
	if known && startedAtMs == 0 {
		startedAtMs = c.current.StartedAtMs
	}

	c.remember(now, withdrawal{
		Withdrawal: detector.Withdrawal{Instance: instance, StartedAtMs: startedAtMs, Sequence: detector.AllSequences},
		announced:  known && startedAtMs == c.current.StartedAtMs,
	})

	if known && startedAtMs >= c.current.StartedAtMs {
		c.setState(now, wire.BackendState_BACKEND_STATE_DRAINING, false)
		c.leaseExpiresAt = max(c.leaseExpiresAt, now+c.lease)
	}
}

// Leave withdraws a start of the server that states in an answer that it is leaving, and reports whether that is news. If learnt is set, a peer
// has known for a while, and the server gets no further requests at once.
func (c *Core) Leave(now tiller.Millis, start string, learnt bool) bool {
	if start != c.Start() || c.state == wire.BackendState_BACKEND_STATE_NONE {
		return false
	}

	news := c.state != wire.BackendState_BACKEND_STATE_DRAINING
	c.Withdraw(now, c.current.Instance, c.current.StartedAtMs)

	if news && learnt {
		c.endLinger(now)
	}

	return news
}

// Leaving reports whether the server is draining or was withdrawn.
func (c *Core) Leaving() bool { return c.state == wire.BackendState_BACKEND_STATE_DRAINING }

// LeavingFor returns how long the server has been draining, none if it is not.
func (c *Core) LeavingFor(now tiller.Millis) tiller.Option[tiller.Millis] {
	if !c.Leaving() {
		return tiller.None[tiller.Millis]()
	}

	return tiller.Some(max(now-c.drainingSince, 0))
}

// Ignored returns the number of announcements that were ignored because a later one or a withdrawal supersedes them.
func (c *Core) Ignored() int { return c.ignored }

// AnnouncedAt returns when the latest announcement was accepted.
func (c *Core) AnnouncedAt() tiller.Millis { return c.announcedAt }

// Latest returns the latest announcement that was accepted.
func (c *Core) Latest() Announcement { return c.current }

// ConnectionRefused records that the server's port refused a connection, which overrides its announcements for a while.
func (c *Core) ConnectionRefused(now tiller.Millis) {
	c.refused = true
	c.refusedAt = now
}

// recentlyRefused reports whether a refused connection overrides the announcements now.
func (c *Core) recentlyRefused(now tiller.Millis) bool {
	if !c.refused {
		return false
	}

	return now < c.refusedAt+refusalPeriod || (c.announcedAt <= c.refusedAt && now < c.refusedAt+maxRefusalPeriod)
}

// Backend returns the state of the server to share with other nodes. An announced server is gone if its lease has expired or its port
// refused a connection recently. A ready one counts as starting while it is held.
func (c *Core) Backend(now tiller.Millis) detector.Backend {
	state := c.state

	switch {
	case state != wire.BackendState_BACKEND_STATE_NONE && (now >= c.leaseExpiresAt || c.recentlyRefused(now)):
		state = wire.BackendState_BACKEND_STATE_GONE
	case state == wire.BackendState_BACKEND_STATE_READY && c.held():
		state = wire.BackendState_BACKEND_STATE_STARTING
	}

	return detector.Backend{
		Service: c.service, State: state, Slots: c.current.Slots, Connections: c.current.Connections,
		Instance: c.current.Instance, ColdUntil: c.coldUntil, Withdrawals: c.sharedWithdrawals(now),
	}
}

// Accepts reports whether the server may be sent a request now.
func (c *Core) Accepts(now tiller.Millis) bool {
	switch c.Backend(now).State {
	case wire.BackendState_BACKEND_STATE_READY:
		return true
	case wire.BackendState_BACKEND_STATE_DRAINING:
		return now < c.drainingSince+c.drainLinger
	default:
		return false
	}
}

// Address returns where the server listens, empty before the first announcement.
func (c *Core) Address() tiller.Address { return tiller.Address(c.current.Address) }

// Start identifies the latest announced start of the server, empty if it reported no instance. A server may keep its instance when it restarts.
func (c *Core) Start() string {
	if c.current.Instance == "" {
		return ""
	}

	return fmt.Sprintf("%s@%d", c.current.Instance, c.current.StartedAtMs)
}

// Instance returns the latest announced start of the server, empty if not reported.
func (c *Core) Instance() string { return c.current.Instance }
