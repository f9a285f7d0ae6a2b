package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// serveCaller sends a call to a worker and passes the answer on to the caller.
func (f *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	c, err := f.newCall(w, r)
	if err != nil {
		f.refuse(w, c, err)

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), (c.request.deadline - f.Clock.Now()).Duration())
	defer cancel()

	// Callers resend a pipelined request if the answer to an earlier one closes the connection, so one that is not idempotent may run only
	// after the answers in front of it.
	if !c.route.Idempotent() && acceptor.AwaitPrecedingResponses(ctx) != nil {
		f.refuse(w, c, notRun(tiller.ReasonCancelled, "the answers in front of the request took too long"))

		return
	}

	// An answer to a caller on this VM does not use the VM's link.
	if err := f.checkLink(c.request); err != nil && !f.fromLocalVM(r) {
		f.refuse(w, c, err)

		return
	}

	answer, err := f.tryWorkers(ctx, c)
	if err != nil {
		f.refuse(w, c, err.WithRetries(c.attempts.Retries()))

		return
	}

	f.served.Inc(1)
	f.log.served(c, answer)

	served := tiller.NewServedBy(
		tiller.VerdictRan, answer.worker, c.table.Version(), f.DataCentre, c.request.cause, c.attempts.Retries(), answer.replayed,
	)
	answer.header = endToEnd(answer.header)
	f.Dialect.SetServedBy(answer.header, served)
	writeAndClose(w, answer)
}

// refuse answers a call that is not served.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, err *tiller.CallError) {
	f.refused.Inc(1)
	f.stages.refused(err)
	f.recordShed(err)
	f.log.refused(c, err)

	r := f.Dialect.FormatRefusal(err, f.DataCentre)
	completeAnswer(r.Status(), r.Header(), r.Body()).write(w)
}

func notRun(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail)
}

// tryWorkers tries workers until one answers or no retry is allowed.
func (f *Forwarder) tryWorkers(ctx context.Context, c *call) (*Answer, *tiller.CallError) {
	f.Budget.RecordCall(f.Clock.Now(), c.request.service)

	search := newSearch(c, f.freeShare.shouldTryNoWait())

	var last *tiller.CallError

	for {
		if err := f.checkStop(c.request); err != nil {
			return nil, moreSevere(last, err)
		}

		backend, noWait, ok := f.pickWorker(c, search)
		if !ok {
			return nil, noWorker(c, last)
		}

		c.attempts.Begin()
		c.attemptedAt = f.Clock.Now()

		answer, err := f.attemptOn(ctx, c, backend, noWait)
		if noWait && backend.Worker() != f.Name {
			f.freeShare.record(err == nil || err.Reason() != tiller.ReasonNoSlot)
		}

		if err == nil {
			return answer, nil
		}

		if noWait && err.Reason() == tiller.ReasonNoSlot && ctx.Err() == nil {
			search.markBusy(backend.Worker())
			c.attempts.Undo()
			c.busyWorkers++

			continue
		}

		search.markTried(backend.Worker())

		last = moreSevere(last, err)
		if ctx.Err() != nil || !c.request.body.resendable() || !c.attempts.AllowRetry(err) {
			return nil, last
		}

		f.retried.Inc(1)
		f.log.retried(c, backend, err)
		f.Recorder.Record(tiller.NewEvent(tiller.EventRetried, err.Error(),
			tiller.WithCause(string(backend.Worker())), tiller.WithKey(c.request.cause)))

		c.table = f.Table.Load()
	}
}

// latencyTargetShare is the share of the time left until the soft deadline within which a worker in the node's own data centre is good
// enough. Traffic between data centres costs more than the few answers that this makes late.
const latencyTargetShare = 0.7

// placementPolicy returns the balancer's policy for the next attempt of a call.
func (f *Forwarder) placementPolicy(c *call) balancer.Policy {
	p := policyOf(c.settings)
	if c.request.softDeadline > 0 {
		p.LatencyTarget = tiller.Millis(latencyTargetShare * float64(c.request.softDeadline-f.Clock.Now()))
	}

	return p
}

// moreSevere returns err, the error of the latest attempt. If that attempt did not run but an earlier one may have run (last), the
// returned error has the verdict that the call may have run.
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

	return notRun(tiller.ReasonNoBackend, "no backend server of "+string(c.request.service)+" is known and ready").WithRetryAfter(tiller.Second)
}

func (f *Forwarder) attemptOn(ctx context.Context, c *call, backend tiller.Backend, noWait bool) (*Answer, *tiller.CallError) {
	q := *c.request
	q.noWait = noWait
	q.attempt = newAttempt()
	q.retriesLeft = c.attempts.RetriesLeft()
	q.strikes = f.CrashRecords.Strikes(q.digest)

	answer, err := f.send(ctx, &q, backend, c.settings.Value(tiller.SettingMaxAnswerBytes))
	if policy := policyOf(c.settings); f.Balancer.RecordOutcome(f.Clock.Now(), backend.Worker(), err, policy) {
		f.log.ejected(c, backend, policy.EjectFor)
		f.Recorder.Record(tiller.NewEvent(tiller.EventEjected, err.Error(), tiller.WithCause(string(backend.Worker())), tiller.WithKey(c.request.cause)))
	}

	if err != nil {
		c.attempts.Charge(err.Retries())
		f.CrashRecords.RaiseStrikes(f.Clock.Now(), q.digest, q.route, err.Strikes())
	} else {
		c.attempts.Charge(retriesSpent(answer.header))
	}

	return answer, err
}

// attemptBase is the base in which attempt ids are formatted, which keeps them short.
const attemptBase = 36

// newAttempt returns a random id for an attempt, unique on its connection.
func newAttempt() string { return strconv.FormatUint(rand.Uint64(), attemptBase) }

// send passes the attempt to the inbound proxy of the chosen worker and returns its answer.
func (f *Forwarder) send(ctx context.Context, q *request, backend tiller.Backend, limit int64) (*Answer, *tiller.CallError) {
	if backend.Worker() == f.Name {
		return f.admit(ctx, q)
	}

	began := f.Clock.Now()
	header := q.hopHeader(began, backend, f.returnMargin(q, began))
	setServerState(header, f.Balancer.ServerState(backend.Worker()), false)

	done := measure(f.stages.hop)
	x, failed := f.NodeExchanger.Do(ctx, exchanger.Request{
		To: backend.CallAddress(), Method: q.method, Target: q.target, Host: q.host, Header: header,
		Prefix: q.body.buffered, Rest: q.takeRest(), Length: q.body.length, AckTimeout: ackTimeout(q, began),
	})

	done()

	if failed != nil {
		return nil, callFailure(ctx, failed)
	}

	answer, err := readAnswer(x, limit)
	if err != nil {
		return nil, err
	}

	h := answer.header
	f.Balancer.RecordLoad(f.Clock.Now(), backend.Worker(), balancer.NewLoad(
		int(headerInt(h, HeaderLoad, 0)), int(headerInt(h, HeaderLimit, 1)), tiller.Millis(headerInt(h, HeaderMeanLatency, 0))))

	f.recordServerState(backend.Worker(), h)

	answer, err = f.checkHop(q, answer, backend.Worker())
	if err == nil && answer.ran > 0 {
		f.Balancer.RecordHopOverhead(f.Clock.Now() - began - answer.queued - answer.ran)
	}

	return answer, err
}

// ackTimeout returns how long the VM of a worker may be silent, zero for the default. A request that cannot be sent again waits for it until its
// deadline: the answer may still come.
func ackTimeout(q *request, now tiller.Millis) time.Duration {
	if q.idempotent {
		return 0
	}

	return max(q.deadline-now, 0).Duration()
}

// takeRest returns the unread part of a body that can be sent only once and marks it as consumed; nil if there is none.
func (q *request) takeRest() io.Reader {
	if q.body.rest == nil {
		return nil
	}

	q.body.consumed = true

	return q.body.rest
}

// checkHop verifies that the answer of another node is complete and belongs to this attempt.
func (f *Forwarder) checkHop(q *request, a *Answer, worker tiller.Worker) (*Answer, *tiller.CallError) {
	if a.header.Get(HeaderAttempt) != q.attempt {
		a.close()

		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "the answer belongs to another attempt")
	}

	if a.rest == nil && headerInt(a.header, HeaderLength, -1) != int64(len(a.body)) {
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer between nodes is not whole")
	}

	if a.header.Get(HeaderReason) != "" {
		return nil, parseRefusal(a)
	}

	a.replayed = a.header.Get(HeaderReplayed) != ""
	if !a.replayed {
		a.worker = worker
	}

	a.queued, a.ran = tiller.Millis(headerInt(a.header, HeaderQueue, 0)), tiller.Millis(headerInt(a.header, HeaderRun, 0))

	return a, nil
}

// maxReturnMarginShare bounds the part of the time left that is reserved for the way back.
const maxReturnMarginShare = 0.1

// returnMargin returns the time before the deadline at which the other node must have answered, so that its refusal arrives while this node
// still waits: a request whose refusal is missed may have run, and a caller cannot send it again.
func (f *Forwarder) returnMargin(q *request, now tiller.Millis) tiller.Millis {
	return max(min(f.Balancer.HopOverhead(), tiller.Millis(maxReturnMarginShare*float64(q.deadline-now))), 0)
}

func (q *request) hopHeader(now tiller.Millis, to tiller.Backend, margin tiller.Millis) http.Header {
	h := q.header.Clone()
	h.Set(HeaderAttempt, q.attempt)
	h.Set(HeaderTo, string(to.Worker()))
	h.Set(HeaderService, string(q.service))
	h.Set(HeaderOrigin, string(q.origin))
	h.Set(HeaderRoute, q.route)
	setInt(h, HeaderPriority, int64(q.priority))
	setInt(h, HeaderDeadline, int64(max(q.deadline-margin-now, 0)))

	// Values that the other node assumes by default are left out, since every header counts on narrow links.
	if q.cause != q.id {
		h.Set(HeaderCause, q.cause)
	}

	if q.retriesLeft != defaultChainRetries {
		setInt(h, HeaderRetriesLeft, int64(q.retriesLeft))
	}

	if q.softDeadline > 0 {
		setInt(h, HeaderSoftDeadline, int64(q.softDeadline-now))
	}

	if q.strikes > 0 {
		setInt(h, HeaderStrikes, int64(q.strikes))
	}

	if q.atMostOnce {
		h.Set(HeaderAtMostOnce, "true")
	}

	if q.noWait {
		h.Set(HeaderNoWait, "true")
	}

	return h
}
