package registrar

import (
	"fmt"
	"net/netip"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Limits of announcements.
const (
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
