package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/google/uuid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
)

// call is one call of a caller.
type call struct {
	route    tiller.Route
	settings compiler.Effective
	table    *Table
	request  *request
	attempts *retrier.Call
}

// request is what travels to a gate.
type request struct {
	method     string
	target     string
	header     http.Header
	body       []byte
	route      string
	class      tiller.Class
	atMostOnce bool
	deadline   tiller.Millis
	key        string
	attempt    string
	cause      string
	chainLeft  int
	strikes    int
	// digest identifies the request across resends.
	digest quarantiner.Digest
}

const defaultChainRetries = 2

func (f *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	c, err := f.newCall(w, r)
	if err != nil {
		f.refuse(w, err)

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), (c.request.deadline - f.Clock.Now()).Duration())
	defer cancel()

	answer, err := f.attempt(ctx, c)
	if err != nil {
		f.refuse(w, err.WithRetries(c.attempts.Spent()))

		return
	}

	f.served.Inc(1)

	h := stripHop(answer.header)
	h.Set(HeaderHome, string(f.DataCentre))
	h.Set(HeaderVersion, c.table.Version().String())
	h.Set(HeaderCause, c.request.cause)
	setInt(h, HeaderRetriesSpent, int64(c.attempts.Spent()))
	(&Answer{status: answer.status, header: h, body: answer.body}).write(w)
}

func (f *Forwarder) refuse(w http.ResponseWriter, err *tiller.CallError) {
	f.refused.Inc(1)
	f.noteShed(err)

	a := refusalAnswer(err)
	a.header.Set(HeaderHome, string(f.DataCentre))
	a.write(w)
}

func notRun(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail)
}

func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request) (*call, *tiller.CallError) {
	table := f.Table.Load()
	if table == nil {
		return nil, notRun(tiller.ReasonNotReady, "the node has no configuration yet").WithRetryAfter(tiller.Second)
	}

	route, ok := table.Match(r.Method, r.URL.Path)
	if !ok || (route.Internal() && !f.fromWorker(r)) {
		return nil, notRun(tiller.ReasonNoRoute, "no route for "+r.Method+" "+r.URL.Path)
	}

	key := r.Header.Get(HeaderKey)
	if route.AtMostOnce() && key == "" {
		return nil, notRun(tiller.ReasonKeyMissing, "this call needs the header "+HeaderKey+": "+string(f.DataCentre)+".<UUID version 7>")
	}

	settings := table.Settings(route.Service())

	body, err := readBody(w, r, settings.Value(tiller.SettingMaxRequestBytes))
	if err != nil {
		return nil, err
	}

	c := &call{route: route, settings: settings, table: table, request: f.newRequest(r, route, settings, key, body)}
	c.attempts = retrier.NewCall(route.Idempotent(), int(settings.Value(tiller.SettingAttempts)), c.request.chainLeft, f.Budget)

	return c, nil
}

func (f *Forwarder) newRequest(r *http.Request, route tiller.Route, settings compiler.Effective, key string, body []byte) *request {
	cause := r.Header.Get(HeaderCause)
	if cause == "" {
		cause = uuid.NewString()
	}

	return &request{
		method: r.Method, target: r.URL.RequestURI(), header: stripHop(r.Header), body: body, route: route.Name(),
		class: route.Class(), atMostOnce: route.AtMostOnce(), key: key, cause: cause,
		chainLeft: int(max(0, min(headerInt(r.Header, HeaderRetriesLeft, defaultChainRetries), defaultChainRetries))),
		deadline:  f.Clock.Now() + timeLimit(r.Header, route, settings),
		digest:    quarantiner.DigestOf(r.Method, r.URL.RequestURI(), key, body),
	}
}

// timeLimit is the shortest of the caller's deadline and the configured time.
func timeLimit(h http.Header, route tiller.Route, settings compiler.Effective) tiller.Millis {
	limit := settings.Millis(tiller.SettingCallTimeoutMs)
	if route.Timeout() > 0 {
		limit = route.Timeout()
	}

	return max(0, min(limit, tiller.Millis(headerInt(h, HeaderDeadline, int64(limit)))))
}

// fromWorker reports whether the caller runs on this node's VM.
func (f *Forwarder) fromWorker(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}

	remoteHost, _, err := net.SplitHostPort(r.RemoteAddr)
	localHost, _, localErr := net.SplitHostPort(local.String())

	return errors.Join(err, localErr) == nil && (remoteHost == localHost || net.ParseIP(remoteHost).IsLoopback())
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *tiller.CallError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}

	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return nil, notRun(tiller.ReasonRequestTooLarge, "the request exceeds max_request_bytes")
	}

	return nil, notRun(tiller.ReasonCancelled, "the request broke off")
}

// attempt tries workers until one answers or no retry is allowed.
func (f *Forwarder) attempt(ctx context.Context, c *call) (*Answer, *tiller.CallError) {
	f.Budget.Save(c.settings.Value(tiller.SettingRetryBudgetPercent))

	tried := tiller.NewSet[tiller.Worker]()

	var last *tiller.CallError

	for {
		backend, ok := f.Balancer.Pick(f.Clock.Now(), c.table.Candidates(c.route.Service()), tried, policyOf(c.settings)).Get()
		if !ok {
			return nil, noWorker(c, last)
		}

		tried.Add(backend.Worker())
		c.attempts.Begin()

		answer, err := f.attemptAt(ctx, c, backend)
		if err == nil {
			return answer, nil
		}

		last = moreSevere(last, err)
		if ctx.Err() != nil || !c.attempts.Retry(err) {
			return nil, last
		}

		f.retried.Inc(1)
		f.Recorder.Record(tiller.NewEvent(tiller.EventRetried, err.Error(),
			tiller.WithCause(string(backend.Worker())), tiller.WithKey(c.request.cause)))

		c.table = f.Table.Load()
	}
}

// moreSevere keeps the verdict that some attempt may have run.
func moreSevere(last, err *tiller.CallError) *tiller.CallError {
	if last != nil && last.Verdict() == tiller.VerdictMayHaveRun && err.Verdict() == tiller.VerdictNotRun {
		detail := err.Detail() + "; an earlier attempt may have run"

		return tiller.NewCallError(tiller.VerdictMayHaveRun, err.Reason(), detail).WithRetryAfter(err.RetryAfter())
	}

	return err
}

func noWorker(c *call, last *tiller.CallError) *tiller.CallError {
	if last != nil {
		return last
	}

	return notRun(tiller.ReasonNoBackend, "no backend server of "+string(c.route.Service())+" is known and ready").WithRetryAfter(tiller.Second)
}

func (f *Forwarder) attemptAt(ctx context.Context, c *call, backend tiller.Backend) (*Answer, *tiller.CallError) {
	q := *c.request
	q.attempt = uuid.NewString()
	q.chainLeft = c.attempts.ChainLeft()
	q.strikes = f.Register.Count(q.digest)

	answer, err := f.send(ctx, &q, backend, c.settings.Value(tiller.SettingMaxAnswerBytes))
	f.Balancer.Done(f.Clock.Now(), backend.Worker(), err, policyOf(c.settings))

	if err != nil {
		c.attempts.Charge(err.Retries())
		f.Register.Raise(f.Clock.Now(), q.digest, q.route, err.Strikes())
	} else {
		c.attempts.Charge(retriesSpent(answer.header))
		answer.header.Del(HeaderRetriesSpent)
	}

	return answer, err
}

// send hands the attempt to the gate of the chosen worker.
func (f *Forwarder) send(ctx context.Context, q *request, backend tiller.Backend, limit int64) (*Answer, *tiller.CallError) {
	if backend.Worker() == f.Name {
		return f.admit(ctx, q)
	}

	answer, failed := f.Hops.do(ctx, exchange{
		method: q.method, url: "http://" + string(backend.CallAddress()) + q.target, to: backend.CallAddress(),
		header: q.hopHeader(f.Clock.Now()), body: q.body, limit: limit,
	})
	if failed != nil {
		return nil, failed.err
	}

	f.Balancer.Report(f.Clock.Now(), backend.Worker(), int(headerInt(answer.header, HeaderLoad, 0)), int(headerInt(answer.header, HeaderLimit, 1)))

	return f.checkHop(q, answer)
}

// checkHop makes sure that the answer is whole and belongs to this attempt.
func (f *Forwarder) checkHop(q *request, a *Answer) (*Answer, *tiller.CallError) {
	if a.header.Get(HeaderAttempt) != q.attempt {
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "the answer belongs to another attempt")
	}

	if headerInt(a.header, HeaderLength, -1) != int64(len(a.body)) {
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer between nodes is not whole")
	}

	if a.header.Get(HeaderReason) != "" {
		return nil, refusalOf(a)
	}

	return a, nil
}

func (q *request) hopHeader(now tiller.Millis) http.Header {
	h := q.header.Clone()
	h.Set(HeaderAttempt, q.attempt)
	h.Set(HeaderClass, q.class.String())
	h.Set(HeaderRoute, q.route)
	h.Set(HeaderCause, q.cause)
	setInt(h, HeaderDeadline, int64(max(q.deadline-now, 0)))
	setInt(h, HeaderRetriesLeft, int64(q.chainLeft))

	if q.strikes > 0 {
		setInt(h, HeaderStrikes, int64(q.strikes))
	}

	if q.atMostOnce {
		h.Set(HeaderAtMostOnce, "true")
	}

	return h
}
