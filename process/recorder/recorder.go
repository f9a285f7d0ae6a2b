// Package recorder keeps a bounded ring of events with hybrid logical time, so that events of several processes can be
// merged in causal order.
package recorder

import (
	"sync"

	"github.com/go-logr/logr"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// Capacity is the number of events kept.
	Capacity = 2048

	logicalBits  = 16
	maxClockLead = tiller.Minute
)

// Stamp is a hybrid logical time: milliseconds in the upper bits and a counter in the lower ones.
type Stamp uint64

// Wall returns the milliseconds of the stamp.
func (s Stamp) Wall() tiller.Millis { return tiller.Millis(s >> logicalBits) }

// HybridClock gives stamps that grow with every event and with every stamp heard from others.
type HybridClock struct {
	mu    sync.Mutex
	clock tiller.Clock
	last  Stamp
}

// NewHybridClock returns a clock on top of the wall clock.
func NewHybridClock(clock tiller.Clock) *HybridClock {
	return &HybridClock{clock: clock}
}

// Next returns a stamp later than all before.
func (h *HybridClock) Next() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()

	wall := Stamp(h.clock.Now()) << logicalBits
	h.last = max(h.last+1, wall)

	return h.last
}

// Hear takes over a later stamp from another process; one far ahead of the own clock is ignored.
func (h *HybridClock) Hear(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if s > h.last && s.Wall() < h.clock.Now()+maxClockLead {
		h.last = s
	}
}

// Wall returns the milliseconds of the latest stamp or of the clock, whichever is later.
func (h *HybridClock) Wall() tiller.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()

	return max(h.last.Wall(), h.clock.Now())
}

// Ring keeps the latest events of a process.
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

// Option changes what a ring does with events.
type Option func(*Ring)

// WithLog writes a line for each event too. Retries and refusals of single calls are left out, since the call path logs them
// with the call's id.
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

// Record stamps and keeps events; the oldest make room.
func (r *Ring) Record(events ...tiller.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, e := range events {
		w := r.stamped(e)
		r.add(w)

		if e.Kind() != tiller.EventRetried && e.Kind() != tiller.EventShed {
			r.log.Info(w.GetKind(), describe(w)...)
		}
	}
}

// describe returns the fields of an event that are set.
func describe(e *wire.Event) []any {
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

func (r *Ring) stamped(e tiller.Event) *wire.Event {
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

// Since returns the kept events after a stamp, oldest first, and how many were dropped in all.
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
