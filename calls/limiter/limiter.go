// Package limiter decides which requests may run on one backend server: it holds the server's slots, adapts when the
// stated slots mislead, and keeps a bounded queue by priority and deadline.
package limiter

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	serviceTimeWeight = 8
	probeEvery        = 16
	minLimit          = 1
)

// Ticket is a request that holds or awaits a slot.
type Ticket struct {
	priority int
	deadline tiller.Millis
	queued   tiller.Millis
	started  tiller.Millis
	grant    func(*tiller.CallError)
}

// Options bound the queue.
type Options struct {
	Slots        int
	QueueLength  int
	QueueTimeout tiller.Millis
}

// Core holds the slots of one backend server. It is not safe for concurrent use.
type Core struct {
	options     Options
	limit       int
	successes   int
	inFlight    int
	queue       []*Ticket
	serviceTime tiller.Millis
	shed        int64
}

// New returns a core with all slots free.
func New(options Options) *Core {
	c := &Core{}
	c.Configure(options)

	return c
}

// Configure changes the bounds; requests that run or wait stay.
func (c *Core) Configure(options Options) {
	if options.Slots != c.options.Slots {
		c.limit = options.Slots
	}

	c.options = options
}

// Acquire asks for a slot. The grant function is called once, now or later, with nil or with a refusal that is not run.
func (c *Core) Acquire(now tiller.Millis, priority int, deadline tiller.Millis, grant func(*tiller.CallError)) *Ticket {
	t := &Ticket{priority: priority, deadline: min(deadline, now+maxDeadline), queued: now, grant: grant}

	switch {
	case c.options.Slots == 0:
		grant(refusal(tiller.ReasonNoBackend, "the worker has no slots"))
	case c.inFlight < c.limit && !c.awaitsBefore(priority):
		c.start(now, t)
	case now+c.expectedWait(priority)+c.serviceTime > t.deadline:
		c.refuse(t, tiller.ReasonOverload, "the queue is too long for the deadline")
	default:
		c.enqueue(t)
	}

	return t
}

const maxDeadline = 10 * tiller.Minute

func refusal(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail)
}

func (c *Core) refuse(t *Ticket, reason tiller.Reason, detail string) {
	c.shed++

	t.grant(refusal(reason, detail).WithRetryAfter(c.serviceTime + c.expectedWait(t.priority)))
}

func (c *Core) start(now tiller.Millis, t *Ticket) {
	c.inFlight++
	t.started = now
	t.grant(nil)
}

func (c *Core) awaitsBefore(priority int) bool {
	return len(c.queue) > 0 && c.queue[0].priority <= priority
}

// expectedWait estimates the time until a request of the priority would get a slot.
func (c *Core) expectedWait(priority int) tiller.Millis {
	ahead := 0

	for _, t := range c.queue {
		if t.priority <= priority {
			ahead++
		}
	}

	return c.serviceTime * tiller.Millis(ahead) / tiller.Millis(max(c.limit, minLimit))
}

// enqueue inserts by priority; a full queue drops the newest request of the last priority.
func (c *Core) enqueue(t *Ticket) {
	i := slices.IndexFunc(c.queue, func(o *Ticket) bool { return o.priority > t.priority })
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
	c.adapt(now-t.started, outcome)
	c.Tick(now)
}

// adapt lowers the limit when the server sheds below its stated slots, and probes upwards after successes.
func (c *Core) adapt(took tiller.Millis, outcome Outcome) {
	switch outcome {
	case OutcomeServed:
		c.serviceTime += (took - c.serviceTime) / serviceTimeWeight
		if c.serviceTime == 0 && took > 0 {
			c.serviceTime = 1
		}

		c.successes++

		if c.successes >= probeEvery && c.limit < c.options.Slots {
			c.limit++
			c.successes = 0
		}
	case OutcomeShed:
		c.limit = max(c.limit-1, minLimit)
		c.successes = 0
	case OutcomeFailed:
		c.successes = 0
	}
}

// Tick refuses requests that waited too long and starts others on free slots.
func (c *Core) Tick(now tiller.Millis) {
	expired := func(t *Ticket) bool {
		return now+c.serviceTime/2 >= t.deadline || now >= t.queued+c.options.QueueTimeout
	}

	var late []*Ticket

	c.queue = slices.DeleteFunc(c.queue, func(t *Ticket) bool {
		if expired(t) {
			late = append(late, t)
		}

		return expired(t)
	})

	for _, t := range late {
		c.refuse(t, tiller.ReasonDeadline, "no slot became free in time")
	}

	for c.inFlight < c.limit && len(c.queue) > 0 {
		t := c.queue[0]
		c.queue = c.queue[1:]
		c.start(now, t)
	}
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

// InFlight returns the number of requests that hold a slot.
func (c *Core) InFlight() int { return c.inFlight }

// Waiting returns the number of requests in the queue.
func (c *Core) Waiting() int { return len(c.queue) }

// Limit returns the number of requests that may run at once.
func (c *Core) Limit() int { return c.limit }

// Shed returns how many requests were refused.
func (c *Core) Shed() int64 { return c.shed }
