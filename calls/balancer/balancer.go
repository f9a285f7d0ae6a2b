// Package balancer chooses the worker for an attempt: the cheapest of a few random choices by expected time, near data centres
// first, with slow start for cold workers and bounded ejection of failing ones.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	loadMaxAge = tiller.Second
	// unreachableFor is how long a worker is left out after its node did not answer; it doubles up to maxUnreachable.
	unreachableFor = tiller.Second
	maxUnreachable = 8 * tiller.Second
	// silence is how long all requests at a worker may stay without an answer, beside four times its pace, before it is left to
	// others.
	silence        = 400
	silencePaces   = 4
	silentPenalty  = 8
	slowStartFloor = 0.1
	percent        = 100
	// remotePenalty is by how much a worker of another data centre must be cheaper, for the bytes that cross.
	remotePenalty = 1.3
	// crowding is by how much a full worker is slower than an idle one.
	crowding = 0.3
	// failurePenalty is by how many times a worker that always fails is dearer.
	failurePenalty = 4
	failureWeight  = 16
	// tolerated is the failure rate that says nothing yet.
	tolerated = 0.2
	// failureHalfLife is how fast failures are forgotten, in milliseconds, so that a worker which recovers is tried again.
	failureHalfLife = 4000.0
	paceWeight      = 64
	// overheadWeight is how many requests the mean overhead of a hop spans.
	overheadWeight = 32
	defaultPace    = 100
	// Choices is how many candidates are compared unless a policy says otherwise.
	Choices = 2
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
	// Choices is how many candidates are compared, zero for the default.
	Choices int
	// Comfort is the expected time up to which a near worker is good enough, zero if unknown.
	Comfort tiller.Millis
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

// Balancer remembers what this node saw of each worker. It is safe for concurrent use.
type Balancer struct {
	mu         sync.Mutex
	dataCentre tiller.DataCentre
	random     *rand.Rand
	seen       map[tiller.Worker]*observation
	// pace is the mean over the workers that tell theirs.
	pace float64
	// overhead is the moving average of what a request at another worker takes beside its gate and its server, in milliseconds.
	overhead float64
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

	near, nearCost := b.cheapest(now, local, p)
	far, farCost := b.cheapest(now, remote, p)

	comfortable := nearCost <= float64(p.Comfort)
	if len(local) == 0 || (len(remote) > 0 && !comfortable && farCost*remotePenalty < nearCost) {
		return b.take(now, far)
	}

	return b.take(now, near)
}

// PickComfortable returns a near worker that has not failed lately and is expected to answer while the answer has its full worth, none
// otherwise.
func (b *Balancer) PickComfortable(now tiller.Millis, candidates []Candidate, p Policy) tiller.Option[tiller.Backend] {
	b.mu.Lock()
	defer b.mu.Unlock()

	near, _ := b.usable(now, candidates, tiller.NewSet[tiller.Worker](), p)
	near = slices.DeleteFunc(near, func(c Candidate) bool { return b.observe(c.backend.Worker()).failing(now) > tolerated })

	choice, cost := b.cheapest(now, near, p)
	if cost > float64(p.Comfort) {
		return tiller.None[tiller.Backend]()
	}

	return b.take(now, choice)
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

// cheapest returns the cheapest of a few candidates chosen at random, with its cost.
func (b *Balancer) cheapest(now tiller.Millis, candidates []Candidate, p Policy) (tiller.Option[tiller.Backend], float64) {
	if len(candidates) == 0 {
		return tiller.None[tiller.Backend](), 0
	}

	b.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	best, cost := candidates[0], b.cost(now, candidates[0], p)

	for _, c := range candidates[1:min(cmp.Or(p.Choices, Choices), len(candidates))] {
		if other := b.cost(now, c, p); other < cost {
			best, cost = c, other
		}
	}

	return tiller.Some(best.backend), cost
}

// cost estimates how long a request would take at a worker in milliseconds: a full worker makes it wait, and one that fails
// makes it come back.
func (b *Balancer) cost(now tiller.Millis, c Candidate, p Policy) float64 {
	o := b.observe(c.backend.Worker())
	load := o.inFlight
	capacity := max(c.backend.Slots(), 1)
	pace := b.pace

	if now < o.loadAt+loadMaxAge {
		load = max(load, o.load.waiting+o.sent)
		capacity = max(min(capacity, o.load.limit), 1)
	}

	if o.load.pace > 0 {
		pace = float64(o.load.pace)
	}

	if pace == 0 {
		pace = defaultPace
	}

	used := float64(load+1) / (float64(capacity+1) * c.share * warmth(now, c, p))

	cost := pace * (1 + crowding*min(used, 1) + max(used-1, 0)) * (1 + failurePenalty*max(o.failing(now)-tolerated, 0))
	if o.inFlight > 0 && float64(now-o.quietSince) > silence+silencePaces*pace {
		cost *= silentPenalty
	}

	return cost
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

func (b *Balancer) take(now tiller.Millis, choice tiller.Option[tiller.Backend]) tiller.Option[tiller.Backend] {
	if backend, ok := choice.Get(); ok {
		o := b.seen[backend.Worker()]
		if o.inFlight == 0 {
			o.quietSince = now
		}

		o.inFlight++
		o.sent++
	}

	return choice
}
