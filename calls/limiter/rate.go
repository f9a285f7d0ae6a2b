package limiter

import (
	"math"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// rateBurstSeconds is how many seconds of its rate a server may get at once after a pause, at least one request.
	rateBurstSeconds = 0.25
	// minRate is the rate at which a server that states a lower one is still sent requests: only their answers tell that the limit has ended.
	minRate tiller.Rate = 0.25
	// maxRate is the rate from which on requests are not held back, more than a VM can carry.
	maxRate tiller.Rate = 1e6
)

// RateStatement is what an answer says about the request rate that the backend server accepts.
type RateStatement struct {
	// Start identifies the start of the server that answered, empty if unknown.
	Start string
	// SentAt is when the request was sent.
	SentAt tiller.Millis
	// Rate is the stated rate, none if the answer states none.
	Rate tiller.Option[tiller.Rate]
	// Silent is set if an answer without a rate means that the server states none any more. An answer that is damaged does not.
	Silent bool
}

// rateLimit is a token bucket that keeps the requests started on a server within the rate that the server states.
type rateLimit struct {
	start string
	// known is set once an answer of this start, or a peer, has told whether a limit is in force.
	known      bool
	limited    bool
	rate       tiller.Rate
	statedAt   tiller.Millis
	tokens     float64
	refilledAt tiller.Millis
}

// observe applies a statement of the server and reports whether the limit has changed. An answer without a rate ends the limit only if its
// request was sent after the rate was last stated, since answers may overtake each other.
func (l *rateLimit) observe(now tiller.Millis, s RateStatement) bool {
	changed := l.begin(s.Start)

	if rate, ok := s.Rate.Get(); ok {
		l.known, l.statedAt = true, now

		return l.set(now, rate) || changed
	}

	if !s.Silent {
		return changed
	}

	l.known = true

	if l.limited && s.SentAt > l.statedAt {
		l.limited = false

		return true
	}

	return changed
}

// begin forgets the limit of an earlier start of the server and reports whether there was one.
func (l *rateLimit) begin(start string) bool {
	if start == l.start {
		return false
	}

	ended := l.limited
	*l = rateLimit{start: start}

	return ended
}

// set puts a rate in force and reports whether it has changed. The bucket of a new limit is empty.
func (l *rateLimit) set(now tiller.Millis, rate tiller.Rate) bool {
	rate = max(rate, minRate)

	if l.limited == (rate < maxRate) && (!l.limited || l.rate == rate) {
		return false
	}

	if !l.limited {
		l.tokens, l.refilledAt = 0, now
	}

	l.refill(now)
	l.limited, l.rate = rate < maxRate, rate
	l.tokens = min(l.tokens, l.burst())

	return true
}

func (l *rateLimit) burst() float64 { return max(1, float64(l.rate)*rateBurstSeconds) }

func (l *rateLimit) refill(now tiller.Millis) {
	if l.limited && now > l.refilledAt {
		l.tokens = min(l.burst(), l.tokens+float64(l.rate)*float64(now-l.refilledAt)/float64(tiller.Second))
	}

	l.refilledAt = now
}

// available reports whether a request may start now.
func (l *rateLimit) available(now tiller.Millis) bool {
	l.refill(now)

	return !l.limited || l.tokens >= 1
}

// take counts the start of a request.
func (l *rateLimit) take(now tiller.Millis) {
	l.refill(now)

	if l.limited {
		l.tokens--
	}
}

// wait returns the time until the n-th request from now may start.
func (l *rateLimit) wait(now tiller.Millis, n int) tiller.Millis {
	l.refill(now)

	if !l.limited {
		return 0
	}

	return tiller.Millis(math.Ceil(max(float64(n)-l.tokens, 0) / float64(l.rate) * float64(tiller.Second)))
}

// concurrency returns how many requests of the given mean latency run at once at this rate, at least one and at most limit.
func (l *rateLimit) concurrency(limit int, meanLatency float64) int {
	if !l.limited || meanLatency == 0 {
		return limit
	}

	return max(min(limit, int(math.Ceil(min(float64(l.rate)*meanLatency/float64(tiller.Second), float64(limit))))), 1)
}

// ObserveRate applies what an answer states about the accepted rate and reports whether the limit has changed.
func (c *Core) ObserveRate(now tiller.Millis, s RateStatement) bool {
	changed := c.rate.observe(now, s)
	c.Tick(now)

	return changed
}

// LearnRate applies a rate that a peer was told by the given start of the server, unless an answer has told more since this process began.
func (c *Core) LearnRate(now tiller.Millis, start string, rate tiller.Rate) bool {
	c.rate.begin(start)

	if c.rate.known {
		return false
	}

	c.rate.known, c.rate.statedAt = true, now

	return c.rate.set(now, rate)
}

// BeginStart ends the limit that an earlier start of the server has stated, and reports whether there was one.
func (c *Core) BeginStart(start string) bool { return c.rate.begin(start) }

// Rate returns the rate limit in force, none if requests are not held back.
func (c *Core) Rate() tiller.Option[tiller.Rate] {
	if !c.rate.limited {
		return tiller.None[tiller.Rate]()
	}

	return tiller.Some(c.rate.rate)
}

// NextStart returns when the first waiting request may start if only the rate holds it back, none otherwise.
func (c *Core) NextStart(now tiller.Millis) tiller.Option[tiller.Millis] {
	if len(c.queue) == 0 || c.inFlight >= c.limit || !c.rate.limited {
		return tiller.None[tiller.Millis]()
	}

	return tiller.Some(now + c.rate.wait(now, 1))
}
