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
	// Lease is how long an announcement holds without another one.
	Lease = 3 * tiller.Second
	// MaxSlots bounds the announced slots.
	MaxSlots = 100_000
	// MaxConnections bounds the announced connections.
	MaxConnections = 100_000

	distrustFor = tiller.Second
)

// Announcement is what a backend server tells of itself.
type Announcement struct {
	Address     string `json:"address"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

// Core holds the latest announcement.
type Core struct {
	service       tiller.Service
	current       Announcement
	state         wire.BackendState
	until         tiller.Millis
	distrustUntil tiller.Millis
}

// New returns a core for the service that the node's settings name.
func New(service tiller.Service) *Core {
	return &Core{service: service, state: wire.BackendState_BACKEND_STATE_NONE}
}

// Announce takes an announcement, or returns every fault in it and keeps the old one.
func (c *Core) Announce(now tiller.Millis, a Announcement) []string {
	state, faults := c.check(a)
	if len(faults) > 0 {
		return faults
	}

	c.current = a
	c.state = state
	c.until = now + Lease

	return nil
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

	if a.Connections < 1 || a.Connections > MaxConnections {
		fault("connections: %d; allowed are 1 to %d", a.Connections, MaxConnections)
	}

	state, ok := tiller.ParseState(a.State)
	if !ok || state == wire.BackendState_BACKEND_STATE_NONE {
		fault("state: %q; allowed are starting, ready, draining, gone", a.State)
	}

	return state, faults
}

// Refused notes that the server's port refused a connection, which weighs more than its announcements for a while.
func (c *Core) Refused(now tiller.Millis) { c.distrustUntil = now + distrustFor }

// Backend returns what the node tells others of the server now.
func (c *Core) Backend(now tiller.Millis) detector.Backend {
	state := c.state
	if state != wire.BackendState_BACKEND_STATE_NONE && (now >= c.until || now < c.distrustUntil) {
		state = wire.BackendState_BACKEND_STATE_GONE
	}

	return detector.Backend{Service: c.service, State: state, Slots: c.current.Slots, Connections: c.current.Connections}
}

// Address returns where the server listens, empty before it has announced itself.
func (c *Core) Address() tiller.Address { return tiller.Address(c.current.Address) }
