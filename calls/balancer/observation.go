package balancer

import (
	"math"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Load is the load that a worker's limiter reports.
type Load struct {
	requests    int
	limit       int
	meanLatency tiller.Millis
}

// NewLoad returns a load: the number of running and waiting requests, the concurrency limit, and the mean latency, zero if unknown.
func NewLoad(requests, limit int, meanLatency tiller.Millis) Load {
	return Load{requests: requests, limit: limit, meanLatency: meanLatency}
}

// observation is what this node has observed of one worker.
type observation struct {
	inFlight int
	load     Load
	loadAt   tiller.Millis
	// sentSinceReport is the number of requests sent since the load was reported.
	sentSinceReport     int
	failureRate         float64
	failureAt           tiller.Millis
	consecutiveFailures int
	ejectedUntil        tiller.Millis
	unreachableUntil    tiller.Millis
	unreachableBackoff  tiller.Millis
	// server is what the worker's node has reported of its backend server.
	server ServerState
	// noResponseSince is when the last request ended or, if later, when one was sent to the idle worker.
	noResponseSince tiller.Millis
}

// RecordOutcome records the end of an attempt at a worker and reports whether the worker is ejected because of it.
func (b *Balancer) RecordOutcome(now tiller.Millis, w tiller.Worker, err *tiller.CallError, p Policy) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observationOf(w)
	o.inFlight = max(o.inFlight-1, 0)
	o.noResponseSince = now
	o.recordOutcome(now, err)

	switch {
	case err == nil:
		o.consecutiveFailures = 0
		o.unreachableBackoff = 0
	case err.Reason() == tiller.ReasonUnreachable:
		o.unreachableBackoff = min(max(2*o.unreachableBackoff, minUnreachableBackoff), maxUnreachableBackoff)
		o.unreachableUntil = now + o.unreachableBackoff
	case err.Reason() == tiller.ReasonBackendFailed || err.Reason() == tiller.ReasonAnswerTruncated:
		o.consecutiveFailures++

		if o.consecutiveFailures >= p.EjectAfterFailures {
			o.consecutiveFailures = 0
			o.ejectedUntil = now + p.EjectFor

			return true
		}
	}

	return false
}

// recordOutcome updates the failure rate of a worker. A refusal before the backend server was asked does not count.
func (o *observation) recordOutcome(now tiller.Millis, err *tiller.CallError) {
	if err != nil && err.Untried() {
		return
	}

	sample := 0.0
	if err != nil && err.Reason() != tiller.ReasonDraining && err.Reason() != tiller.ReasonCancelled {
		sample = 1
	}

	o.failureRate = o.currentFailureRate(now)
	o.failureRate += (sample - o.failureRate) / failureWeight
	o.failureAt = now
}

// currentFailureRate returns the failure rate with its decay up to now.
func (o *observation) currentFailureRate(now tiller.Millis) float64 {
	return o.failureRate * math.Exp2(-float64(max(now-o.failureAt, 0))/failureHalfLife)
}

// RecordLoad records the load that a worker's limiter has reported.
func (b *Balancer) RecordLoad(now tiller.Millis, w tiller.Worker, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observationOf(w)
	o.load = load
	o.loadAt = now
	o.sentSinceReport = 0

	if load.meanLatency > 0 {
		if b.meanLatency == 0 {
			b.meanLatency = float64(load.meanLatency)
		}

		b.meanLatency += (float64(load.meanLatency) - b.meanLatency) / meanLatencyWeight
	}
}

// RecordHopOverhead records the time that a request to another worker took in addition to its queue and its server.
func (b *Balancer) RecordHopOverhead(overhead tiller.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.hopOverhead += (float64(max(overhead, 0)) - b.hopOverhead) / overheadWeight
}

// HopOverhead returns the mean time that a request to another worker takes in addition to its queue and its server.
func (b *Balancer) HopOverhead() tiller.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()

	return tiller.Millis(b.hopOverhead)
}

// Forget removes the observations of workers that are no longer known and have no request in flight.
func (b *Balancer) Forget(known tiller.Set[tiller.Worker]) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for w, o := range b.observations {
		if !known.Has(w) && o.inFlight == 0 {
			delete(b.observations, w)
		}
	}
}
