package forwarder

import (
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
)

const (
	// maxNoWaitAttempts is how many workers get a no-wait attempt, which is refused unless a slot is free, before a call waits at one. In a
	// large fleet each worker reports its load too rarely for a node to know which has a free slot. A no-wait attempt costs a round trip,
	// waiting at the wrong worker the time of a whole request.
	maxNoWaitAttempts = 3
	// freeShareWindow is the number of no-wait attempts that the moving average in freeShare spans.
	freeShareWindow = 16
	// minFreeShare is the share of no-wait attempts that must find a free slot. Below it nearly all workers are busy, and no-wait attempts
	// cost more bytes and time than they save: a call that makes three of them in vain doubles its traffic on the links.
	minFreeShare = 0.5
	// noWaitSampleInterval is the number of calls of which one makes no-wait attempts below minFreeShare too, to detect free slots again.
	noWaitSampleInterval = 16
	// maxNoWaitBytes is the largest body of a no-wait attempt; above it the bytes cost more than the wait.
	maxNoWaitBytes = 8 << 10
)

// search is the state of a call's search for a worker: first come a few no-wait attempts in the node's own data centre, then an attempt
// that waits at the worker with the lowest expected time.
type search struct {
	noWaitAttempts int
	// busy is the set of workers without a free slot.
	busy tiller.Set[tiller.Worker]
	// tried is the set of workers that failed or refused an attempt.
	tried tiller.Set[tiller.Worker]
}

func newSearch(c *call, tryNoWait bool) *search {
	s := &search{busy: tiller.NewSet[tiller.Worker](), tried: tiller.NewSet[tiller.Worker]()}

	// A body that can be sent only once must not be consumed by a no-wait attempt.
	if body := c.request.body; !tryNoWait || body.rest != nil || len(body.buffered) > maxNoWaitBytes {
		s.noWaitAttempts = maxNoWaitAttempts
	}

	return s
}

// freeShare is the moving average of the share of no-wait attempts that found a free slot. It is safe for concurrent use.
type freeShare struct {
	mu    sync.Mutex
	share float64
	calls int
}

// record counts the result of a no-wait attempt.
func (s *freeShare) record(free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	sample := 0.0
	if free {
		sample = 1
	}

	s.share += (sample - s.share) / freeShareWindow
}

// shouldTryNoWait reports whether a call should make no-wait attempts before it waits.
func (s *freeShare) shouldTryNoWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	return s.share >= minFreeShare || s.calls%noWaitSampleInterval == 0
}

// markBusy records that a worker had no free slot.
func (s *search) markBusy(w tiller.Worker) {
	s.noWaitAttempts++
	s.busy.Add(w)
}

// markTried records that a worker must not be tried again.
func (s *search) markTried(w tiller.Worker) { s.tried.Add(w) }

// pickWorker returns the worker for the next attempt, and whether it is a no-wait attempt.
func (f *Forwarder) pickWorker(c *call, s *search) (backend tiller.Backend, noWait, ok bool) {
	now := f.Clock.Now()
	if c.request.service == f.Service {
		f.Balancer.RecordLoad(now, f.Name, balancer.NewLoad(f.Limiter.Load()))
	}

	candidates, policy := c.table.Candidates(c.request.service), f.placementPolicy(c)
	excluded := s.tried.Union(s.busy)

	// The node's own worker needs no traffic and no round trip, and whether it has a free slot is known exactly.
	if !excluded.Has(f.Name) && c.request.service == f.Service && f.Limiter.HasFreeSlot() {
		if backend, ok = f.Balancer.PickWithinTarget(now, onlyWorker(candidates, f.Name), policy).Get(); ok {
			return backend, true, true
		}
	}

	// The wait for a slot here is shorter than the overhead of a hop to another worker.
	if !excluded.Has(f.Name) && c.request.service == f.Service && f.Limiter.EstimateWait(c.request.demand()) < f.Balancer.HopOverhead() {
		if backend, ok = f.Balancer.PickWithinTarget(now, onlyWorker(candidates, f.Name), policy).Get(); ok {
			return backend, false, true
		}
	}

	// No-wait attempts stay in this data centre: others would cost traffic between data centres, and waiting here is often as good.
	if s.noWaitAttempts < maxNoWaitAttempts {
		if backend, ok = f.Balancer.Pick(now, f.sameDataCentre(candidates), excluded, policy).Get(); ok {
			return backend, true, true
		}
	}

	// The workers that refused a no-wait attempt have just reported their load, so as many more candidates are compared.
	policy.Choices = balancer.DefaultChoices + s.busy.Len()
	backend, ok = f.Balancer.Pick(now, candidates, s.tried, policy).Get()

	return backend, false, ok
}

// sameDataCentre returns the candidates in the node's own data centre.
func (f *Forwarder) sameDataCentre(candidates []balancer.Candidate) []balancer.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return c.Backend().DataCentre() != f.DataCentre })
}

// onlyWorker returns the candidate for a worker as the only element, or no element if the worker is not a candidate.
func onlyWorker(candidates []balancer.Candidate, w tiller.Worker) []balancer.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool { return c.Backend().Worker() != w })
}
