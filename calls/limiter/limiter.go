// Package limiter decides which requests may run on one backend server: it holds the server's slots, adapts when the stated
// slots mislead, and keeps a bounded queue by priority and time left. It answers overload: what cannot be answered in time is
// refused at once, so that the slots go to requests whose answers still have their full worth.
package limiter

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// serviceTimeWeight and paceWeight are how many requests the moving averages span.
	serviceTimeWeight = 8
	paceWeight        = 64
	probeEvery        = 16
	minLimit          = 1
	maxKinds          = 256
	// spread allows for requests that take longer than the mean of their kind.
	spread = 1.3
	// unknownShare is the part of its target latency that a request is expected to take before any of its kind has ended.
	unknownShare = 0.4
	// lateShare is the part of the time left that a request may wait once it cannot be answered in time any more.
	lateShare = 0.15
)

// Options bound the queue.
type Options struct {
	Slots int
	// Connections is how many connections the server takes; each running request holds one. Zero means no bound.
	Connections  int
	QueueLength  int
	QueueTimeout tiller.Millis
}

// Core holds the slots of one backend server. It is not safe for concurrent use.
type Core struct {
	options   Options
	limit     int
	successes int
	inFlight  int
	queue     []*Ticket
	// serviceTime is the moving average over all requests, pace a slower one to compare servers by.
	serviceTime float64
	pace        float64
	kinds       map[string]float64
	sizer       sizer
	shed        int64
}

// New returns a core with all slots free.
func New(options Options) *Core {
	c := &Core{kinds: map[string]float64{}}
	c.Configure(options)

	return c
}

// Configure changes the bounds; requests that run or wait stay.
func (c *Core) Configure(options Options) {
	if options.Connections > 0 {
		options.Slots = min(options.Slots, options.Connections)
	}

	if options.Slots != c.options.Slots {
		c.limit = options.Slots
	}

	c.options = options
}

const maxDeadline = 10 * tiller.Minute

// Acquire asks for a slot. The grant function is called once, now or later, with nil or with a refusal that is not run.
func (c *Core) Acquire(now tiller.Millis, d Demand, grant func(*tiller.CallError)) *Ticket {
	d.deadline = min(d.deadline, now+maxDeadline)
	t := &Ticket{demand: d, queued: now, grant: grant}

	switch {
	case c.options.Slots == 0:
		grant(refusal(tiller.ReasonNoBackend, "the worker has no slots"))
	case c.Free():
		c.start(now, t)
	case d.noWait:
		grant(refusal(tiller.ReasonNoSlot, "no slot is free now"))
	default:
		c.admit(now, t)
	}

	return t
}

func refusal(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail).WithUntried()
}

func (c *Core) refuse(t *Ticket, reason tiller.Reason, detail string) {
	c.shed++

	t.grant(refusal(reason, detail).WithRetryAfter(tiller.Millis(c.serviceTime) + c.backlog()))
}

func (c *Core) start(now tiller.Millis, t *Ticket) {
	c.inFlight++
	t.started = now
	t.crowd = c.inFlight
	t.grant(nil)
}

// expected returns how long a request takes once it has a slot. Before the first of its kind has ended, its target tells.
func (c *Core) expected(t *Ticket) float64 {
	if known, ok := c.kinds[t.demand.kind]; ok {
		return known
	}

	if t.demand.aim > t.queued {
		return unknownShare * float64(t.demand.aim-t.queued)
	}

	return c.serviceTime
}

// startBy returns the latest start for an answer in time; requests without an aim keep the order of their arrival.
func (c *Core) startBy(t *Ticket) tiller.Millis {
	if t.demand.aim == 0 {
		return t.queued
	}

	return t.demand.aim - tiller.Millis(spread*c.expected(t))
}

// typical returns how long a request takes, by those that wait where none has ended yet.
func (c *Core) typical() float64 {
	if c.serviceTime > 0 || len(c.queue) == 0 {
		return c.serviceTime
	}

	return c.expected(c.queue[0])
}

// wait estimates the time until a slot is free after the given work in milliseconds.
func (c *Core) wait(work float64) tiller.Millis {
	slots := float64(max(c.limit, minLimit))

	return tiller.Millis(c.typical()/(slots+1) + work/slots)
}

// backlog estimates the time until everything that waits has started.
func (c *Core) backlog() tiller.Millis {
	work := 0.0
	for _, t := range c.queue {
		work += c.expected(t)
	}

	return c.wait(work)
}

// admit queues a request if it can be answered in time, or soon after; otherwise it refuses at once.
func (c *Core) admit(now tiller.Millis, t *Ticket) {
	wait := c.wait(c.workBefore(t))

	if t.demand.aim > 0 && now+wait > c.startBy(t) {
		t.late = true
		wait = c.wait(c.workBefore(t))
	}

	took := tiller.Millis(c.expected(t))
	patience := t.demand.deadline - now

	if t.late {
		patience = tiller.Millis(lateShare * float64(patience-took))
	} else {
		patience -= took
	}

	if wait > patience {
		c.refuse(t, tiller.ReasonOverload, "the queue is too long for the time left")

		return
	}

	c.enqueue(t)
}

// Wait estimates how long a request would wait for a slot.
func (c *Core) Wait(now tiller.Millis, d Demand) tiller.Millis {
	if c.Free() {
		return 0
	}

	return c.wait(c.workBefore(&Ticket{demand: d, queued: now}))
}

// workBefore returns the expected work of the requests that would run before one, in milliseconds.
func (c *Core) workBefore(t *Ticket) float64 {
	work := 0.0

	for _, o := range c.queue {
		if o.before(t, c.startBy) <= 0 {
			work += c.expected(o)
		}
	}

	return work
}

// enqueue inserts a request in its order; a full queue drops the last one.
func (c *Core) enqueue(t *Ticket) {
	i := slices.IndexFunc(c.queue, func(o *Ticket) bool { return o.before(t, c.startBy) > 0 })
	if i < 0 {
		i = len(c.queue)
	}

	c.queue = slices.Insert(c.queue, i, t)

	if len(c.queue) > c.options.QueueLength {
		last := c.queue[len(c.queue)-1]
		c.queue = c.queue[:len(c.queue)-1]
		c.refuse(last, tiller.ReasonOverload, "the queue is full")
	}
}

// Outcome tells how a request ended on the backend server.
type Outcome int

// The outcomes that the limit adapts to.
const (
	// OutcomeServed means that the server answered.
	OutcomeServed Outcome = iota
	// OutcomeShed means that the server refused the request for lack of capacity.
	OutcomeShed
	// OutcomeFailed means that the server gave no answer.
	OutcomeFailed
)

// Release returns a slot and starts waiting requests.
func (c *Core) Release(now tiller.Millis, t *Ticket, outcome Outcome) {
	c.inFlight--
	c.adapt(now, t, outcome)
	c.Tick(now)
}

// adapt learns how long requests take, lowers the limit when the server sheds for being full, and probes upwards after
// successes.
func (c *Core) adapt(now tiller.Millis, t *Ticket, outcome Outcome) {
	before := c.limit
	c.limit = min(c.sizer.note(now, outcome == OutcomeShed, t.crowd >= c.limit, c.limit, c.options.Slots), c.options.Slots)

	if outcome != OutcomeServed || c.limit != before {
		c.successes = 0
	}

	if outcome != OutcomeServed {
		return
	}

	c.learn(t.demand.kind, float64(max(now-t.started, 1)))

	c.successes++

	if c.successes >= probeEvery && c.limit < c.options.Slots && !c.sizer.trying {
		c.limit++
		c.successes = 0
	}

	if c.limit == c.options.Slots {
		c.sizer.grown()
	}
}

func (c *Core) learn(kind string, took float64) {
	c.serviceTime = average(c.serviceTime, took, serviceTimeWeight)
	c.pace = average(c.pace, took, paceWeight)

	if _, known := c.kinds[kind]; known || len(c.kinds) < maxKinds {
		c.kinds[kind] = average(c.kinds[kind], took, serviceTimeWeight)
	}
}

// average moves a mean towards a sample; the first sample is taken as it is.
func average(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}

	return mean + (sample-mean)/weight
}

// Tick refuses requests that waited too long and starts others on free slots.
func (c *Core) Tick(now tiller.Millis) {
	for c.order(now); c.inFlight < c.limit && len(c.queue) > 0; {
		t := c.queue[0]
		c.queue = c.queue[1:]
		c.start(now, t)
	}
}

// order drops the waiting requests that can no longer be served and sorts the others.
func (c *Core) order(now tiller.Millis) {
	if len(c.queue) == 0 {
		return
	}

	for _, t := range c.queue {
		t.late = t.late || (t.demand.aim > 0 && now > c.startBy(t))
	}

	slices.SortStableFunc(c.queue, func(a, b *Ticket) int { return a.before(b, c.startBy) })

	var expired []*Ticket

	c.queue = slices.DeleteFunc(c.queue, func(t *Ticket) bool {
		if c.expired(now, t) {
			expired = append(expired, t)

			return true
		}

		return false
	})

	for _, t := range expired {
		c.refuse(t, tiller.ReasonDeadline, "no slot became free in time")
	}
}

func (c *Core) expired(now tiller.Millis, t *Ticket) bool {
	patience := t.demand.deadline - t.queued
	if t.late {
		patience = tiller.Millis(lateShare * float64(patience))
	}

	return now+tiller.Millis(c.expected(t)/2) >= t.demand.deadline || now >= t.queued+min(patience, c.options.QueueTimeout)
}

// Cancel withdraws a waiting request and reports whether it was still waiting.
func (c *Core) Cancel(t *Ticket) bool {
	i := slices.Index(c.queue, t)
	if i < 0 {
		return false
	}

	c.queue = slices.Delete(c.queue, i, i+1)

	return true
}

// RefuseAll refuses every waiting request.
func (c *Core) RefuseAll(reason tiller.Reason, detail string) {
	waiting := c.queue
	c.queue = nil

	for _, t := range waiting {
		c.refuse(t, reason, detail)
	}
}

// Free reports whether a request would get a slot at once.
func (c *Core) Free() bool { return c.inFlight < c.limit && len(c.queue) == 0 }

// InFlight returns the number of requests that hold a slot.
func (c *Core) InFlight() int { return c.inFlight }

// Waiting returns the number of requests in the queue.
func (c *Core) Waiting() int { return len(c.queue) }

// Limit returns the number of requests that may run at once.
func (c *Core) Limit() int { return c.limit }

// Shed returns how many requests were refused.
func (c *Core) Shed() int64 { return c.shed }

// Pace returns how long requests take on this server, averaged over the last few dozen; zero before the first.
func (c *Core) Pace() tiller.Millis { return tiller.Millis(c.pace) }
