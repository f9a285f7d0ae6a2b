// Package registrar keeps the announcements of the backend server on a node's VM under a lease. It performs no I/O.
package registrar

import (
	"fmt"
	"net/netip"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Limits of announcements, and how long they are valid.
const (
	// DefaultLease is how long an announcement is valid without a renewal, unless WithLease sets another time.
	DefaultLease = 3 * tiller.Second
	// MaxSlots is the maximum number of announced slots.
	MaxSlots = 100_000
	// MaxConnections is the maximum number of announced connections.
	MaxConnections = 100_000
	// MaxColdStart is the maximum announced duration of a cold start.
	MaxColdStart = 10 * tiller.Minute
	// MaxSequence is the maximum number of an announcement.
	MaxSequence = 1 << 53
	// MaxInstanceBytes is the maximum length of an instance, which other nodes must accept in the node's entry.
	MaxInstanceBytes = detector.MaxTextBytes
	// MaxClockLead is how far the start of a server may lie ahead of the node's wall clock, which may have been set back since.
	MaxClockLead = 24 * tiller.Hour

	// refusalPeriod is how long a refused connection overrides announcements.
	refusalPeriod = tiller.Second
	// maxRefusalPeriod is how long it overrides them while no further announcement is received.
	maxRefusalPeriod = 3 * tiller.Second
	// maxWithdrawals bounds the withdrawals that are remembered.
	maxWithdrawals = 32
	// withdrawalLifetime is how long a withdrawal is remembered; late announcements are delayed by seconds.
	withdrawalLifetime = tiller.Minute
	// minAnnouncingSpan is how long a start that seems earlier than one that left must announce itself, without a gap as long as the lease, until
	// it counts as a server that runs now.
	minAnnouncingSpan = 10 * tiller.Second
)

// Announcement is what a backend server reports of itself.
type Announcement struct {
	Address     string `json:"address"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	// Instance identifies one start of the server, empty if not reported.
	Instance string `json:"instance,omitempty"`
	// StartedAtMs is the time of that start in Unix milliseconds, zero if not reported.
	StartedAtMs int64 `json:"born,omitempty"`
	// Sequence grows with each announcement of one start, zero if not reported.
	Sequence uint64 `json:"sequence,omitempty"`
	// Software is the version of the server's software, empty if not reported.
	Software string `json:"software,omitempty"`
	// ColdMs is the duration of the server's cold start in milliseconds. Zero means that the server is not, or no longer, cold.
	ColdMs int64 `json:"cold_ms,omitempty"`
}

// Leaves reports whether the announcement states that an identified start of the server leaves, which must outlast a restart of the node.
func (a Announcement) Leaves() bool {
	state, ok := tiller.ParseState(a.State)
	leaving := state == wire.BackendState_BACKEND_STATE_DRAINING || state == wire.BackendState_BACKEND_STATE_GONE

	return ok && leaving && a.Instance != "" && a.Sequence > 0
}

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

// validate returns the announced state and every fault of an announcement.
func (c *Core) validate(a Announcement) (wire.BackendState, []string) {
	var faults []string

	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }

	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		fault("address: %q is not an IP address with a port", a.Address)
	} else if c.host.IsValid() && address.Addr().Unmap() != c.host {
		fault("address: %q; the server of this node runs on %s", a.Address, c.host)
	}

	if a.Sequence > MaxSequence {
		fault("sequence: %d; the maximum is %d", a.Sequence, uint64(MaxSequence))
	}

	if a.Service != string(c.service) {
		fault("service: %q; the worker of this node offers %q", a.Service, c.service)
	}

	if a.Slots < 1 || a.Slots > MaxSlots {
		fault("slots: %d; allowed are 1 to %d", a.Slots, MaxSlots)
	}

	if lowest := c.minConnections(); a.Connections < lowest || a.Connections > MaxConnections {
		fault("connections: %d; allowed are %d to %d", a.Connections, lowest, MaxConnections)
	}

	faults = append(faults, c.CheckStart(a.Instance, a.StartedAtMs)...)

	if a.ColdMs < 0 || a.ColdMs > int64(MaxColdStart) {
		fault("cold_ms: %d; allowed are 0 to %d", a.ColdMs, MaxColdStart)
	}

	state, ok := tiller.ParseState(a.State)
	if !ok || state == wire.BackendState_BACKEND_STATE_NONE {
		fault("state: %q; allowed are starting, ready, draining, gone", a.State)
	}

	return state, faults
}

// CheckStart returns why no server of this VM can have such a start, nil if one can. The time is in Unix milliseconds.
func (c *Core) CheckStart(instance string, startedAtMs int64) []string {
	var faults []string

	if len(instance) > MaxInstanceBytes {
		faults = append(faults, fmt.Sprintf("instance: %d bytes; allowed are %d", len(instance), MaxInstanceBytes))
	}

	if startedAtMs < 0 {
		faults = append(faults, fmt.Sprintf("born: %d is not a Unix time in milliseconds", startedAtMs))
	}

	if c.wall != nil && startedAtMs > int64(c.wall.Now()+MaxClockLead) {
		faults = append(faults, fmt.Sprintf("born: %d is in the future", startedAtMs))
	}

	return faults
}

func (c *Core) minConnections() int {
	if c.connectionsOptional {
		return 0
	}

	return 1
}

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
