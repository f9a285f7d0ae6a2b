// Package balancer chooses the worker for an attempt: the one with the lowest expected latency among a few random candidates (power
// of two choices). It prefers the local data centre, slow-starts cold workers and ejects a bounded share of failing ones.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = tiller.Second
	// minUnreachableBackoff is how long a worker is excluded after its node did not answer; it doubles up to maxUnreachableBackoff.
	minUnreachableBackoff = tiller.Second
	maxUnreachableBackoff = 8 * tiller.Second
	// unresponsiveAfter, in milliseconds, plus unresponsiveLatencies times its mean latency is how long a worker with requests in
	// flight may return no answer. After that its cost is multiplied by unresponsivePenalty, so that requests go to other workers.
	unresponsiveAfter     = 400
	unresponsiveLatencies = 4
	unresponsivePenalty   = 8
	// minSlowStartShare is the fraction of its capacity that a worker has at the beginning of the slow start.
	minSlowStartShare = 0.1
	percent           = 100
	// remotePenalty is the factor by which the cost of a worker in another data centre must be lower, because traffic between data
	// centres is expensive.
	remotePenalty = 1.3
	// contentionSlowdown is the fraction by which a full worker is slower than an idle one.
	contentionSlowdown = 0.3
	// failurePenalty is the relative increase of a worker's cost per unit of its failure rate above toleratedFailureRate.
	failurePenalty = 4
	// failureWeight is the number of requests that the moving average of the failure rate spans.
	failureWeight = 16
	// toleratedFailureRate is the failure rate up to which a worker has no penalty.
	toleratedFailureRate = 0.2
	// failureHalfLife is the half-life of the failure rate in milliseconds, so that a worker which recovers is tried again.
	failureHalfLife = 4000.0
	// meanLatencyWeight is the number of load reports that the mean latency over all workers spans.
	meanLatencyWeight = 64
	// overheadWeight is the number of requests that the mean overhead of a hop spans.
	overheadWeight = 32
	// untriedLatencyShare is the fraction of the mean latency that is assumed of a warm worker which has not reported its own. With the mean
	// itself, a worker that joins beside faster ones would get no request at low load, and its latency would stay unknown.
	untriedLatencyShare = 0.5
	// defaultMeanLatency is assumed before any worker has reported a mean latency, in milliseconds.
	defaultMeanLatency = 100
	// DefaultChoices is the number of candidates that are compared unless the policy specifies another.
	DefaultChoices = 2
	// coldCapacityShare is the fraction of its usual capacity that a server has while it reports that it is cold.
	coldCapacityShare = 0.5
	// maxColdRemaining is the longest plausible remaining cold time; a longer one means that the clock of the server's node is ahead.
	maxColdRemaining = tiller.Minute
)

// Policy holds the balancing settings of a service at this node.
type Policy struct {
	// SlowStart is the time over which a worker that became ready reaches its full share of traffic.
	SlowStart tiller.Millis
	// EjectAfterFailures is the number of consecutive failures after which a worker is ejected for the time EjectFor.
	EjectAfterFailures int
	EjectFor           tiller.Millis
	// MaxEjectedPercent is the largest percentage of the candidates that may be ejected at a time.
	MaxEjectedPercent int
	// Choices is the number of candidates that are compared, zero for the default.
	Choices int
	// LatencyTarget is the expected latency up to which a local worker is used even if a remote one would be faster, zero if unknown.
	LatencyTarget tiller.Millis
}

// Candidate is a worker with its share of traffic.
type Candidate struct {
	backend tiller.Backend
	share   float64
}

// NewCandidate returns a candidate that gets the given percentage of a worker's usual traffic.
func NewCandidate(b tiller.Backend, trafficPercent int64) Candidate {
	return Candidate{backend: b, share: float64(trafficPercent) / percent}
}

// Backend returns the worker's backend server.
func (c Candidate) Backend() tiller.Backend { return c.backend }

// Balancer chooses workers by the load, latency and failures that this node has observed. It is safe for concurrent use.
type Balancer struct {
	mu           sync.Mutex
	dataCentre   tiller.DataCentre
	random       *rand.Rand
	observations map[tiller.Worker]*observation
	// meanLatency is the mean over the workers that report theirs, in milliseconds.
	meanLatency float64
	// hopOverhead is the moving average of the time that a request to another worker takes in addition to its queue and its server, in
	// milliseconds.
	hopOverhead float64
}

// New returns a balancer for a node in the given data centre.
func New(dc tiller.DataCentre, random *rand.Rand) *Balancer {
	return &Balancer{dataCentre: dc, random: random, observations: map[tiller.Worker]*observation{}}
}

// Pick returns the worker for the next attempt and counts the attempt as in flight until RecordOutcome. It returns none if no candidate may be
// used. Workers in tried are excluded.
func (b *Balancer) Pick(now tiller.Millis, candidates []Candidate, tried tiller.Set[tiller.Worker], p Policy) tiller.Option[tiller.Backend] {
	b.mu.Lock()
	defer b.mu.Unlock()

	local, remote := b.usable(now, candidates, tried, p)

	localChoice, localCost := b.cheapest(now, local, p)
	remoteChoice, remoteCost := b.cheapest(now, remote, p)

	withinTarget := localCost <= float64(p.LatencyTarget)
	if len(local) == 0 || (len(remote) > 0 && !withinTarget && remoteCost*remotePenalty < localCost) {
		return b.assign(now, remoteChoice)
	}

	return b.assign(now, localChoice)
}

// PickWithinTarget returns a local worker that is expected to answer within the latency target and whose failure rate is tolerable, none
// otherwise.
func (b *Balancer) PickWithinTarget(now tiller.Millis, candidates []Candidate, p Policy) tiller.Option[tiller.Backend] {
	b.mu.Lock()
	defer b.mu.Unlock()

	local, _ := b.usable(now, candidates, tiller.NewSet[tiller.Worker](), p)
	local = slices.DeleteFunc(local, func(c Candidate) bool {
		return b.observationOf(c.backend.Worker()).currentFailureRate(now) > toleratedFailureRate
	})

	choice, cost := b.cheapest(now, local, p)
	if cost > float64(p.LatencyTarget) {
		return tiller.None[tiller.Backend]()
	}

	return b.assign(now, choice)
}

// usable returns the candidates that may get requests, split by locality. Ejected workers are excluded up to MaxEjectedPercent.
func (b *Balancer) usable(now tiller.Millis, candidates []Candidate, tried tiller.Set[tiller.Worker], p Policy) (local, remote []Candidate) {
	ejectable := len(candidates) * p.MaxEjectedPercent / percent

	for _, c := range candidates {
		o := b.observationOf(c.backend.Worker())
		if !c.backend.Ready() || c.share <= 0 || tried.Has(c.backend.Worker()) || now < o.unreachableUntil {
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

	return preferUnsuspected(local), preferUnsuspected(remote)
}

// preferUnsuspected excludes workers whose VM is suspected, unless no others are left.
func preferUnsuspected(candidates []Candidate) []Candidate {
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

// cheapest returns the candidate of lowest cost among a few chosen at random, and its cost.
func (b *Balancer) cheapest(now tiller.Millis, candidates []Candidate, p Policy) (tiller.Option[tiller.Backend], float64) {
	if len(candidates) == 0 {
		return tiller.None[tiller.Backend](), 0
	}

	b.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	best, cost := candidates[0], b.cost(now, candidates[0], p)

	for _, c := range candidates[1:min(cmp.Or(p.Choices, DefaultChoices), len(candidates))] {
		if other := b.cost(now, c, p); other < cost {
			best, cost = c, other
		}
	}

	return tiller.Some(best.backend), cost
}

// cost estimates the latency of a request at a worker in milliseconds, including the wait for a slot and the retries after failures.
func (b *Balancer) cost(now tiller.Millis, c Candidate, p Policy) float64 {
	o := b.observationOf(c.backend.Worker())
	load := o.inFlight
	capacity := max(c.backend.Slots(), 1)
	meanLatency := b.meanLatency

	if now < o.loadAt+loadMaxAge {
		load = max(load, o.load.requests+o.sentSinceReport)
		capacity = max(min(capacity, o.load.limit), 1)
	}

	if meanLatency == 0 {
		meanLatency = defaultMeanLatency
	}

	warmShare := capacityShare(now, c, p)

	switch {
	case o.load.meanLatency > 0:
		meanLatency = float64(o.load.meanLatency)
	case warmShare == 1:
		meanLatency *= untriedLatencyShare
	}

	used := float64(load+1) / (float64(capacity+1) * c.share * warmShare)

	cost := meanLatency * (1 + contentionSlowdown*min(used, 1) + max(used-1, 0)) *
		(1 + failurePenalty*max(o.currentFailureRate(now)-toleratedFailureRate, 0))
	if o.inFlight > 0 && float64(now-o.noResponseSince) > unresponsiveAfter+unresponsiveLatencies*meanLatency {
		cost *= unresponsivePenalty
	}

	return cost
}

// capacityShare returns the fraction of its capacity that a worker can use, less than one while it is cold. If the server does not
// report its cold time, the share grows linearly over the slow start; a ready time ahead of this node's clock counts as long ago.
func capacityShare(now tiller.Millis, c Candidate, p Policy) float64 {
	// A server that reports its instance also reports how long it stays cold.
	if c.backend.Instance() != "" {
		left := c.backend.ColdUntil() - now
		if left > 0 && left < maxColdRemaining {
			return coldCapacityShare
		}

		return 1
	}

	since := c.backend.ReadySince()
	if p.SlowStart <= 0 || now >= since+p.SlowStart || now < since {
		return 1
	}

	return max(float64(now-since)/float64(p.SlowStart), minSlowStartShare)
}

func (b *Balancer) observationOf(w tiller.Worker) *observation {
	o := b.observations[w]
	if o == nil {
		o = &observation{}
		b.observations[w] = o
	}

	return o
}

// assign counts an attempt as in flight at the chosen worker.
func (b *Balancer) assign(now tiller.Millis, choice tiller.Option[tiller.Backend]) tiller.Option[tiller.Backend] {
	if backend, ok := choice.Get(); ok {
		o := b.observations[backend.Worker()]
		if o.inFlight == 0 {
			o.noResponseSince = now
		}

		o.inFlight++
		o.sentSinceReport++
	}

	return choice
}
