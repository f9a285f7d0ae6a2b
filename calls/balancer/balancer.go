// Package balancer chooses the worker for an attempt: nearest data centre first, two random choices by load, slow start
// for cold workers and bounded ejection of failing ones.
package balancer

import (
	"math/rand/v2"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	loadMaxAge       = tiller.Second
	unreachableFor   = tiller.Second
	slowStartFloor   = 0.1
	percent          = 100
	spillUtilisation = 1.0
	// coldShare is the part of its usual load that a server takes while it says that it is slow.
	coldShare = 0.5
	// maxColdLeft tells a cold server from one whose node's clock is ahead.
	maxColdLeft = tiller.Minute
)

// Policy holds the settings of a service at this node.
type Policy struct {
	SlowStart          tiller.Millis
	EjectAfterFailures int
	EjectFor           tiller.Millis
	MaxEjectedPercent  int
}

// Candidate is a worker with its share of traffic.
type Candidate struct {
	backend tiller.Backend
	share   float64
}

// NewCandidate returns a candidate; the traffic percentage scales its load.
func NewCandidate(b tiller.Backend, trafficPercent int64) Candidate {
	return Candidate{backend: b, share: float64(trafficPercent) / percent}
}

// Backend returns the worker's backend server.
func (c Candidate) Backend() tiller.Backend { return c.backend }

type observation struct {
	inFlight      int
	reported      int
	limit         int
	reportedAt    tiller.Millis
	failures      int
	ejectedUntil  tiller.Millis
	unreachableTo tiller.Millis
}

// Balancer remembers what this node saw of each worker. It is safe for concurrent use.
type Balancer struct {
	mu         sync.Mutex
	dataCentre tiller.DataCentre
	random     *rand.Rand
	seen       map[tiller.Worker]*observation
}

// New returns a balancer for a node of the given data centre.
func New(dc tiller.DataCentre, random *rand.Rand) *Balancer {
	return &Balancer{dataCentre: dc, random: random, seen: map[tiller.Worker]*observation{}}
}

// Pick returns the worker for the next attempt, none if no candidate may be used.
func (b *Balancer) Pick(now tiller.Millis, candidates []Candidate, tried tiller.Set[tiller.Worker], p Policy) tiller.Option[tiller.Backend] {
	b.mu.Lock()
	defer b.mu.Unlock()

	local, remote := b.usable(now, candidates, tried, p)

	first, load := b.twoChoices(now, local, p)
	if _, ok := first.Get(); ok && load < spillUtilisation {
		return b.take(first)
	}

	second, otherLoad := b.twoChoices(now, remote, p)
	if _, ok := first.Get(); ok && (otherLoad >= spillUtilisation || len(remote) == 0) {
		return b.take(first)
	}

	return b.take(second)
}

// usable splits the candidates that may take work by locality.
func (b *Balancer) usable(now tiller.Millis, candidates []Candidate, tried tiller.Set[tiller.Worker], p Policy) (local, remote []Candidate) {
	ejectable := len(candidates) * p.MaxEjectedPercent / percent

	for _, c := range candidates {
		o := b.observe(c.backend.Worker())
		if !c.backend.Ready() || c.share <= 0 || tried.Has(c.backend.Worker()) || now < o.unreachableTo {
			continue
		}

		if now < o.ejectedUntil && ejectable > 0 {
			ejectable--

			continue
		}

		if c.backend.DataCentre() == b.dataCentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}

	return preferTrusted(local), preferTrusted(remote)
}

// preferTrusted leaves out workers whose VM is suspected, unless nothing else is left.
func preferTrusted(candidates []Candidate) []Candidate {
	var out []Candidate

	for _, c := range candidates {
		if !c.backend.Suspect() {
			out = append(out, c)
		}
	}

	if len(out) == 0 {
		return candidates
	}

	return out
}

func (b *Balancer) twoChoices(now tiller.Millis, candidates []Candidate, p Policy) (tiller.Option[tiller.Backend], float64) {
	if len(candidates) == 0 {
		return tiller.None[tiller.Backend](), 0
	}

	i := b.random.IntN(len(candidates))
	best, load := candidates[i], b.utilisation(now, candidates[i], p)

	if len(candidates) > 1 {
		j := (i + 1 + b.random.IntN(len(candidates)-1)) % len(candidates)
		if other := b.utilisation(now, candidates[j], p); other < load {
			best, load = candidates[j], other
		}
	}

	return tiller.Some(best.backend), load
}

// utilisation is the worker's load relative to what it may take now.
func (b *Balancer) utilisation(now tiller.Millis, c Candidate, p Policy) float64 {
	o := b.observe(c.backend.Worker())
	load := o.inFlight
	capacity := max(c.backend.Slots(), 1)

	if now < o.reportedAt+loadMaxAge {
		load = max(load, o.reported)
		capacity = max(min(capacity, o.limit), 1)
	}

	return float64(load+1) / (float64(capacity+1) * c.share * warmth(now, c, p))
}

// warmth grows from a small share to one over the slow start. A ready time ahead of this node's clock counts as long ago.
func warmth(now tiller.Millis, c Candidate, p Policy) float64 {
	// A server that names its starts also tells how long it stays slow.
	if c.backend.Instance() != "" {
		left := c.backend.ColdUntil() - now
		if left > 0 && left < maxColdLeft {
			return coldShare
		}

		return 1
	}

	since := c.backend.ReadySince()
	if p.SlowStart <= 0 || now >= since+p.SlowStart || now < since {
		return 1
	}

	return max(float64(now-since)/float64(p.SlowStart), slowStartFloor)
}

func (b *Balancer) observe(w tiller.Worker) *observation {
	o := b.seen[w]
	if o == nil {
		o = &observation{}
		b.seen[w] = o
	}

	return o
}

func (b *Balancer) take(choice tiller.Option[tiller.Backend]) tiller.Option[tiller.Backend] {
	if backend, ok := choice.Get(); ok {
		b.seen[backend.Worker()].inFlight++
	}

	return choice
}

// Done notes the end of an attempt at a worker.
func (b *Balancer) Done(now tiller.Millis, w tiller.Worker, err *tiller.CallError, p Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observe(w)
	o.inFlight = max(o.inFlight-1, 0)

	switch {
	case err == nil:
		o.failures = 0
	case err.Reason() == tiller.ReasonUnreachable:
		o.unreachableTo = now + unreachableFor
	case err.Reason() == tiller.ReasonBackendFailed || err.Reason() == tiller.ReasonAnswerTruncated:
		o.failures++

		if o.failures >= p.EjectAfterFailures {
			o.failures = 0
			o.ejectedUntil = now + p.EjectFor
		}
	}
}

// Report notes the load that a worker's node told with an answer.
func (b *Balancer) Report(now tiller.Millis, w tiller.Worker, load, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	o := b.observe(w)
	o.reported = load
	o.limit = limit
	o.reportedAt = now
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
