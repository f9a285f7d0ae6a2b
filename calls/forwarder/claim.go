package forwarder

import (
	"context"
	"net/http"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// runAtMostOnce claims a keyed request before it runs and stores its outcome for duplicates. Other requests run without a claim.
func (f *Forwarder) runAtMostOnce(ctx context.Context, q *request, target Target, limit int64) (*Answer, *tiller.CallError) {
	if !q.atMostOnce {
		return f.run(ctx, q, target, limit)
	}

	key, err := f.parseKey(q.key)
	if err != nil {
		return nil, err
	}

	digest := []byte(quarantiner.DigestOf(q.method, q.target, "", "", q.body.buffered))

	result := f.Claims.Acquire(ctx, key, digest, q.attempt)
	if result.Verdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		f.Claims.Complete(key, digest, q.attempt, false, nil)

		return answerWithoutClaim(result)
	}

	// A claimed request is not cancelled with its caller, so that a duplicate finds the outcome.
	running, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(q.deadline-f.Clock.Now(), 0).Duration())

	answer, err := f.run(running, q, target, limit)
	f.completeClaim(key, digest, q.attempt, answer, err)

	if answer != nil {
		answer.onClose(cancel)
	} else {
		cancel()
	}

	return answer, err
}

func (f *Forwarder) parseKey(text string) (claimer.Key, *tiller.CallError) {
	key, err := claimer.ParseKey(text)
	if err != nil {
		return claimer.Key{}, notRun(tiller.ReasonKeyInvalid, err.Error())
	}

	return key, nil
}

// completeClaim releases the claim of a request that did not run and stores the answer of one that did. If the outcome is unknown, the
// claim stays taken.
func (f *Forwarder) completeClaim(key claimer.Key, digest []byte, attempt string, a *Answer, err *tiller.CallError) {
	switch {
	case err == nil:
		stored := &wire.Answer{Status: uint32(a.status), ContentType: a.header.Get("Content-Type")}
		if len(a.body) <= claimer.MaxAnswerBytes {
			stored.Body = a.body
			f.Claims.Complete(key, digest, attempt, true, stored)
		} else {
			f.Claims.Complete(key, digest, attempt, true, nil)
		}
	case err.Verdict() == tiller.VerdictNotRun:
		f.Claims.Complete(key, digest, attempt, false, nil)
	}
}

// answerWithoutClaim returns the stored answer of a request that has already run, or why its claim was not granted.
func answerWithoutClaim(r claimer.Result) (*Answer, *tiller.CallError) {
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

func replay(stored *wire.Answer) (*Answer, *tiller.CallError) {
	if stored == nil {
		return nil, tiller.NewCallError(tiller.VerdictRan, tiller.ReasonAnswerTooLarge, "the request ran; its answer was too large to keep")
	}

	h := http.Header{}
	if stored.GetContentType() != "" {
		h.Set("Content-Type", stored.GetContentType())
	}

	a := completeAnswer(int(stored.GetStatus()), h, stored.GetBody())
	a.replayed = true

	return a, nil
}
