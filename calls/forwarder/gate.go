package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// serveHop serves another node that chose this worker.
func (f *Forwarder) serveHop(w http.ResponseWriter, r *http.Request) {
	q, err := f.hopRequest(w, r)
	if err != nil {
		f.writeHop(w, r.Header.Get(HeaderAttempt), refusalAnswer(err))

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - f.Clock.Now()).Duration())
	defer cancel()

	answer, err := f.admit(ctx, q)
	if err != nil {
		answer = refusalAnswer(err)
	}

	f.writeHop(w, q.attempt, answer)
}

func (f *Forwarder) writeHop(w http.ResponseWriter, attempt string, a *Answer) {
	load, limit := f.Gate.Load()
	h := a.header.Clone()
	h.Set(HeaderAttempt, attempt)
	h.Set(HeaderLength, strconv.Itoa(len(a.body)))
	setInt(h, HeaderLoad, int64(load))
	setInt(h, HeaderLimit, int64(limit))
	(&Answer{status: a.status, header: h, body: a.body}).write(w)
}

func (f *Forwarder) hopRequest(w http.ResponseWriter, r *http.Request) (*request, *tiller.CallError) {
	table := f.Table.Load()
	if table == nil {
		return nil, notRun(tiller.ReasonNotReady, "the node has no configuration yet")
	}

	class, err := tiller.ClassString(r.Header.Get(HeaderClass))
	if err != nil {
		return nil, notRun(tiller.ReasonNoRoute, "unknown class")
	}

	body, callErr := readBody(w, r, table.Own().Value(tiller.SettingMaxRequestBytes))
	if callErr != nil {
		return nil, callErr
	}

	return &request{
		method: r.Method, target: r.URL.RequestURI(), header: stripHop(r.Header), body: body,
		route: r.Header.Get(HeaderRoute), class: class, atMostOnce: r.Header.Get(HeaderAtMostOnce) != "",
		deadline: f.Clock.Now() + tiller.Millis(max(headerInt(r.Header, HeaderDeadline, 0), 0)),
		key:      r.Header.Get(HeaderKey), attempt: r.Header.Get(HeaderAttempt), cause: r.Header.Get(HeaderCause),
		chainLeft: int(headerInt(r.Header, HeaderRetriesLeft, 0)), strikes: int(headerInt(r.Header, HeaderStrikes, 0)),
		digest: quarantiner.DigestOf(r.Method, r.URL.RequestURI(), r.Header.Get(HeaderKey), body),
	}, nil
}

// admit runs the request on this worker's backend server, or refuses it.
func (f *Forwarder) admit(ctx context.Context, q *request) (*Answer, *tiller.CallError) {
	target, err := f.ready()
	if err != nil {
		return nil, err
	}

	own := f.Table.Load().Own()

	slot, err := f.Gate.Acquire(ctx, q.class, q.deadline)
	if err != nil {
		return nil, err
	}

	outcome := limiter.OutcomeFailed
	defer func() { slot.Release(outcome) }()

	// Strikes that came in while the request waited count too.
	if err := f.quarantine(q, own); err != nil {
		return nil, err
	}

	answer, err := f.runOnce(ctx, q, target, own.Value(tiller.SettingMaxAnswerBytes))
	outcome = outcomeOf(answer, err)

	return answer, err
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

// ready returns where the backend server listens, or why it takes no work.
func (f *Forwarder) ready() (tiller.Address, *tiller.CallError) {
	target, state := f.Worker.Target()

	switch {
	case f.draining.Load() || state == wire.BackendState_BACKEND_STATE_DRAINING:
		return "", notRun(tiller.ReasonDraining, "the worker is leaving")
	case state != wire.BackendState_BACKEND_STATE_READY:
		return "", notRun(tiller.ReasonNoBackend, "the worker's backend server is not ready")
	default:
		return target, nil
	}
}

// quarantine refuses a request that has crashed too many servers, as far as this node or the sending one knows.
func (f *Forwarder) quarantine(q *request, own compiler.Effective) *tiller.CallError {
	now, d := f.Clock.Now(), q.digest
	f.Register.Raise(now, d, q.route, q.strikes)

	if !f.Register.Refuses(now, d, int(own.Value(tiller.SettingQuarantineStrikes)), own.Seconds(tiller.SettingQuarantineSeconds)) {
		return nil
	}

	f.Recorder.Record(tiller.NewEvent(tiller.EventQuarantined, "request refused", tiller.WithKey(d.String()), tiller.WithCause(q.cause)))

	return notRun(tiller.ReasonQuarantined, "this request crashed backend servers; request digest "+d.String()).WithStrikes(f.Register.Count(d))
}

// runOnce claims a keyed request before it runs and keeps its outcome for resends.
func (f *Forwarder) runOnce(ctx context.Context, q *request, target tiller.Address, limit int64) (*Answer, *tiller.CallError) {
	if !q.atMostOnce {
		return f.run(ctx, q, target, limit)
	}

	key, err := f.parseKey(q.key)
	if err != nil {
		return nil, err
	}

	digest := []byte(quarantiner.DigestOf(q.method, q.target, "", q.body))

	result := f.Claims.Take(ctx, key, digest, q.attempt)
	if result.Verdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		f.Claims.Finish(key, digest, q.attempt, false, nil)

		return claimRefusal(result)
	}

	// A claimed request runs to its end, so that a resend finds its outcome.
	running, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(q.deadline-f.Clock.Now(), 0).Duration())
	defer cancel()

	answer, err := f.run(running, q, target, limit)
	f.finish(key, digest, q.attempt, answer, err)

	return answer, err
}

func (f *Forwarder) parseKey(text string) (claimer.Key, *tiller.CallError) {
	key, err := claimer.ParseKey(text)
	if err != nil {
		return claimer.Key{}, notRun(tiller.ReasonKeyInvalid, err.Error())
	}

	return key, nil
}

// finish releases the claim of a request that did not run and keeps the answer of one that did. An unknown outcome
// leaves the claim taken.
func (f *Forwarder) finish(key claimer.Key, digest []byte, attempt string, a *Answer, err *tiller.CallError) {
	switch {
	case err == nil:
		kept := &wire.Answer{Status: uint32(a.status), ContentType: a.header.Get("Content-Type")}
		if len(a.body) <= claimer.MaxAnswerBytes {
			kept.Body = a.body
			f.Claims.Finish(key, digest, attempt, true, kept)
		} else {
			f.Claims.Finish(key, digest, attempt, true, nil)
		}
	case err.Verdict() == tiller.VerdictNotRun:
		f.Claims.Finish(key, digest, attempt, false, nil)
	}
}

func claimRefusal(r claimer.Result) (*Answer, *tiller.CallError) {
	switch r.Verdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_COMPLETED:
		return replay(r.Answer())
	case wire.ClaimVerdict_CLAIM_VERDICT_TAKEN:
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonInProgress,
			"an earlier send of this key runs or ended without a known outcome").WithRetryAfter(tiller.Second)
	case wire.ClaimVerdict_CLAIM_VERDICT_FENCED:
		return nil, tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonKeyFenced,
			"the key is outside the window in which outcomes are kept; look the outcome up before you send it under a new key")
	case wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH:
		return nil, notRun(tiller.ReasonKeyReused, "the key was used for another request")
	default:
		return nil, notRun(tiller.ReasonClaimUnavailable, "the key's home data centre cannot decide about it now").WithRetryAfter(tiller.Second)
	}
}

func replay(kept *wire.Answer) (*Answer, *tiller.CallError) {
	if kept == nil {
		return nil, tiller.NewCallError(tiller.VerdictRan, tiller.ReasonAnswerTooLarge, "the request ran; its answer was too large to keep")
	}

	h := http.Header{}
	h.Set(HeaderVerdict, tiller.VerdictRan.String())
	h.Set(HeaderReplayed, "true")

	if kept.GetContentType() != "" {
		h.Set("Content-Type", kept.GetContentType())
	}

	return &Answer{status: int(kept.GetStatus()), header: h, body: kept.GetBody()}, nil
}

// run sends the request to the backend server once.
func (f *Forwarder) run(ctx context.Context, q *request, target tiller.Address, limit int64) (*Answer, *tiller.CallError) {
	answer, failed := f.Backends.do(ctx, exchange{
		method: q.method, url: "http://" + string(target) + q.target, to: target, header: q.backendHeader(f.Clock.Now()), body: q.body, limit: limit,
	})
	if failed != nil {
		return nil, f.failed(ctx, q, failed)
	}

	if answer.status == http.StatusServiceUnavailable && parseVerdict(answer.header.Get(HeaderVerdict)) == tiller.VerdictNotRun {
		shed := notRun(tiller.ReasonOverload, "the backend server sheds load")

		return nil, shed.WithRetryAfter(tiller.Second).WithRetries(retriesSpent(answer.header))
	}

	f.Strikes.Lift(q.digest)
	answer.header.Del(HeaderReason)
	answer.header.Set(HeaderVerdict, tiller.VerdictRan.String())
	answer.header.Set(HeaderWorker, string(f.Name))

	return answer, nil
}

// failed tells the data centre of a request whose server died before the answer leaves.
func (f *Forwarder) failed(ctx context.Context, q *request, failed *failure) *tiller.CallError {
	if failed.refused {
		f.Worker.Refused()

		return notRun(tiller.ReasonNoBackend, fmt.Sprintf("the backend server of %s refuses connections", f.Name))
	}

	if failed.broken {
		f.Strikes.Announce(context.WithoutCancel(ctx), []quarantiner.Digest{q.digest}, q.route)
	}

	return failed.err.WithStrikes(f.Register.Count(q.digest))
}

func (q *request) backendHeader(now tiller.Millis) http.Header {
	h := q.header.Clone()
	h.Set(HeaderCause, q.cause)
	setInt(h, HeaderDeadline, int64(max(q.deadline-now, 0)))
	setInt(h, HeaderRetriesLeft, int64(q.chainLeft))

	return h
}
