package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// serveHop serves an attempt that another node sent to this worker.
func (f *Forwarder) serveHop(w http.ResponseWriter, r *http.Request) {
	q, err := f.hopRequest(w, r)
	if err != nil {
		f.writeHop(w, r, refusalAnswer(err))

		return
	}

	f.learnServerState(r.Header)

	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - f.Clock.Now()).Duration())
	defer cancel()

	err = f.checkLink(q)
	if err == nil && f.outlastsStop(q) {
		err = notRun(tiller.ReasonDraining, "the worker's node stops before the time of the attempt is over")
	}

	var answer *Answer
	if err == nil {
		answer, err = f.admit(ctx, q)
	}

	if err != nil {
		load, limit, meanLatency := f.Limiter.Load()
		f.log.attemptRefused(q, err, load, limit, meanLatency)

		answer = refusalAnswer(err)
	}

	f.writeHop(w, r, answer)
}

func (f *Forwarder) writeHop(w http.ResponseWriter, r *http.Request, a *Answer) {
	load, limit, meanLatency := f.Limiter.Load()
	a.header = a.header.Clone()
	h := a.header
	h.Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	h.Set(HeaderLength, strconv.Itoa(len(a.body)))
	setInt(h, HeaderLoad, int64(load))
	setInt(h, HeaderLimit, int64(limit))
	setInt(h, HeaderMeanLatency, int64(meanLatency+f.linkWait()))

	f.reportServerState(h, r.Header.Get(HeaderStart) != "")

	if a.queued > 0 {
		setInt(h, HeaderQueue, int64(a.queued))
	}

	if a.ran > 0 {
		setInt(h, HeaderRun, int64(a.ran))
	}

	if a.replayed {
		h.Set(HeaderReplayed, "true")
	}

	writeAndClose(w, a)
}

func (f *Forwarder) hopRequest(w http.ResponseWriter, r *http.Request) (*request, *tiller.CallError) {
	table := f.Table.Load()
	if table == nil {
		return nil, notRun(tiller.ReasonNotReady, "the node has no configuration yet")
	}

	// The address of a terminated VM may have been reassigned to another worker.
	if to := r.Header.Get(HeaderTo); to != string(f.Name) || r.Header.Get(HeaderService) != string(f.Service) {
		return nil, notRun(tiller.ReasonUnreachable, "the request is for "+to+", this is "+string(f.Name))
	}

	left := tiller.Millis(max(headerInt(r.Header, HeaderDeadline, 0), 0))
	deadline := f.Clock.Now() + left

	body, err := readPayload(w, r, left, table.OwnSettings().Value(tiller.SettingMaxRequestBytes))
	if err != nil {
		return nil, err
	}

	terms := f.Dialect.Terms(r.Header)

	q := &request{
		method: r.Method, target: rawTarget(r), host: r.Host, header: endToEnd(r.Header), body: body,
		route: r.Header.Get(HeaderRoute), service: f.Service, origin: tiller.Service(r.Header.Get(HeaderOrigin)),
		priority: int(headerInt(r.Header, HeaderPriority, 0)), softDeadline: parseSoftDeadline(f.Clock.Now(), r.Header), deadline: deadline,
		atMostOnce: r.Header.Get(HeaderAtMostOnce) != "", noWait: r.Header.Get(HeaderNoWait) != "",
		id: terms.ID(), key: terms.Key(), attempt: r.Header.Get(HeaderAttempt), cause: cmp.Or(r.Header.Get(HeaderCause), terms.ID()),
		retriesLeft: int(headerInt(r.Header, HeaderRetriesLeft, defaultChainRetries)), strikes: int(headerInt(r.Header, HeaderStrikes, 0)),
	}
	q.digest = f.digestOf(q)

	return q, nil
}

// digestOf returns the digest by which crashes of backend servers are counted for a request.
func (f *Forwarder) digestOf(q *request) quarantiner.Digest {
	caller := ""
	if f.QuarantineByCaller {
		caller = string(q.origin)
	}

	return quarantiner.DigestOf(q.method, q.target, q.key, caller, q.body.buffered)
}

// parseSoftDeadline returns the soft deadline of an attempt, zero if unknown.
func parseSoftDeadline(now tiller.Millis, h http.Header) tiller.Millis {
	if h.Get(HeaderSoftDeadline) == "" {
		return 0
	}

	return now + tiller.Millis(headerInt(h, HeaderSoftDeadline, 0))
}

func (q *request) demand() limiter.Demand {
	d := limiter.NewDemand(q.priority, q.deadline).WithSoftDeadline(q.softDeadline).WithKind(q.route)
	if q.noWait {
		return d.WithoutWait()
	}

	return d
}

// admit waits for a slot and runs the request on this worker's backend server, or refuses it. The slot is held until the answer
// has been read, or passed on if it is too large to buffer.
func (f *Forwarder) admit(ctx context.Context, q *request) (*Answer, *tiller.CallError) {
	if f.draining.Load() {
		return nil, workerLeaves()
	}

	if _, err := f.readyTarget(); err != nil {
		return nil, err
	}

	settings := f.Table.Load().OwnSettings()

	arrived := f.Clock.Now()
	done := measure(f.stages.queue)
	slot, err := f.Limiter.Acquire(ctx, q.demand())

	done()

	if err != nil {
		return nil, err
	}

	outcome, streaming := limiter.OutcomeFailed, false

	// The slot is freed here unless a streamed answer takes it along, also when the run panics.
	defer func() {
		if !streaming {
			slot.Release(outcome)
		}
	}()

	started := f.Clock.Now()
	answer, err := f.runAdmitted(ctx, q, settings)
	outcome = outcomeOf(answer, err)

	if answer != nil {
		answer.queued, answer.ran = started-arrived, f.Clock.Now()-started
	}

	if answer != nil && answer.rest != nil {
		streaming = true

		answer.onClose(func() { slot.Release(outcome) })
	}

	return answer, err
}

func (f *Forwarder) runAdmitted(ctx context.Context, q *request, settings compiler.Effective) (*Answer, *tiller.CallError) {
	// The server may have left, or started again, while the request waited for a slot.
	target, err := f.readyTarget()
	if err != nil {
		return nil, err
	}

	// Strikes received while the request waited for a slot count too.
	if err := f.checkQuarantine(q, settings); err != nil {
		return nil, err
	}

	return f.runAtMostOnce(ctx, q, target, settings.Value(tiller.SettingMaxAnswerBytes))
}

func outcomeOf(a *Answer, err *tiller.CallError) limiter.Outcome {
	switch {
	case err == nil && a.status != http.StatusServiceUnavailable:
		return limiter.OutcomeServed
	case err == nil || err.Reason() == tiller.ReasonOverload:
		return limiter.OutcomeShed
	default:
		return limiter.OutcomeFailed
	}
}

// readyTarget returns the backend server, or an error if it accepts no requests.
func (f *Forwarder) readyTarget() (Target, *tiller.CallError) {
	target := f.BackendServer.Target()

	switch {
	case target.state == wire.BackendState_BACKEND_STATE_DRAINING:
		return Target{}, workerLeaves()
	case target.state != wire.BackendState_BACKEND_STATE_READY:
		return Target{}, notRun(tiller.ReasonNoBackend, "the worker's backend server is not ready")
	default:
		return target, nil
	}
}

func workerLeaves() *tiller.CallError { return notRun(tiller.ReasonDraining, "the worker is leaving") }

// checkQuarantine refuses a request that has reached the limit of strikes according to this node or the sender.
func (f *Forwarder) checkQuarantine(q *request, settings compiler.Effective) *tiller.CallError {
	now, d := f.Clock.Now(), q.digest
	f.CrashRecords.RaiseStrikes(now, d, q.route, q.strikes)

	if !f.CrashRecords.Quarantined(now, d, int(settings.Value(tiller.SettingQuarantineStrikes)), settings.Seconds(tiller.SettingQuarantineSeconds)) {
		return nil
	}

	f.Recorder.Record(tiller.NewEvent(tiller.EventQuarantined, "request refused", tiller.WithKey(d.String()), tiller.WithCause(q.cause)))

	return notRun(tiller.ReasonQuarantined, "this request crashed backend servers; request digest "+d.String()).WithStrikes(f.CrashRecords.Strikes(d))
}

// run sends the request to the backend server, without retries.
func (f *Forwarder) run(ctx context.Context, q *request, target Target, limit int64) (*Answer, *tiller.CallError) {
	terms := tiller.NewBackendTerms(q.id, q.cause, q.deadline-f.Clock.Now(), q.retriesLeft, target.instance, q.origin)
	header := q.header.Clone()
	f.Dialect.SetBackendTerms(header, terms)

	var unavailable *tiller.CallError

	crash := f.crashes.next()
	sentAt := f.Clock.Now()
	done := measure(f.stages.worker)
	x, failed := f.BackendExchanger.Do(ctx, exchanger.Request{
		To: target.address, Method: q.method, Target: q.target, Host: q.host, Header: header,
		ID: q.id, Prefix: q.body.buffered, Rest: q.takeRest(), Length: q.body.length,
		Matches:    func(h http.Header) bool { return f.Dialect.Matches(h, terms) },
		Identifies: func(h http.Header) bool { return f.Dialect.Identifies(h, terms) },
		// The claim and the connection may have taken long.
		BeforeSend: func() error {
			var latest Target
			if latest, unavailable = f.readyTarget(); unavailable != nil {
				return unavailable
			}

			f.recordLeaving(q, latest)

			return nil
		},
	})

	done()

	if unavailable != nil {
		return nil, unavailable
	}

	if failed != nil {
		return nil, f.backendFailure(ctx, q, target, failed, crash)
	}

	f.observeNotice(target, sentAt, x.Status, x.Header)

	answer, err := readAnswer(x, limit)
	if err != nil {
		if ctx.Err() != nil {
			f.abandon(q, target, crash)
		}

		return nil, err
	}

	return f.classify(q, answer)
}

// recordLeaving records a request that is sent to a server which is leaving.
func (f *Forwarder) recordLeaving(q *request, target Target) {
	if span, leaving := target.leavingFor.Get(); leaving {
		f.stages.leaving.Update(span.Duration())
		f.log.sentToLeavingServer(q, span)
	}
}

// classify returns the answer of the backend server, or an error if the server did not run the request or its answer is damaged.
func (f *Forwarder) classify(q *request, answer *Answer) (*Answer, *tiller.CallError) {
	switch f.Dialect.Classify(answer.status, answer.header) {
	case tiller.AnswerNotRun:
		retries := retriesSpent(answer.header)
		answer.close()

		return nil, notRun(tiller.ReasonOverload, "the backend server sheds load").WithRetryAfter(tiller.Second).WithRetries(retries)
	case tiller.AnswerDamaged:
		answer.close()

		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "the answer is not what a backend server sends")
	default:
	}

	f.CrashReporter.ClearStrikes(q.digest)

	answer.worker = f.Name
	retries := retriesSpent(answer.header)
	answer.header = endToEnd(answer.header)
	if retries > 0 {
		setInt(answer.header, HeaderRetriesSpent, int64(retries))
	}

	return answer, nil
}
