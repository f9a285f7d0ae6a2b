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
	gate   *Gate
	ticket *Ticket
}

// Acquire waits for a slot until the context ends. A refused request has verdict VerdictNotRun.
func (g *Gate) Acquire(ctx context.Context, d Demand) (*Slot, *tiller.CallError) {
	granted := make(chan *tiller.CallError, 1)

	g.mu.Lock()
	ticket := g.core.Acquire(g.clock.Now(), d, func(err *tiller.CallError) { granted <- err })
	g.mu.Unlock()

	select {
	case err := <-granted:
		return g.slot(ticket, err)
	case <-ctx.Done():
	}

	g.mu.Lock()
	waiting := g.core.Cancel(ticket)
	g.mu.Unlock()

	if waiting {
		return nil, refusal(tiller.ReasonCancelled, "the caller gave up while the request waited")
	}

	return g.slot(ticket, <-granted)
}

func (g *Gate) slot(t *Ticket, err *tiller.CallError) (*Slot, *tiller.CallError) {
	if err != nil {
		return nil, err
	}

	return &Slot{gate: g, ticket: t}, nil
}

// Release gives the slot back and records how the request ended.
func (s *Slot) Release(outcome Outcome) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()

	s.gate.core.Release(s.gate.clock.Now(), s.ticket, outcome)
}

// Do calls f with the core while holding the lock.
func (g *Gate) Do(f func(core *Core)) {
	g.mu.Lock()
	defer g.mu.Unlock()

	f(g.core)
}

// Tick refuses requests that waited too long and starts others on free slots.
func (g *Gate) Tick() {
	g.Do(func(c *Core) { c.Tick(g.clock.Now()) })
}

// Free reports whether a request would get a slot immediately.
func (g *Gate) Free() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.core.Free()
}

// Wait estimates how long a request would wait for a slot.
func (g *Gate) Wait(d Demand) tiller.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.core.Wait(g.clock.Now(), d)
}

// Load returns the number of running and waiting requests, the concurrency limit, and the mean latency on the server.
func (g *Gate) Load() (load, limit int, meanLatency tiller.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.core.InFlight() + g.core.Waiting(), g.core.Limit(), g.core.Pace()
}
