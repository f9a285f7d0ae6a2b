package forwarder

import (
	"cmp"
	"net"
	"net/http"

	"github.com/google/uuid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
)

// call is one call of a caller with its route, settings and attempts.
type call struct {
	route    tiller.Route
	settings compiler.Effective
	table    *Table
	request  *request
	attempts *retrier.Call
	// attemptedAt is when the latest attempt began.
	attemptedAt tiller.Millis
	// busyWorkers is the number of no-wait attempts that found no free slot.
	busyWorkers int
}

// defaultChainRetries is the number of retries of a chain whose caller states none, and the largest number that is accepted.
const defaultChainRetries = 2

// newCall reads a call and matches its route. If the call is refused, it is returned with the fields known so far.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request) (*call, *tiller.CallError) {
	terms := f.Dialect.Terms(r.Header)
	q := f.newRequest(r, terms)
	c := &call{request: q, table: f.Table.Load()}

	if c.table == nil {
		return c, notRun(tiller.ReasonNotReady, "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}

	route, ok := c.table.Match(r.Host, r.Method, rawPath(q.target))
	if !ok || (route.Internal() && !f.fromLocalVM(r)) {
		return c, notRun(tiller.ReasonNoRoute, "no route for "+r.Method+" "+r.Host+rawPath(q.target))
	}

	if route.AtMostOnce() && terms.Key() == "" {
		return c, notRun(tiller.ReasonKeyMissing, "this call needs the header "+HeaderKey+": "+string(f.DataCentre)+".<UUID version 7>")
	}

	f.applyRoute(c, route, terms)

	left := q.deadline - f.Clock.Now()
	if left <= 0 {
		return c, notRun(tiller.ReasonDeadline, "no time is left for the call")
	}

	body, err := readPayload(w, r, left, c.settings.Value(tiller.SettingMaxRequestBytes))
	if err != nil {
		return c, err
	}

	q.body = body
	q.digest = f.digestOf(q)

	return c, nil
}

// notReadyRetryAfter is the retry delay advised while the node has no configuration. A running configuration source sends it one within
// about a second.
const notReadyRetryAfter = tiller.Second

// applyRoute sets what the route and the settings of its service specify.
func (f *Forwarder) applyRoute(c *call, route tiller.Route, terms tiller.CallTerms) {
	q := c.request
	now := f.Clock.Now()

	c.route = route
	q.service = f.Splitter.Pick(route)
	c.settings = c.table.Settings(q.service)
	q.route, q.priority, q.idempotent, q.atMostOnce = route.Name(), route.Priority(), route.Idempotent(), route.AtMostOnce()
	q.deadline = now + timeLimit(terms, route, c.settings)
	q.softDeadline = f.softDeadline(route, terms, now)

	attempts := int(c.settings.Value(tiller.SettingAttempts))
	if route.MaxAttempts() > 0 {
		attempts = route.MaxAttempts()
	}

	c.attempts = retrier.NewCall(route.Idempotent(), attempts, q.retriesLeft, func() bool {
		return f.Budget.Consume(f.Clock.Now(), q.service, c.settings.Value(tiller.SettingRetryBudgetPercent))
	})
}

// newRequest returns a request with the fields known before routing.
func (f *Forwarder) newRequest(r *http.Request, terms tiller.CallTerms) *request {
	cause := cmp.Or(terms.Cause(), terms.ID())
	if cause == "" {
		cause = uuid.NewString()
	}

	return &request{
		method: r.Method, target: rawTarget(r), host: r.Host, header: endToEnd(r.Header), id: terms.ID(), key: terms.Key(),
		cause: cause, arrivedAt: f.Clock.Now(), origin: f.Service,
		retriesLeft: max(0, min(terms.RetriesLeft().OrElse(defaultChainRetries), defaultChainRetries)),
	}
}

const (
	// answerMargin is the longest time reserved for returning the answer before the caller's deadline: several round trips to callers in
	// the region. A caller that times out closes its connection, which fails all requests pipelined on it.
	answerMargin tiller.Millis = 25
	// answerMarginDivisor limits the margin to a 40th of the time left, so that calls along a chain keep most of their time.
	answerMarginDivisor = 40
)

// timeLimit returns the time for a call: the shorter of the caller's deadline, less the margin for the answer, and the configured timeout.
func timeLimit(terms tiller.CallTerms, route tiller.Route, settings compiler.Effective) tiller.Millis {
	limit := settings.Millis(tiller.SettingCallTimeoutMs)
	if route.Timeout() > 0 {
		limit = route.Timeout()
	}

	if left, stated := terms.TimeLeft().Get(); stated {
		limit = min(limit, left-min(answerMargin, left/answerMarginDivisor))
	}

	return max(0, limit)
}

// softDeadline returns the time until which an answer has its full value, zero for routes without a target latency. Time that the caller
// spent on earlier attempts is subtracted: all callers of a route start with the same deadline, so this time is the difference between the
// longest deadline seen on the route and that of this call.
func (f *Forwarder) softDeadline(route tiller.Route, terms tiller.CallTerms, now tiller.Millis) tiller.Millis {
	if route.TargetLatency() == 0 {
		return 0
	}

	left, stated := terms.TimeLeft().Get()
	if !stated {
		return now + route.TargetLatency()
	}

	return max(now+route.TargetLatency()-(f.maxWaits.observe(now, route.Name(), left)-left), 1)
}

// fromLocalVM reports whether the caller runs on this node's VM.
func (f *Forwarder) fromLocalVM(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)

	return ok && acceptor.SameVM(r.RemoteAddr, local.String())
}
