// Package registrar keeps what the backend server on a node's VM announces of itself, under a lease. It does no input or
// output.
package registrar

import (
	"fmt"
	"net/netip"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// Lease is how long an announcement holds without another one, unless an option says otherwise.
	Lease = 3 * tiller.Second
	// MaxSlots bounds the announced slots.
	MaxSlots = 100_000
	// MaxConnections bounds the announced connections.
	MaxConnections = 100_000
	// MaxCold bounds the announced time that a server stays slow after its start.
	MaxCold = 10 * tiller.Minute

	// distrustFor is how long a refused connection weighs more than announcements.
	distrustFor = tiller.Second
	// distrustSilentFor is how long it does while no further announcement comes.
	distrustSilentFor = 3 * tiller.Second
	maxWithdrawn      = 32
)

// Announcement is what a backend server tells of itself.
type Announcement struct {
	Address     string `json:"address"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	// Instance names one start of the server, empty if it does not tell.
	Instance string `json:"instance,omitempty"`
	// Born is the Unix millisecond of that start, zero if the server does not tell.
	Born int64 `json:"born,omitempty"`
	// Sequence grows with each announcement of one start, zero if the server does not count.
	Sequence uint64 `json:"sequence,omitempty"`
	// Software is the version of the server's software.
	Software string `json:"software,omitempty"`
	// ColdMs is how long the server stays slow after its start, in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
}

// Option changes how a core judges announcements.
type Option func(*Core)

// WithLease sets how long an announcement holds without another one.
func WithLease(lease tiller.Millis) Option { return func(c *Core) { c.lease = lease } }

// WithDrainLinger lets a draining server take requests that other nodes sent before they knew, for a span.
func WithDrainLinger(linger tiller.Millis) Option { return func(c *Core) { c.linger = linger } }

// WithoutConnections takes announcements that do not tell the number of connections.
func WithoutConnections() Option { return func(c *Core) { c.withoutConnections = true } }

// Core holds the latest announcement.
type Core struct {
	service            tiller.Service
	lease              tiller.Millis
	linger             tiller.Millis
	withoutConnections bool

	current       Announcement
	state         wire.BackendState
	until         tiller.Millis
	heardAt       tiller.Millis
	drainingSince tiller.Millis
	coldUntil     tiller.Millis
	refusedAt     tiller.Millis
	refused       bool
	// withdrawn holds the latest start of each instance that has left.
	withdrawn map[string]int64
	order     []string
}

// New returns a core for the service that the node's settings name.
func New(service tiller.Service, options ...Option) *Core {
	c := &Core{service: service, lease: Lease, state: wire.BackendState_BACKEND_STATE_NONE, withdrawn: map[string]int64{}}
	for _, o := range options {
		o(c)
	}

	return c
}

// Announce takes an announcement, or returns every fault in it and keeps the old one. An announcement that was overtaken by a
// later one, or by the server's leave, has no faults and changes nothing.
func (c *Core) Announce(now tiller.Millis, a Announcement) []string {
	state, faults := c.check(a)
	if len(faults) > 0 {
		return faults
	}

	if c.overtaken(now, a) {
		return nil
	}

	fresh := !c.sameStart(a)
	if fresh {
		c.coldUntil = now + tiller.Millis(a.ColdMs)
		c.refused = false
	} else if a.ColdMs == 0 {
		c.coldUntil = min(c.coldUntil, now)
	}

	c.setState(now, state, fresh)
	c.current = a
	c.heardAt = now
	c.until = now + c.lease

	return nil
}

func (c *Core) setState(now tiller.Millis, state wire.BackendState, fresh bool) {
	if state == wire.BackendState_BACKEND_STATE_DRAINING && (fresh || c.state != state) {
		c.drainingSince = now
	}

	c.state = state
}

func (c *Core) sameStart(a Announcement) bool {
	return c.state != wire.BackendState_BACKEND_STATE_NONE && a.Instance == c.current.Instance && a.Born == c.current.Born
}

// overtaken reports whether something later than an announcement is known. The clock of a VM may have been set back between
// two starts, so that an earlier birth counts only while the known server still announces itself.
func (c *Core) overtaken(now tiller.Millis, a Announcement) bool {
	if left, ok := c.withdrawn[a.Instance]; ok && a.Instance != "" && a.Born <= left {
		return true
	}

	if c.sameStart(a) {
		return a.Sequence > 0 && a.Sequence <= c.current.Sequence
	}

	return a.Born < c.current.Born && now < c.until
}

// Withdraw notes that one start of the server leaves. It may still serve what it runs, but takes no new work.
func (c *Core) Withdraw(now tiller.Millis, instance string, born int64) {
	known := instance == c.current.Instance && c.state != wire.BackendState_BACKEND_STATE_NONE
	if known && born == 0 {
		born = c.current.Born
	}

	c.rememberWithdrawn(instance, born)

	if known && born >= c.current.Born {
		c.setState(now, wire.BackendState_BACKEND_STATE_DRAINING, false)
		c.until = max(c.until, now+c.lease)
	}
}

func (c *Core) rememberWithdrawn(instance string, born int64) {
	if _, known := c.withdrawn[instance]; !known {
		c.order = append(c.order, instance)
	}

	c.withdrawn[instance] = max(born, c.withdrawn[instance])

	if len(c.order) > maxWithdrawn {
		delete(c.withdrawn, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Core) check(a Announcement) (wire.BackendState, []string) {
	var faults []string

	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }

	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		fault("address: %q is not an IP address with a port", a.Address)
	}

	if a.Service != string(c.service) {
		fault("service: %q; the worker of this node offers %q", a.Service, c.service)
	}

	if a.Slots < 1 || a.Slots > MaxSlots {
		fault("slots: %d; allowed are 1 to %d", a.Slots, MaxSlots)
	}

	if least := c.leastConnections(); a.Connections < least || a.Connections > MaxConnections {
		fault("connections: %d; allowed are %d to %d", a.Connections, least, MaxConnections)
	}

	if a.Born < 0 {
		fault("born: %d is not a Unix time in milliseconds", a.Born)
	}

	if a.ColdMs < 0 || a.ColdMs > int64(MaxCold) {
		fault("cold_ms: %d; allowed are 0 to %d", a.ColdMs, MaxCold)
	}

	state, ok := tiller.ParseState(a.State)
	if !ok || state == wire.BackendState_BACKEND_STATE_NONE {
		fault("state: %q; allowed are starting, ready, draining, gone", a.State)
	}

	return state, faults
}

func (c *Core) leastConnections() int {
	if c.withoutConnections {
		return 0
	}

	return 1
}

// Refused notes that the server's port refused a connection, which weighs more than its announcements for a while.
func (c *Core) Refused(now tiller.Millis) {
	c.refused = true
	c.refusedAt = now
}

// distrusted reports whether the server's port refused a connection lately.
func (c *Core) distrusted(now tiller.Millis) bool {
	if !c.refused {
		return false
	}

	return now < c.refusedAt+distrustFor || (c.heardAt <= c.refusedAt && now < c.refusedAt+distrustSilentFor)
}

// Backend returns what the node tells others of the server now.
func (c *Core) Backend(now tiller.Millis) detector.Backend {
	state := c.state
	if state != wire.BackendState_BACKEND_STATE_NONE && (now >= c.until || c.distrusted(now)) {
		state = wire.BackendState_BACKEND_STATE_GONE
	}

	return detector.Backend{
		Service: c.service, State: state, Slots: c.current.Slots, Connections: c.current.Connections,
		Instance: c.current.Instance, ColdUntil: c.coldUntil,
	}
}

// Accepts reports whether the server may be given a request now.
func (c *Core) Accepts(now tiller.Millis) bool {
	switch c.Backend(now).State {
	case wire.BackendState_BACKEND_STATE_READY:
		return true
	case wire.BackendState_BACKEND_STATE_DRAINING:
		return now < c.drainingSince+c.linger
	default:
		return false
	}
}

// Address returns where the server listens, empty before it has announced itself.
func (c *Core) Address() tiller.Address { return tiller.Address(c.current.Address) }

// Instance returns the start of the server that was announced last, empty if it does not tell.
func (c *Core) Instance() string { return c.current.Instance }
