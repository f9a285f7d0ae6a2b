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

// ParseState returns the state of a name in snake case.
func ParseState(name string) (wire.BackendState, bool) {
	v, ok := wire.BackendState_value[statePrefix+strings.ToUpper(name)]

	return wire.BackendState(v), ok && name == strings.ToLower(name)
}

// LivenessName returns the name of a VM's liveness in snake case.
func LivenessName(l wire.Liveness) string {
	return strings.ToLower(strings.TrimPrefix(l.String(), livenessPrefix))
}

// Backend is what a node knows of one backend server, possibly a remote one.
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

// BackendOf converts a membership entry.
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

// DataCentre returns where the backend server runs.
func (b Backend) DataCentre() DataCentre { return b.dataCentre }

// Service returns the service that it offers.
func (b Backend) Service() Service { return b.service }

// CallAddress returns the address of the node on its VM.
func (b Backend) CallAddress() Address { return b.callAddress }

// Slots returns how many requests it runs at once.
func (b Backend) Slots() int { return b.slots }

// Ready reports whether it accepts new work.
func (b Backend) Ready() bool {
	return b.state == wire.BackendState_BACKEND_STATE_READY
}

// ReadySince returns when it became ready, by its own node's clock.
func (b Backend) ReadySince() Millis { return b.readySince }

// ColdUntil returns until when the server is slow after its start, by its own node's clock; zero if it does not tell.
func (b Backend) ColdUntil() Millis { return b.coldUntil }

// Instance returns the start of the server, empty if it does not tell.
func (b Backend) Instance() string { return b.instance }

// Suspect reports whether peers doubt that its VM is alive.
func (b Backend) Suspect() bool { return b.suspect }
