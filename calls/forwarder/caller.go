package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// serveCaller routes a call of a caller to a worker and passes the answer on.
func (f *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	c, err := f.newCall(w, r)
	if err != nil {
		f.refuse(w, c, err)

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), (c.request.deadline - f.Clock.Now()).Duration())
	defer cancel()

	// A caller sends a pipelined request again when an answer in front of it closes the connection.
	if !c.route.Idempotent() && acceptor.AwaitTurn(ctx) != nil {
		f.refuse(w, c, notRun(tiller.ReasonCancelled, "the answers in front of the request took too long"))

		return
	}

	// An answer to a caller on this VM passes no link.
	if err := f.linkFull(c.request); err != nil && !f.fromWorker(r) {
		f.refuse(w, c, err)

		return
	}

	answer, err := f.attempt(ctx, c)
	if err != nil {
		f.refuse(w, c, err.WithRetries(c.attempts.Spent()))

		return
	}

	f.served.Inc(1)
	f.log.served(c, answer)

	served := tiller.NewServedBy(tiller.VerdictRan, answer.worker, c.table.Version(), f.DataCentre, c.request.cause, c.attempts.Spent(), answer.replayed)
	answer.header = endToEnd(answer.header)
	f.Dialect.Serve(answer.header, served)
	answerTo(w, answer)
}

// refuse answers a call that is not served.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, err *tiller.CallError) {
	f.refused.Inc(1)
	f.stages.refused(err)
	f.noteShed(err)
	f.log.refused(c, err)

	r := f.Dialect.Refuse(err, f.DataCentre)
	wholeAnswer(r.Status(), r.Header(), r.Body()).write(w)
}

func notRun(reason tiller.Reason, detail string) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictNotRun, reason, detail)
}

// attempt tries workers until one answers or no retry is allowed.
func (f *Forwarder) attempt(ctx context.Context, c *call) (*Answer, *tiller.CallError) {
	f.Budget.Note(f.Clock.Now(), c.request.service)

	search := newSearch(c, f.asks.pays())

	var last *tiller.CallError

	for {
		backend, noWait, ok := f.pick(c, search)
		if !ok {
			return nil, noWorker(c, last)
		}

		c.attempts.Begin()

		answer, err := f.attemptAt(ctx, c, backend, noWait)
		if noWait && backend.Worker() != f.Name {
			f.asks.note(err == nil || err.Reason() != tiller.ReasonNoSlot)
		}

		if err == nil {
			return answer, nil
		}

		if noWait && err.Reason() == tiller.ReasonNoSlot && ctx.Err() == nil {
			search.full(backend.Worker())
			c.attempts.Undo()

			continue
		}

		search.failed(backend.Worker())

		last = moreSevere(last, err)
		if ctx.Err() != nil || !c.request.body.resendable() || !c.attempts.Retry(err) {
			return nil, last
		}

		f.retried.Inc(1)
		f.log.retried(c, backend, err)
		f.Recorder.Record(tiller.NewEvent(tiller.EventRetried, err.Error(),
			tiller.WithCause(string(backend.Worker())), tiller.WithKey(c.request.cause)))

		c.table = f.Table.Load()
	}
}

// comfortShare is the part of the time left for an answer of full worth that a near worker may take; bytes between data centres
// cost more than the few answers that come late by it.
const comfortShare = 0.7

// placing returns the policy for the next attempt of a call.
func (f *Forwarder) placing(c *call) balancer.Policy {
	p := policyOf(c.settings)
	if c.request.aim > 0 {
		p.Comfort = tiller.Millis(comfortShare * float64(c.request.aim-f.Clock.Now()))
	}

	return p
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

	return notRun(tiller.ReasonNoBackend, "no backend server of "+string(c.request.service)+" is known and ready").WithRetryAfter(tiller.Second)
}

func (f *Forwarder) attemptAt(ctx context.Context, c *call, backend tiller.Backend, noWait bool) (*Answer, *tiller.CallError) {
	q := *c.request
	q.noWait = noWait
	q.attempt = newAttempt()
	q.chainLeft = c.attempts.ChainLeft()
	q.strikes = f.Register.Count(q.digest)

	answer, err := f.send(ctx, &q, backend, c.settings.Value(tiller.SettingMaxAnswerBytes))
	if policy := policyOf(c.settings); f.Balancer.Done(f.Clock.Now(), backend.Worker(), err, policy) {
		f.log.ejected(c, backend, policy.EjectFor)
		f.Recorder.Record(tiller.NewEvent(tiller.EventEjected, err.Error(), tiller.WithCause(string(backend.Worker())), tiller.WithKey(c.request.cause)))
	}

	if err != nil {
		c.attempts.Charge(err.Retries())
		f.Register.Raise(f.Clock.Now(), q.digest, q.route, err.Strikes())
	} else {
		c.attempts.Charge(retriesSpent(answer.header))
	}

	return answer, err
}

// attemptBase is the base in which attempts are numbered, for short names.
const attemptBase = 36

// newAttempt returns a name for an attempt that no other one on its connection has.
func newAttempt() string { return strconv.FormatUint(rand.Uint64(), attemptBase) }

// send hands the attempt to the gate of the chosen worker.
func (f *Forwarder) send(ctx context.Context, q *request, backend tiller.Backend, limit int64) (*Answer, *tiller.CallError) {
	if backend.Worker() == f.Name {
		return f.admit(ctx, q)
	}

	began := f.Clock.Now()
	done := measure(f.stages.hop)
	x, failed := f.Hops.Do(ctx, exchanger.Request{
		To: backend.CallAddress(), Method: q.method, Target: q.target, Host: q.host, Header: q.hopHeader(f.Clock.Now(), backend),
		Prefix: q.body.kept, Rest: q.takeRest(), Length: q.body.length,
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
	f.Balancer.Report(f.Clock.Now(), backend.Worker(), balancer.NewLoad(
		int(headerInt(h, HeaderLoad, 0)), int(headerInt(h, HeaderLimit, 1)), tiller.Millis(headerInt(h, HeaderPace, 0))))

	answer, err = f.checkHop(q, answer, backend.Worker())
	if err == nil && answer.ran > 0 {
		f.Balancer.NoteOverhead(f.Clock.Now() - began - answer.queued - answer.ran)
	}

	return answer, err
}

// takeRest returns what is left of a body that can be sent only once.
func (q *request) takeRest() io.Reader {
	if q.body.rest == nil {
		return nil
	}

	q.body.spent = true

	return q.body.rest
}

// checkHop makes sure that the answer of another node is whole and belongs to this attempt at its worker.
func (f *Forwarder) checkHop(q *request, a *Answer, worker tiller.Worker) (*Answer, *tiller.CallError) {
	if a.header.Get(HeaderAttempt) != q.attempt {
		a.close()

		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "the answer belongs to another attempt")
	}

	if a.rest == nil && headerInt(a.header, HeaderLength, -1) != int64(len(a.body)) {
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonAnswerTruncated, "the answer between nodes is not whole")
	}

	if a.header.Get(HeaderReason) != "" {
		return nil, refusalOf(a)
	}

	a.replayed = a.header.Get(HeaderReplayed) != ""
	if !a.replayed {
		a.worker = worker
	}

	a.queued, a.ran = tiller.Millis(headerInt(a.header, HeaderQueue, 0)), tiller.Millis(headerInt(a.header, HeaderRun, 0))

	return a, nil
}

func (q *request) hopHeader(now tiller.Millis, to tiller.Backend) http.Header {
	h := q.header.Clone()
	h.Set(HeaderAttempt, q.attempt)
	h.Set(HeaderTo, string(to.Worker()))
	h.Set(HeaderService, string(q.service))
	h.Set(HeaderOrigin, string(q.origin))
	h.Set(HeaderRoute, q.route)
	setInt(h, HeaderPriority, int64(q.priority))
	setInt(h, HeaderDeadline, int64(max(q.deadline-now, 0)))

	// What the other node assumes by itself is left out: on narrow links each header counts.
	if q.cause != q.id {
		h.Set(HeaderCause, q.cause)
	}

	if q.chainLeft != defaultChainRetries {
		setInt(h, HeaderRetriesLeft, int64(q.chainLeft))
	}

	if q.aim > 0 {
		setInt(h, HeaderAim, int64(q.aim-now))
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
