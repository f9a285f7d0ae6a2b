package limiter

import (
	"context"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Gate makes a Core safe for concurrent use by callers that wait.
type Gate struct {
	mu    sync.Mutex
	core  *Core
	clock tiller.Clock
}

// NewGate returns a gate round a core.
func NewGate(core *Core, clock tiller.Clock) *Gate {
	return &Gate{core: core, clock: clock}
}

// Slot is the right to run one request.
type Slot struct {
	gate   *Gate
	ticket *Ticket
}

// Acquire waits for a slot until the context ends; a refusal is not run.
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

// Release returns the slot.
func (s *Slot) Release(outcome Outcome) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()

	s.gate.core.Release(s.gate.clock.Now(), s.ticket, outcome)
}

// Do runs a function on the core under the gate's lock.
func (g *Gate) Do(f func(core *Core)) {
	g.mu.Lock()
	defer g.mu.Unlock()

	f(g.core)
}

// Tick refuses requests that waited too long.
func (g *Gate) Tick() {
	g.Do(func(c *Core) { c.Tick(g.clock.Now()) })
}

// Free reports whether a request would get a slot at once.
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

// Load returns the number of requests that run or wait, the limit, and how long requests take.
func (g *Gate) Load() (load, limit int, pace tiller.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.core.InFlight() + g.core.Waiting(), g.core.Limit(), g.core.Pace()
}
