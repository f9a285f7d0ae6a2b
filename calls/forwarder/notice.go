package forwarder

import (
	"net/http"
	"sync/atomic"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
)

// observeNotice applies what the backend server states about itself in an answer to a request that was sent at sentAt.
func (f *Forwarder) observeNotice(target Target, sentAt tiller.Millis, status int, h http.Header) {
	// The server may have restarted while it ran the request.
	if f.BackendServer.Target().start != target.start {
		return
	}

	notice := f.Dialect.Notice(h)
	if err := notice.Err(); err != nil {
		f.Log.Info("statement of the backend server ignored", "start", target.start, "error", err.Error())
	}

	now := f.Clock.Now()
	statement := limiter.RateStatement{
		Start: target.start, SentAt: sentAt, Rate: notice.RateLimit(),
		Silent: notice.Err() == nil && f.Dialect.Classify(status, h) == tiller.AnswerServed,
	}

	f.updateRate("the backend server", func(c *limiter.Core) bool { return c.ObserveRate(now, statement) })
}

// updateRate changes the rate limit and records an event if update reports a change. Source names who stated the rate.
func (f *Forwarder) updateRate(source string, update func(c *limiter.Core) bool) {
	var (
		changed bool
		rate    tiller.Option[tiller.Rate]
	)

	f.Limiter.WithCore(func(c *limiter.Core) {
		changed = update(c)
		rate = c.Rate()
	})

	if changed {
		f.rateLimit.Update(float64(rate.OrElse(0)))
		f.recordRateEvent(rate, source)
	}
}

// rateEvents limits the events about changes of a rate.
type rateEvents struct {
	nextAt  atomic.Int64
	limited atomic.Bool
}

// recordRateEvent records the begin and the end of a rate limit, and changes of it at most once a second.
func (f *Forwarder) recordRateEvent(rate tiller.Option[tiller.Rate], source string) {
	value, limited := rate.Get()
	now := f.Clock.Now()

	if f.rateEvents.limited.Swap(limited) == limited && int64(now) < f.rateEvents.nextAt.Load() {
		return
	}

	f.rateEvents.nextAt.Store(int64(now + tiller.Second))

	detail := "no rate limit any more"
	if limited {
		detail = "at most " + value.String() + " requests a second"
	}

	f.Recorder.Record(tiller.NewEvent(tiller.EventRateLimited, detail, tiller.WithCause(source)))
}

// setRateLimit adds a rate limit to the headers of an attempt or its answer, if it is about a known start.
func setRateLimit(h http.Header, l balancer.RateLimit) {
	if l.Start() == "" {
		return
	}

	h.Set(HeaderStart, l.Start())

	if rate, limited := l.Rate().Get(); limited {
		h.Set(HeaderRate, rate.String())
	}
}

// parseRateLimit returns the rate limit in the headers of an attempt or its answer. A rate that cannot be read counts as none.
func parseRateLimit(h http.Header) balancer.RateLimit {
	rate, err := tiller.ParseRate(h[HeaderRate])
	if err != nil {
		rate = tiller.None[tiller.Rate]()
	}

	return balancer.NewRateLimit(h.Get(HeaderStart), rate)
}

// reportRate adds the rate limit of the backend server to the answer to another node. Without a limit the headers are left out, unless the
// other node has stated one.
func (f *Forwarder) reportRate(h http.Header, asked bool) {
	rate := f.Limiter.Rate()

	if _, limited := rate.Get(); limited || asked {
		setRateLimit(h, balancer.NewRateLimit(f.BackendServer.Target().start, rate))
	}
}

// recordRate records the rate limit in the answer of another node.
func (f *Forwarder) recordRate(worker tiller.Worker, h http.Header) {
	if l := parseRateLimit(h); l.Start() != "" {
		f.Balancer.RecordRateLimit(worker, l)
	}
}

// learnRate applies the rate limit that the sender of an attempt knows of this worker's backend server.
func (f *Forwarder) learnRate(h http.Header) {
	l := parseRateLimit(h)
	rate, limited := l.Rate().Get()

	if !limited || l.Start() != f.BackendServer.Target().start {
		return
	}

	now := f.Clock.Now()

	f.updateRate("the sender of an attempt", func(c *limiter.Core) bool { return c.LearnRate(now, l.Start(), rate) })
}
