package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Answer is a whole answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// refusalBody is the body of a refused call.
type refusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
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
	tiller.ReasonCancelled:        http.StatusServiceUnavailable,
	tiller.ReasonNotReady:         http.StatusServiceUnavailable,
}

// refusalAnswer formats a refusal for callers and for other nodes.
func refusalAnswer(err *tiller.CallError) *Answer {
	body, marshalErr := json.Marshal(refusalBody{
		Verdict: err.Verdict().String(), Reason: err.Reason().String(), Detail: err.Detail(), RetryAfterMs: int64(err.RetryAfter()),
	})
	if marshalErr != nil {
		body = nil
	}

	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, err.Verdict().String())
	h.Set(HeaderReason, err.Reason().String())

	if err.Retries() > 0 {
		setInt(h, HeaderRetriesSpent, int64(err.Retries()))
	}

	if err.Strikes() > 0 {
		setInt(h, HeaderStrikes, int64(err.Strikes()))
	}

	if err.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((err.RetryAfter()+tiller.Second-1)/tiller.Second), 10))
	}

	return &Answer{status: statusByReason[err.Reason()], header: h, body: body}
}

// refusalOf reads a refusal that another node sent.
func refusalOf(a *Answer) *tiller.CallError {
	var body refusalBody

	reason, err := tiller.ReasonString(a.header.Get(HeaderReason))
	if errors.Join(err, json.Unmarshal(a.body, &body)) != nil {
		return tiller.NewCallError(tiller.VerdictMayHaveRun, tiller.ReasonBackendFailed, "another node sent a refusal that cannot be read")
	}

	return tiller.NewCallError(parseVerdict(a.header.Get(HeaderVerdict)), reason, body.Detail).
		WithRetryAfter(tiller.Millis(body.RetryAfterMs)).WithRetries(retriesSpent(a.header)).
		WithStrikes(int(headerInt(a.header, HeaderStrikes, 0)))
}

func (a *Answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}

	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)

	// A caller that hung up has no use for the rest.
	_, _ = w.Write(a.body)
}
