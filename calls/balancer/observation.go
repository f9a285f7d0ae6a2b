package balancer

import (
	"math"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Load is what a worker's gate tells of itself.
type Load struct {
	waiting int
	limit   int
	pace    tiller.Millis
}

// NewLoad returns a load of requests that run or wait, the number that may run at once, and how long one takes; a pace of zero
// means that it is not known.
func NewLoad(requests, limit int, pace tiller.Millis) Load {
	return Load{waiting: requests, limit: limit, pace: pace}
}

type observation struct {
	inFlight int
	load     Load
	loadAt   tiller.Millis
	// sent counts the requests sent since the load was told.
	sent          int
	failureRate   float64
	failureAt     tiller.Millis
	failures      int
	ejectedUntil  tiller.Millis
	unreachableTo tiller.Millis
	unreachable   tiller.Millis
	// quietSince is since when requests are in flight and none has ended.
	quietSince tiller.Millis
}

// Done notes the end of an attempt at a worker and reports whether the worker is ejected by it.
func (b *Balancer) Done(now tiller.Millis, w tiller.Worker, err *tiller.CallError, p Policy) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observe(w)
	o.inFlight = max(o.inFlight-1, 0)
	o.quietSince = now
	o.noteFailure(now, err)

	switch {
	case err == nil:
		o.failures = 0
		o.unreachable = 0
	case err.Reason() == tiller.ReasonUnreachable:
		o.unreachable = min(max(2*o.unreachable, unreachableFor), maxUnreachable)
		o.unreachableTo = now + o.unreachable
	case err.Reason() == tiller.ReasonBackendFailed || err.Reason() == tiller.ReasonAnswerTruncated:
		o.failures++

		if o.failures >= p.EjectAfterFailures {
			o.failures = 0
			o.ejectedUntil = now + p.EjectFor

			return true
		}
	}

	return false
}

// noteFailure averages how often a worker fails; a gate that asked no server says nothing about it.
func (o *observation) noteFailure(now tiller.Millis, err *tiller.CallError) {
	if err != nil && err.Untried() {
		return
	}

	sample := 0.0
	if err != nil && err.Reason() != tiller.ReasonDraining && err.Reason() != tiller.ReasonCancelled {
		sample = 1
	}

	o.failureRate = o.failing(now)
	o.failureRate += (sample - o.failureRate) / failureWeight
	o.failureAt = now
}

// failing returns the failure rate now.
func (o *observation) failing(now tiller.Millis) float64 {
	return o.failureRate * math.Exp2(-float64(max(now-o.failureAt, 0))/failureHalfLife)
}

// Report notes the load that a worker's gate told.
func (b *Balancer) Report(now tiller.Millis, w tiller.Worker, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observe(w)
	o.load = load
	o.loadAt = now
	o.sent = 0

	if load.pace > 0 {
		if b.pace == 0 {
			b.pace = float64(load.pace)
		}

		b.pace += (float64(load.pace) - b.pace) / paceWeight
	}
}

// NoteOverhead counts the time of a request at another worker less what its gate and its server took, in milliseconds.
func (b *Balancer) NoteOverhead(took tiller.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.overhead += (float64(max(took, 0)) - b.overhead) / overheadWeight
}

// HopOverhead returns the mean time that a request at another worker takes beside its gate and its server, in milliseconds.
func (b *Balancer) HopOverhead() tiller.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()

	return tiller.Millis(b.overhead)
}

// Forget drops what was seen of workers that are no longer known.
func (b *Balancer) Forget(known tiller.Set[tiller.Worker]) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for w, o := range b.seen {
		if !known.Has(w) && o.inFlight == 0 {
			delete(b.seen, w)
		}
	}
}
