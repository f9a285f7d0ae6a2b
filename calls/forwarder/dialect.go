package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Dialect implements tiller.Dialect with the project's headers (HeaderKey and others).
type Dialect struct{}

var _ tiller.Dialect = Dialect{}

// Terms returns the key, the cause, the retries and the time left that a caller states in its headers.
func (Dialect) Terms(h http.Header) tiller.CallTerms {
	return tiller.NewCallTerms(
		tiller.WithIdempotencyKey(h.Get(HeaderKey)),
		tiller.WithChain(h.Get(HeaderCause), optionalInt[int](h, HeaderRetriesLeft)),
		tiller.WithTimeLeft(optionalInt[tiller.Millis](h, HeaderDeadline)),
	)
}

func optionalInt[T ~int | ~int64](h http.Header, name string) tiller.Option[T] {
	v, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return tiller.None[T]()
	}

	return tiller.Some(T(v))
}

// SetBackendTerms sets the headers that a backend server passes on along the chain: cause, time left and retries left.
func (Dialect) SetBackendTerms(h http.Header, terms tiller.BackendTerms) {
	h.Set(HeaderCause, terms.Cause())
	setInt(h, HeaderDeadline, int64(max(terms.TimeLeft(), 0)))
	setInt(h, HeaderRetriesLeft, int64(terms.RetriesLeft()))
}

// Matches accepts every answer, since backend servers do not identify the request that they answer.
func (Dialect) Matches(http.Header, tiller.BackendTerms) bool { return true }

// Identifies accepts every answer for the same reason.
func (Dialect) Identifies(http.Header, tiller.BackendTerms) bool { return true }

// Classify returns AnswerNotRun for an answer with status 503 and the verdict not_run, and AnswerServed for all others.
func (Dialect) Classify(status int, h http.Header) tiller.AnswerKind {
	if status == http.StatusServiceUnavailable && parseVerdict(h.Get(HeaderVerdict)) == tiller.VerdictNotRun {
		return tiller.AnswerNotRun
	}

	return tiller.AnswerServed
}

// Notice reads the request rate that a backend server accepts, and whether it is leaving.
func (Dialect) Notice(h http.Header) tiller.ServerNotice {
	return tiller.NewServerNotice(tiller.ParseRate(h[HeaderServerLimit])).WithLeaving(h.Get(HeaderServerLeaving) == "true")
}

// SetServedBy sets the headers that report to the caller how its call was served.
func (Dialect) SetServedBy(h http.Header, served tiller.ServedBy) {
	h.Set(HeaderHome, string(served.Home()))
	h.Set(HeaderVerdict, served.Verdict().String())
	h.Set(HeaderVersion, served.Version().String())
	h.Set(HeaderCause, served.Cause())
	setInt(h, HeaderRetriesSpent, int64(served.Retries()))

	if served.Worker() != "" {
		h.Set(HeaderWorker, string(served.Worker()))
	}

	if served.Replayed() {
		h.Set(HeaderReplayed, "true")
	}
}

// refusalBody is the body of a refused call.
type refusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Untried is set if no backend server was contacted.
	Untried bool `json:"untried,omitempty"`
}

var statusByReason = map[tiller.Reason]int{
	tiller.ReasonNoRoute:          http.StatusNotFound,
	tiller.ReasonNoBackend:        http.StatusServiceUnavailable,
	tiller.ReasonOverload:         http.StatusServiceUnavailable,
	tiller.ReasonDeadline:         http.StatusGatewayTimeout,
	tiller.ReasonDraining:         http.StatusServiceUnavailable,
	tiller.ReasonBackendFailed:    http.StatusBadGateway,
	tiller.ReasonUnreachable:      http.StatusBadGateway,
	tiller.ReasonQuarantined:      http.StatusForbidden,
	tiller.ReasonKeyMissing:       http.StatusBadRequest,
	tiller.ReasonKeyInvalid:       http.StatusBadRequest,
	tiller.ReasonKeyReused:        http.StatusUnprocessableEntity,
	tiller.ReasonKeyFenced:        http.StatusConflict,
	tiller.ReasonInProgress:       http.StatusConflict,
	tiller.ReasonClaimUnavailable: http.StatusServiceUnavailable,
	tiller.ReasonAnswerTruncated:  http.StatusBadGateway,
	tiller.ReasonAnswerTooLarge:   http.StatusBadGateway,
	tiller.ReasonRequestTooLarge:  http.StatusRequestEntityTooLarge,
	tiller.ReasonRequestMalformed: http.StatusBadRequest,
	tiller.ReasonCancelled:        http.StatusServiceUnavailable,
	tiller.ReasonNotReady:         http.StatusServiceUnavailable,
	tiller.ReasonNoSlot:           http.StatusServiceUnavailable,
}

// FormatRefusal returns the status, headers and JSON body of a refusal.
func (Dialect) FormatRefusal(err *tiller.CallError, home tiller.DataCentre) tiller.Refusal {
	body, marshalErr := json.Marshal(refusalBody{
		Verdict: err.Verdict().String(), Reason: err.Reason().String(), Detail: err.Detail(), RetryAfterMs: int64(err.RetryAfter()),
		Untried: err.Untried(),
	})
	if marshalErr != nil {
		body = nil
	}

	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, err.Verdict().String())
	h.Set(HeaderReason, err.Reason().String())
	h.Set(HeaderHome, string(home))

	if err.Retries() > 0 {
		setInt(h, HeaderRetriesSpent, int64(err.Retries()))
	}

	if err.Strikes() > 0 {
		setInt(h, HeaderStrikes, int64(err.Strikes()))
	}

	if err.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((err.RetryAfter()+tiller.Second-1)/tiller.Second), 10))
	}

	return tiller.NewRefusal(statusByReason[err.Reason()], h, body)
}
