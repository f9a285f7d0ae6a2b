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

	kind := f.Dialect.Classify(status, h)
	if notice.Leaving() && kind != tiller.AnswerDamaged {
		f.BackendServer.ReportLeaving(target.start, false)
	}

	now := f.Clock.Now()
	statement := limiter.RateStatement{
		Start: target.start, SentAt: sentAt, Rate: notice.RateLimit(),
		Silent: notice.Err() == nil && kind == tiller.AnswerServed,
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

// setServerState adds the state of a backend server to the headers of an attempt or its answer, if it is about a known start. A state that
// restricts nothing is left out, unless it answers the question of an attempt.
func setServerState(h http.Header, s balancer.ServerState, asked bool) {
	if s.Start() == "" || (!asked && !s.Restricts()) {
		return
	}

	h.Set(HeaderStart, s.Start())

	if rate, limited := s.Rate().Get(); limited {
		h.Set(HeaderRate, rate.String())
	}

	if s.Leaving() {
		h.Set(HeaderLeaving, "true")
	}
}

// parseServerState returns the state in the headers of an attempt or its answer. A rate that cannot be read counts as none.
func parseServerState(h http.Header) balancer.ServerState {
	rate, err := tiller.ParseRate(h[HeaderRate])
	if err != nil {
		rate = tiller.None[tiller.Rate]()
	}

	return balancer.NewServerState(h.Get(HeaderStart), rate, h.Get(HeaderLeaving) != "")
}

// reportServerState adds what the backend server states to the answer to another node. Asked is set if the attempt stated something.
func (f *Forwarder) reportServerState(h http.Header, asked bool) {
	target := f.BackendServer.Target()
	setServerState(h, balancer.NewServerState(target.start, f.Limiter.Rate(), target.leaving()), asked)
}

// recordServerState records what the answer of another node says of its backend server.
func (f *Forwarder) recordServerState(worker tiller.Worker, h http.Header) {
	if s := parseServerState(h); s.Start() != "" {
		f.Balancer.RecordServerState(worker, s)
	}
}

// learnServerState applies what the sender of an attempt knows of this worker's backend server.
func (f *Forwarder) learnServerState(h http.Header) {
	s := parseServerState(h)
	if s.Start() == "" || s.Start() != f.BackendServer.Target().start {
		return
	}

	if s.Leaving() {
		f.BackendServer.ReportLeaving(s.Start(), true)
	}

	if rate, limited := s.Rate().Get(); limited {
		now := f.Clock.Now()

		f.updateRate("the sender of an attempt", func(c *limiter.Core) bool { return c.LearnRate(now, s.Start(), rate) })
	}
}
