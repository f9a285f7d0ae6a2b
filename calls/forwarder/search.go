package forwarder

import (
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
)

const (
	// maxAsked is how many gates are asked for a free slot before a call waits at one of them. A node of a large fleet hears from
	// each gate too seldom to know which has room; asking costs a round trip, waiting at the wrong one a whole request.
	maxAsked = 3
	// askWeight is how many asked gates the moving share of free ones spans.
	askWeight = 16
	// leastFree is the share of gates with a free slot below which asking costs more bytes and time than it saves: nearly all of them are
	// busy then, and a call that asks three in vain has doubled what it puts on the links.
	leastFree = 0.5
	// askAnyway is one in how many calls asks nevertheless, to notice that there is room again.
	askAnyway = 16
	// maxAskedBytes is the largest body that is sent to a gate only to ask; above it the bytes cost more than the wait.
	maxAskedBytes = 8 << 10
)

// search is how far a call has got in finding a worker: first it asks a few near gates for a free slot, then it waits where it
// expects to be served first.
type search struct {
	asked int
	// busy holds the workers without a free slot.
	busy tiller.Set[tiller.Worker]
	// tried holds the workers that failed or refused.
	tried tiller.Set[tiller.Worker]
}

func newSearch(c *call, pays bool) *search {
	s := &search{busy: tiller.NewSet[tiller.Worker](), tried: tiller.NewSet[tiller.Worker]()}

	// A body that can be sent only once goes to a gate that may let it wait.
	if body := c.request.body; !pays || body.rest != nil || len(body.kept) > maxAskedBytes {
		s.asked = maxAsked
	}

	return s
}

// askShare is the moving share of asked gates that had a free slot. It is safe for concurrent use.
type askShare struct {
	mu    sync.Mutex
	free  float64
	calls int
}

// note counts the answer of a gate that was asked.
func (a *askShare) note(free bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	sample := 0.0
	if free {
		sample = 1
	}

	a.free += (sample - a.free) / askWeight
}

// pays reports whether a call should ask gates before it waits.
func (a *askShare) pays() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.calls++

	return a.free >= leastFree || a.calls%askAnyway == 0
}

// full notes that a gate had no free slot.
func (s *search) full(w tiller.Worker) {
	s.asked++
	s.busy.Add(w)
}

// failed notes that a worker is not to be tried again.
func (s *search) failed(w tiller.Worker) { s.tried.Add(w) }

// pick returns the worker for the next attempt, and whether the attempt only asks for a free slot.
func (f *Forwarder) pick(c *call, s *search) (backend tiller.Backend, noWait, ok bool) {
	now := f.Clock.Now()
	if c.request.service == f.Service {
		f.Balancer.Report(now, f.Name, balancer.NewLoad(f.Gate.Load()))
	}

	candidates, policy := c.table.Candidates(c.request.service), f.placing(c)
	met := s.tried.Union(s.busy)

	// The own worker costs no bytes on any link and no time on the way, and its gate tells exactly whether it has room.
	if !met.Has(f.Name) && c.request.service == f.Service && f.Gate.Free() {
		if backend, ok = f.Balancer.PickComfortable(now, among(candidates, f.Name), policy).Get(); ok {
			return backend, true, true
		}
	}

	// A slot here is free sooner than a request could reach another worker and return.
	if !met.Has(f.Name) && c.request.service == f.Service && f.Gate.Wait(c.request.demand()) < f.Balancer.HopOverhead() {
		if backend, ok = f.Balancer.PickComfortable(now, among(candidates, f.Name), policy).Get(); ok {
			return backend, false, true
		}
	}

	// Asking elsewhere would cost bytes between data centres where waiting nearby is often as good.
	if s.asked < maxAsked {
		if backend, ok = f.Balancer.Pick(now, f.near(candidates), met, policy).Get(); ok {
			return backend, true, true
		}
	}

	// The answers of the gates that were asked are the newest figures there are, so that these are worth comparing.
	policy.Choices = balancer.Choices + s.busy.Len()
	backend, ok = f.Balancer.Pick(now, candidates, s.tried, policy).Get()

	return backend, false, ok
}

// near returns the candidates of the node's own data centre.
func (f *Forwarder) near(candidates []balancer.Candidate) []balancer.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return c.Backend().DataCentre() != f.DataCentre })
}

// among returns the candidate of a worker, none if it is not one.
func among(candidates []balancer.Candidate, w tiller.Worker) []balancer.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return c.Backend().Worker() != w })
}
