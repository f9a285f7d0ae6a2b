package sycamoretiller

import (
	"strings"

	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	statePrefix    = "BACKEND_STATE_"
	livenessPrefix = "LIVENESS_"
)

// StateName returns the name of a backend server's state in snake case.
func StateName(s wire.BackendState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), statePrefix))
}

// ParseState returns the state with the given name in snake case, and whether there is one.
func ParseState(name string) (wire.BackendState, bool) {
	v, ok := wire.BackendState_value[statePrefix+strings.ToUpper(name)]

	return wire.BackendState(v), ok && name == strings.ToLower(name)
}

// LivenessName returns the name of a VM's liveness in snake case.
func LivenessName(l wire.Liveness) string {
	return strings.ToLower(strings.TrimPrefix(l.String(), livenessPrefix))
}

// Backend is a node's view of one backend server, local or remote.
type Backend struct {
	worker      Worker
	dataCentre  DataCentre
	service     Service
	callAddress Address
	slots       int
	state       wire.BackendState
	readySince  Millis
	coldUntil   Millis
	instance    string
	suspect     bool
}

// BackendOf converts an entry of the membership table.
func BackendOf(e *wire.NodeEntry) Backend {
	return Backend{
		worker:      Worker(e.GetName()),
		dataCentre:  DataCentre(e.GetDataCentre()),
		service:     Service(e.GetService()),
		callAddress: Address(e.GetCallAddress()),
		slots:       int(e.GetSlots()),
		state:       e.GetState(),
		readySince:  Millis(e.GetReadySince()),
		coldUntil:   Millis(e.GetColdUntil()),
		instance:    e.GetInstance(),
		suspect:     e.GetLiveness() != wire.Liveness_LIVENESS_ALIVE,
	}
}

// Worker returns the worker's name.
func (b Backend) Worker() Worker { return b.worker }

// DataCentre returns the data centre in which the backend server runs.
func (b Backend) DataCentre() DataCentre { return b.dataCentre }

// Service returns the service that it provides.
func (b Backend) Service() Service { return b.service }

// CallAddress returns the address for calls of the node on its VM.
func (b Backend) CallAddress() Address { return b.callAddress }

// Slots returns how many requests it runs concurrently.
func (b Backend) Slots() int { return b.slots }

// Ready reports whether it accepts new requests.
func (b Backend) Ready() bool {
	return b.state == wire.BackendState_BACKEND_STATE_READY
}

// ReadySince returns when it became ready, by its own node's clock.
func (b Backend) ReadySince() Millis { return b.readySince }

// ColdUntil returns when the server's cold start ends, by its own node's clock; zero if not reported.
func (b Backend) ColdUntil() Millis { return b.coldUntil }

// Instance returns the id of the server's current start, empty if not reported.
func (b Backend) Instance() string { return b.instance }

// Suspect reports whether the membership table lists its VM as anything but alive.
func (b Backend) Suspect() bool { return b.suspect }
