package limiter

import (
	"context"
	"sync"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Limiter wraps a Core for concurrent use; callers block until they get a slot.
type Limiter struct {
	mu    sync.Mutex
	core  *Core
	clock tiller.Clock
	// wakeAt is when the pending timer starts the next request that the accepted rate holds back, zero if there is none.
	wakeAt tiller.Millis
}

// New returns a limiter that wraps the given core.
func New(core *Core, clock tiller.Clock) *Limiter {
	return &Limiter{core: core, clock: clock}
}

// Slot is the permission to run one request; it must be released after use.
type Slot struct {
	limiter *Limiter
	ticket  *Ticket
}

// Acquire waits for a slot until the context ends. A refused request has verdict VerdictNotRun.
func (l *Limiter) Acquire(ctx context.Context, d Demand) (*Slot, *tiller.CallError) {
	granted := make(chan *tiller.CallError, 1)

	l.mu.Lock()
	ticket := l.core.Acquire(l.clock.Now(), d, func(err *tiller.CallError) { granted <- err })
	l.schedule()
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

func (l *Limiter) slot(t *Ticket, err *tiller.CallError) (*Slot, *tiller.CallError) {
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
	s.limiter.schedule()
}

// WithCore calls f with the core while holding the lock.
func (l *Limiter) WithCore(f func(core *Core)) {
	l.mu.Lock()
	defer l.mu.Unlock()

	f(l.core)
	l.schedule()
}

// schedule sets a timer for the next request that only the accepted rate holds back, since no other event may occur by then.
func (l *Limiter) schedule() {
	at, ok := l.core.NextStart(l.clock.Now()).Get()
	if !ok || (l.wakeAt > 0 && l.wakeAt <= at) {
		return
	}

	l.wakeAt = at
	time.AfterFunc(max(at-l.clock.Now(), 1).Duration(), func() { l.wake(at) })
}

// wake starts waiting requests; a later timer may have replaced this one.
func (l *Limiter) wake(at tiller.Millis) {
	l.WithCore(func(c *Core) {
		if l.wakeAt == at {
			l.wakeAt = 0
		}

		c.Tick(l.clock.Now())
	})
}

// Tick refuses requests that waited too long and starts others on free slots.
func (l *Limiter) Tick() {
	l.WithCore(func(c *Core) { c.Tick(l.clock.Now()) })
}

// HasFreeSlot reports whether a request would get a slot immediately.
func (l *Limiter) HasFreeSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.HasFreeSlot(l.clock.Now())
}

// EstimateWait estimates how long a request would wait for a slot.
func (l *Limiter) EstimateWait(d Demand) tiller.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.EstimateWait(l.clock.Now(), d)
}

// Load returns the number of running and waiting requests, the concurrency limit, and the mean latency on the server.
func (l *Limiter) Load() (load, limit int, meanLatency tiller.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.InFlight() + l.core.Waiting(), l.core.Limit(), l.core.MeanLatency()
}

// Rate returns the rate limit in force, none if requests are not held back.
func (l *Limiter) Rate() tiller.Option[tiller.Rate] {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.core.Rate()
}
