// Package limiter implements admission control for one backend server: it owns the server's slots, adapts the concurrency limit
// when the declared number of slots is wrong, and keeps a bounded queue ordered by priority and remaining time. Under overload it
// sheds load: requests that cannot be answered in time are refused immediately, so that the slots go to requests whose answers
// still have their full value.
package limiter

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// serviceTimeWeight and meanLatencyWeight are the number of requests that the moving averages span.
	serviceTimeWeight = 8
	meanLatencyWeight = 64
	// probeAfterSuccesses is the number of consecutive successes after which the limit grows by one.
	probeAfterSuccesses = 16
	minLimit            = 1
	// maxTrackedKinds bounds the number of kinds whose latency is averaged separately.
	maxTrackedKinds = 256
	// latencyMargin is a factor on the mean latency of a kind, for requests that take longer than the mean.
	latencyMargin = 1.3
	// unknownLatencyShare is the fraction of its latency target that a request is expected to take before any request of its kind has ended.
	unknownLatencyShare = 0.4
	// lateWaitShare is the fraction of its remaining time that a request may wait if it cannot meet its soft deadline.
	lateWaitShare = 0.15
)

// Options configure the slots and the queue of a server.
type Options struct {
	Slots int
	// Connections is the number of connections that the server accepts; each running request uses one. Zero means no limit.
	Connections  int
	QueueLength  int
	QueueTimeout tiller.Millis
}

// Core manages the slots and the queue of one backend server. It is not safe for concurrent use.
type Core struct {
	options   Options
	limit     int
	successes int
	inFlight  int
	queue     []*Ticket
	// serviceTime is a moving average over the last requests in milliseconds; meanLatency spans more of them and is used to compare servers.
	serviceTime   float64
	meanLatency   float64
	latencyByKind map[string]float64
	trial         limitTrial
	rate          rateLimit
	shed          int64
}

// NewCore returns a core with all slots free.
func NewCore(options Options) *Core {
	c := &Core{latencyByKind: map[string]float64{}}
	c.Configure(options)

	return c
}

// Configure changes the options; running and waiting requests are kept.
func (c *Core) Configure(options Options) {
	if options.Connections > 0 {
		options.Slots = min(options.Slots, options.Connections)
	}

	if options.Slots != c.options.Slots {
		c.limit = options.Slots
	}

	c.options = options
}

// maxDeadline bounds the time until the deadline of a request.
const maxDeadline = 10 * tiller.Minute

// Acquire asks for a slot. It calls notify exactly once, immediately or later: with nil if the slot is granted, else with the refusal.
func (c *Core) Acquire(now tiller.Millis, d Demand, notify func(*tiller.CallError)) *Ticket {
	d.deadline = min(d.deadline, now+maxDeadline)
	t := &Ticket{demand: d, queuedAt: now, notify: notify}

	switch {
	case c.options.Slots == 0:
		notify(refusal(tiller.ReasonNoBackend, "the worker has no slots"))
	case c.HasFreeSlot(now):
		c.start(now, t)
	case d.noWait:
		notify(refusal(tiller.ReasonNoSlot, "no slot is free now"))
	default:
		c.admit(now, t)
	}

	return t
}

func refusal(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail).WithUntried()
}

func (c *Core) refuse(now tiller.Millis, t *Ticket, reason tiller.Reason, detail string) {
	c.shed++

	t.notify(refusal(reason, detail).WithRetryAfter(c.retryAfter(now)))
}

func (c *Core) start(now tiller.Millis, t *Ticket) {
	c.inFlight++
	c.rate.take(now)
	t.startedAt = now
	t.concurrency = c.inFlight
	t.notify(nil)
}

// expectedLatency returns how long a request is expected to run once it has a slot, in milliseconds. Before the first request of its
// kind has ended, this is a fraction of the latency target, the time between arrival and soft deadline.
func (c *Core) expectedLatency(t *Ticket) float64 {
	if known, ok := c.latencyByKind[t.demand.kind]; ok {
		return known
	}

	if t.demand.softDeadline > t.queuedAt {
		return unknownLatencyShare * float64(t.demand.softDeadline-t.queuedAt)
	}

	return c.serviceTime
}

// latestStart returns the latest start that meets the soft deadline; requests without one keep the order of their arrival.
func (c *Core) latestStart(t *Ticket) tiller.Millis {
	if t.demand.softDeadline == 0 {
		return t.queuedAt
	}

	return t.demand.softDeadline - tiller.Millis(latencyMargin*c.expectedLatency(t))
}

// typicalLatency returns how long a request runs in milliseconds, estimated from the queue if none has ended yet.
func (c *Core) typicalLatency() float64 {
	if c.serviceTime > 0 || len(c.queue) == 0 {
		return c.serviceTime
	}

	return c.expectedLatency(c.queue[0])
}

// waitAfter estimates the time until a slot is free once the given work, in milliseconds, is done.
func (c *Core) waitAfter(work float64) tiller.Millis {
	slots := float64(max(c.limit, minLimit))

	return tiller.Millis(c.typicalLatency()/(slots+1) + work/slots)
}

// retryAfter estimates the time after which a refused request would find a free slot: the waiting ones have started then, and the rate that
// the server accepts has room for one more.
func (c *Core) retryAfter(now tiller.Millis) tiller.Millis {
	work := 0.0
	for _, t := range c.queue {
		work += c.expectedLatency(t)
	}

	return max(tiller.Millis(c.serviceTime)+c.waitAfter(work), c.rate.wait(now, len(c.queue)+1))
}

// waitFor estimates how long a request would wait in the queue.
func (c *Core) waitFor(now tiller.Millis, t *Ticket) tiller.Millis {
	requests, work := c.ahead(t)

	return max(c.waitAfter(work), c.rate.wait(now, requests+1))
}

// admit queues a request if it can meet its soft deadline or be late by little, and refuses it immediately otherwise.
func (c *Core) admit(now tiller.Millis, t *Ticket) {
	wait := c.waitFor(now, t)

	if t.demand.softDeadline > 0 && now+wait > c.latestStart(t) {
		t.late = true
		wait = c.waitFor(now, t)
	}

	expected := tiller.Millis(c.expectedLatency(t))
	maxWait := t.demand.deadline - now

	if t.late {
		maxWait = tiller.Millis(lateWaitShare * float64(maxWait-expected))
	} else {
		maxWait -= expected
	}

	if wait > maxWait {
		c.refuse(now, t, tiller.ReasonOverload, "the queue is too long for the time left")

		return
	}

	c.enqueue(now, t)
}

// EstimateWait estimates how long a request would wait for a slot.
func (c *Core) EstimateWait(now tiller.Millis, d Demand) tiller.Millis {
	if c.HasFreeSlot(now) {
		return 0
	}

	return c.waitFor(now, &Ticket{demand: d, queuedAt: now})
}

// ahead returns the number of queued requests that would run before t, and their expected work in milliseconds.
func (c *Core) ahead(t *Ticket) (requests int, work float64) {
	for _, o := range c.queue {
		if o.before(t, c.latestStart) <= 0 {
			requests++
			work += c.expectedLatency(o)
		}
	}

	return requests, work
}

// enqueue inserts a request at its position; if the queue is full, the last one is refused.
func (c *Core) enqueue(now tiller.Millis, t *Ticket) {
	i := slices.IndexFunc(c.queue, func(o *Ticket) bool { return o.before(t, c.latestStart) > 0 })
	if i < 0 {
		i = len(c.queue)
	}

	c.queue = slices.Insert(c.queue, i, t)

	if len(c.queue) > c.options.QueueLength {
		last := c.queue[len(c.queue)-1]
		c.queue = c.queue[:len(c.queue)-1]
		c.refuse(now, last, tiller.ReasonOverload, "the queue is full")
	}
}

// Outcome is how a request ended on the backend server.
type Outcome int

// Outcomes that the concurrency limit adapts to.
const (
	// OutcomeServed means that the server answered.
	OutcomeServed Outcome = iota
	// OutcomeShed means that the server refused the request for lack of capacity.
	OutcomeShed
	// OutcomeFailed means that the server gave no answer.
	OutcomeFailed
)

// Release frees the slot of a ticket, records the outcome and starts waiting requests.
func (c *Core) Release(now tiller.Millis, t *Ticket, outcome Outcome) {
	c.inFlight--
	c.adapt(now, t, outcome)
	c.Tick(now)
}

// adapt records the latency of a request, lowers the limit if the server sheds because it is full, and raises it step by step after
// successes.
func (c *Core) adapt(now tiller.Millis, t *Ticket, outcome Outcome) {
	before := c.limit
	c.limit = min(c.trial.record(now, outcome == OutcomeShed, t.concurrency >= c.limit, c.limit, c.options.Slots), c.options.Slots)

	if outcome != OutcomeServed || c.limit != before {
		c.successes = 0
	}

	if outcome != OutcomeServed {
		return
	}

	c.recordLatency(t.demand.kind, float64(max(now-t.startedAt, 1)))

	c.successes++

	if c.successes >= probeAfterSuccesses && c.limit < c.options.Slots && !c.trial.active {
		c.limit++
		c.successes = 0
	}

	if c.limit == c.options.Slots {
		c.trial.limitRestored()
	}
}

func (c *Core) recordLatency(kind string, took float64) {
	c.serviceTime = movingAverage(c.serviceTime, took, serviceTimeWeight)
	c.meanLatency = movingAverage(c.meanLatency, took, meanLatencyWeight)

	if _, known := c.latencyByKind[kind]; known || len(c.latencyByKind) < maxTrackedKinds {
		c.latencyByKind[kind] = movingAverage(c.latencyByKind[kind], took, serviceTimeWeight)
	}
}

// movingAverage updates an exponential moving average; the first sample becomes the mean.
func movingAverage(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}

	return mean + (sample-mean)/weight
}

// Tick refuses requests that waited too long and starts others on free slots.
func (c *Core) Tick(now tiller.Millis) {
	for c.pruneQueue(now); c.inFlight < c.limit && len(c.queue) > 0 && c.rate.available(now); {
		t := c.queue[0]
		c.queue = c.queue[1:]
		c.start(now, t)
	}
}

// pruneQueue refuses the waiting requests that have expired and sorts the others.
func (c *Core) pruneQueue(now tiller.Millis) {
	if len(c.queue) == 0 {
		return
	}

	for _, t := range c.queue {
		t.late = t.late || (t.demand.softDeadline > 0 && now > c.latestStart(t))
	}

	slices.SortStableFunc(c.queue, func(a, b *Ticket) int { return a.before(b, c.latestStart) })

	var expired []*Ticket

	kept := 0

	c.queue = slices.DeleteFunc(c.queue, func(t *Ticket) bool {
		if c.expired(now, c.rate.wait(now, kept+1), t) {
			expired = append(expired, t)

			return true
		}

		kept++

		return false
	})

	for _, t := range expired {
		c.refuse(now, t, tiller.ReasonDeadline, "no slot became free in time")
	}
}

// expired reports whether a waiting request can no longer be served in time, if the accepted rate lets it start after rateWait at the earliest.
func (c *Core) expired(now, rateWait tiller.Millis, t *Ticket) bool {
	maxWait := t.demand.deadline - t.queuedAt
	if t.late {
		maxWait = tiller.Millis(lateWaitShare * float64(maxWait))
	}

	return now+rateWait+tiller.Millis(c.expectedLatency(t)/2) >= t.demand.deadline || now >= t.queuedAt+min(maxWait, c.options.QueueTimeout)
}

// Cancel removes a request from the queue and reports whether it was still waiting.
func (c *Core) Cancel(t *Ticket) bool {
	i := slices.Index(c.queue, t)
	if i < 0 {
		return false
	}

	c.queue = slices.Delete(c.queue, i, i+1)

	return true
}

// RefuseAll refuses every waiting request.
func (c *Core) RefuseAll(now tiller.Millis, reason tiller.Reason, detail string) {
	waiting := c.queue
	c.queue = nil

	for _, t := range waiting {
		c.refuse(now, t, reason, detail)
	}
}

// HasFreeSlot reports whether a request would get a slot immediately.
func (c *Core) HasFreeSlot(now tiller.Millis) bool {
	return c.inFlight < c.limit && len(c.queue) == 0 && c.rate.available(now)
}

// InFlight returns the number of requests that hold a slot.
func (c *Core) InFlight() int { return c.inFlight }

// Waiting returns the number of requests in the queue.
func (c *Core) Waiting() int { return len(c.queue) }

// Limit returns the number of requests that may run concurrently, fewer if the rate that the server accepts keeps fewer running.
func (c *Core) Limit() int { return c.rate.concurrency(c.limit, c.meanLatency) }

// Shed returns the number of requests that were refused because the queue or the wait was too long, or by RefuseAll.
func (c *Core) Shed() int64 { return c.shed }

// MeanLatency returns the mean latency of requests on this server, a moving average over a few dozen; zero before the first.
func (c *Core) MeanLatency() tiller.Millis { return tiller.Millis(c.meanLatency) }
