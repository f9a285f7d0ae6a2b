// Package recorder stores events in a bounded ring buffer, stamped by a hybrid logical clock so that the events of several processes can be
// merged in causal order.
package recorder

import (
	"sync"

	"github.com/go-logr/logr"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// Capacity is the number of events that a Ring stores.
	Capacity = 2048

	logicalBits = 16
	// maxClockLead is how far ahead of the local clock a stamp from another process may be.
	maxClockLead = tiller.Minute
)

// Stamp is a hybrid logical time: Unix milliseconds in the upper 48 bits and a logical counter in the lower 16.
type Stamp uint64

// Wall returns the wall-clock part of the stamp in Unix milliseconds.
func (s Stamp) Wall() tiller.Millis { return tiller.Millis(s >> logicalBits) }

// HybridClock is a hybrid logical clock: its stamps are greater than all that it issued before or received from other processes. It is safe for
// concurrent use.
type HybridClock struct {
	mu    sync.Mutex
	clock tiller.Clock
	last  Stamp
}

// NewHybridClock returns a hybrid logical clock on top of a wall clock.
func NewHybridClock(clock tiller.Clock) *HybridClock {
	return &HybridClock{clock: clock}
}

// Next returns a stamp later than all earlier ones.
func (h *HybridClock) Next() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()

	wall := Stamp(h.clock.Now()) << logicalBits
	h.last = max(h.last+1, wall)

	return h.last
}

// Observe advances the clock to a stamp from another process, if that is later. Stamps a minute or more ahead of the local wall clock are ignored.
func (h *HybridClock) Observe(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if s > h.last && s.Wall() < h.clock.Now()+maxClockLead {
		h.last = s
	}
}

// Wall returns the time of the latest stamp or of the wall clock, whichever is later, in Unix milliseconds.
func (h *HybridClock) Wall() tiller.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()

	return max(h.last.Wall(), h.clock.Now())
}

// Ring is a ring buffer of the latest events of a process; it is safe for concurrent use.
type Ring struct {
	mu         sync.Mutex
	process    string
	dataCentre tiller.DataCentre
	clock      *HybridClock
	events     []*wire.Event
	next       int
	dropped    uint64
	log        logr.Logger
}

// Option configures a Ring.
type Option func(*Ring)

// WithLog also logs a line for each event, except for retries and refusals of single calls, which the call path logs with the call's id.
func WithLog(log logr.Logger) Option { return func(r *Ring) { r.log = log } }

var _ tiller.Recorder = (*Ring)(nil)

// New returns an empty ring.
func New(process string, dc tiller.DataCentre, clock *HybridClock, options ...Option) *Ring {
	r := &Ring{process: process, dataCentre: dc, clock: clock, log: logr.Discard()}
	for _, o := range options {
		o(r)
	}

	return r
}

// Record stamps and stores events; each replaces the oldest one if the ring is full.
func (r *Ring) Record(events ...tiller.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, e := range events {
		w := r.toWire(e)
		r.add(w)

		if e.Kind() != tiller.EventRetried && e.Kind() != tiller.EventShed {
			r.log.Info(w.GetKind(), logFields(w)...)
		}
	}
}

// logFields returns the stamp of an event and those of its fields that are set, as key-value pairs.
func logFields(e *wire.Event) []any {
	fields := []any{"stamp", e.GetStamp()}

	for _, f := range []struct{ name, value string }{
		{"version", e.GetVersion()}, {"key", e.GetKey()}, {"cause", e.GetCause()}, {"detail", e.GetDetail()},
	} {
		if f.value != "" {
			fields = append(fields, f.name, f.value)
		}
	}

	return fields
}

func (r *Ring) toWire(e tiller.Event) *wire.Event {
	w := &wire.Event{
		Stamp: uint64(r.clock.Next()), Process: r.process, DataCentre: string(r.dataCentre),
		Kind: e.Kind().String(), Key: e.Key(), Cause: e.Cause(), Detail: e.Detail(),
	}
	if !e.Version().IsZero() {
		w.Version = e.Version().String()
	}

	return w
}

func (r *Ring) add(e *wire.Event) {
	if len(r.events) < Capacity {
		r.events = append(r.events, e)

		return
	}

	r.events[r.next] = e
	r.next = (r.next + 1) % Capacity
	r.dropped++
}

// Since returns the stored events after a stamp, oldest first, and the total number of events dropped so far.
func (r *Ring) Since(after Stamp) ([]*wire.Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := make([]*wire.Event, 0, len(r.events))

	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; Stamp(e.GetStamp()) > after {
			out = append(out, e)
		}
	}

	return out, r.dropped
}
