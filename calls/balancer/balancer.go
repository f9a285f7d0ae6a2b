// Package balancer chooses the worker for an attempt: the cheapest of a few random choices by expected time, near data centres
// first, with slow start for cold workers and bounded ejection of failing ones.
package balancer

import (
	"cmp"
	"math"
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
	// hopWeight is how many requests the mean time of the way to other workers spans.
	hopWeight   = 32
	defaultPace = 100
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

// Balancer remembers what this node saw of each worker. It is safe for concurrent use.
type Balancer struct {
	mu         sync.Mutex
	dataCentre tiller.DataCentre
	random     *rand.Rand
	seen       map[tiller.Worker]*observation
	// pace is the mean over the workers that tell theirs.
	pace float64
	// hop is the moving average of the time that the way to another worker and back takes, in milliseconds.
	hop float64
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

// NoteHop counts the time of a request at another worker without what its gate and its server took.
func (b *Balancer) NoteHop(took tiller.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.hop += (float64(max(took, 0)) - b.hop) / hopWeight
}

// HopTime returns how long the way to another worker and back takes.
func (b *Balancer) HopTime() tiller.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()

	return tiller.Millis(b.hop)
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
