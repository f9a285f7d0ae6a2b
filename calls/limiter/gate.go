package limiter

import (
	"context"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Gate wraps a Core for concurrent use; callers block until they get a slot.
type Gate struct {
	mu    sync.Mutex
	core  *Core
	clock tiller.Clock
}

// NewGate returns a wrapper of the given core.
func NewGate(core *Core, clock tiller.Clock) *Gate {
	return &Gate{core: core, clock: clock}
}

// Slot is the permission to run one request; it must be released after use.
type Slot struct {
	limiter *Gate
	ticket  *Ticket
}

// Acquire waits for a slot until the context ends. A refused request has verdict VerdictNotRun.
func (l *Gate) Acquire(ctx context.Context, d Demand) (*Slot, *tiller.CallError) {
	granted := make(chan *tiller.CallError, 1)

	l.mu.Lock()
	ticket := l.core.Acquire(l.clock.Now(), d, func(err *tiller.CallError) { granted <- err })
	l.mu.Unlock()

	select {
	case err := <-granted:
		return l.slot(ticket, err)
	case <-ctx.Done():
	}

	l.mu.Lock()
	waiting := l.core.Cancel(ticket)
	l.mu.Unlock()

	if waiting {
		return nil, refusal(tiller.ReasonCancelled, "the caller gave up while the request waited")
	}

	return l.slot(ticket, <-granted)
}

func (l *Gate) slot(t *Ticket, err *tiller.CallError) (*Slot, *tiller.CallError) {
	if err != nil {
		return nil, err
	}

	return &Slot{limiter: l, ticket: t}, nil
}

// Release gives the slot back and records how the request ended.
func (s *Slot) Release(outcome Outcome) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()

	s.limiter.core.Release(s.limiter.clock.Now(), s.ticket, outcome)
}

// Do calls f with the core while holding the lock.
func (l *Gate) Do(f func(core *Core)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	f(l.core)
}

// Tick refuses requests that waited too long and starts others on free slots.
func (l *Gate) Tick() {
	l.Do(func(c *Core) { c.Tick(l.clock.Now()) })
}

// Free reports whether a request would get a slot immediately.
func (l *Gate) Free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.Free()
}

// Wait estimates how long a request would wait for a slot.
func (l *Gate) Wait(d Demand) tiller.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.Wait(l.clock.Now(), d)
}

// Load returns the number of running and waiting requests, the concurrency limit, and the mean latency on the server.
func (l *Gate) Load() (load, limit int, meanLatency tiller.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.InFlight() + l.core.Waiting(), l.core.Limit(), l.core.Pace()
}
