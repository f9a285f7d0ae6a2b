package sycamoretiller

import "net/http"

// CallTerms holds what a caller states about its call.
type CallTerms struct {
	id          string
	key         string
	cause       string
	timeLeft    Option[Millis]
	retriesLeft Option[int]
}

// CallTermsOption sets an optional part of a call's terms.
type CallTermsOption func(*CallTerms)

// WithCallID sets the caller's own id of the call.
func WithCallID(id string) CallTermsOption { return func(t *CallTerms) { t.id = id } }

// WithIdempotencyKey sets the idempotency key of a call that may run at most once.
func WithIdempotencyKey(key string) CallTermsOption { return func(t *CallTerms) { t.key = key } }

// WithChain sets the id of the outermost call in a chain of calls and the number of retries that the chain still allows.
func WithChain(cause string, retriesLeft Option[int]) CallTermsOption {
	return func(t *CallTerms) {
		t.cause = cause
		t.retriesLeft = retriesLeft
	}
}

// WithTimeLeft sets how long the caller still waits for the answer.
func WithTimeLeft(left Option[Millis]) CallTermsOption {
	return func(t *CallTerms) { t.timeLeft = left }
}

// NewCallTerms returns the terms of a call.
func NewCallTerms(options ...CallTermsOption) CallTerms {
	var t CallTerms
	for _, o := range options {
		o(&t)
	}

	return t
}

// ID returns the caller's own id of the call, empty if it gave none.
func (t CallTerms) ID() string { return t.id }

// Key returns the idempotency key, empty if there is none.
func (t CallTerms) Key() string { return t.key }

// Cause returns the id of the outermost call in the chain, empty if this call is the outermost.
func (t CallTerms) Cause() string { return t.cause }

// TimeLeft returns how long the caller still waits, if stated.
func (t CallTerms) TimeLeft() Option[Millis] { return t.timeLeft }

// RetriesLeft returns the number of retries that the chain still allows, if stated.
func (t CallTerms) RetriesLeft() Option[int] { return t.retriesLeft }

// BackendTerms holds what is sent to a backend server about a request.
type BackendTerms struct {
	id          string
	cause       string
	timeLeft    Millis
	retriesLeft int
	instance    string
	origin      Service
}

// NewBackendTerms returns the terms of a request that entered the mesh on a VM of the origin service and may run only on the given
// instance of the backend server.
func NewBackendTerms(id, cause string, timeLeft Millis, retriesLeft int, instance string, origin Service) BackendTerms {
	return BackendTerms{id: id, cause: cause, timeLeft: timeLeft, retriesLeft: retriesLeft, instance: instance, origin: origin}
}

// ID returns the caller's own id of the call.
func (t BackendTerms) ID() string { return t.id }

// Cause returns the id of the outermost call in the chain.
func (t BackendTerms) Cause() string { return t.cause }

// TimeLeft returns how long the caller still waits.
func (t BackendTerms) TimeLeft() Millis { return t.timeLeft }

// RetriesLeft returns the number of retries that the chain still allows.
func (t BackendTerms) RetriesLeft() int { return t.retriesLeft }

// Instance returns the id of the backend server's start for which the request is meant, empty if the server has not reported one.
func (t BackendTerms) Instance() string { return t.instance }

// Origin returns the service on the VM where the request entered the mesh.
func (t BackendTerms) Origin() Service { return t.origin }

//go:generate enumer -type=AnswerKind -trimprefix=Answer -transform=snake

// AnswerKind classifies the answer of a backend server.
type AnswerKind int

// The kinds of answer.
const (
	// AnswerServed means that the request ran and that this is its answer.
	AnswerServed AnswerKind = iota
	// AnswerNotRun means that the server has not run the request and never will.
	AnswerNotRun
	// AnswerDamaged means that the answer is not the one that the server sent; the request may have run.
	AnswerDamaged
)

// ServerNotice is what a backend server states about itself in an answer.
type ServerNotice struct {
	rateLimit Option[Rate]
	leaving   bool
	err       error
}

// NewServerNotice returns a notice with the request rate that the server accepts, none if it states none. The error describes a statement that
// cannot be read.
func NewServerNotice(rateLimit Option[Rate], err error) ServerNotice {
	return ServerNotice{rateLimit: rateLimit, err: err}
}

// RateLimit returns the request rate that the server accepts from all callers together, none if it states none.
func (n ServerNotice) RateLimit() Option[Rate] { return n.rateLimit }

// WithLeaving returns a copy that also says whether the server is leaving.
func (n ServerNotice) WithLeaving(leaving bool) ServerNotice {
	n.leaving = leaving

	return n
}

// Leaving reports whether the server states that it is leaving and wants no further requests.
func (n ServerNotice) Leaving() bool { return n.leaving }

// Err describes a statement that cannot be read, nil if there is none.
func (n ServerNotice) Err() error { return n.err }

// ServedBy describes to a caller how its call was served.
type ServedBy struct {
	verdict  Verdict
	worker   Worker
	version  Version
	home     DataCentre
	cause    string
	retries  int
	replayed bool
}

// NewServedBy describes how a call was served: by which worker, routed by which configuration version, the data centre to name in
// new idempotency keys, the id of the outermost call, the number of retries, and whether the answer is the stored one of an earlier
// attempt.
func NewServedBy(verdict Verdict, worker Worker, version Version, home DataCentre, cause string, retries int, replayed bool) ServedBy {
	return ServedBy{verdict: verdict, worker: worker, version: version, home: home, cause: cause, retries: retries, replayed: replayed}
}

// Verdict returns whether the request may have run.
func (s ServedBy) Verdict() Verdict { return s.verdict }

// Worker returns the worker that answered.
func (s ServedBy) Worker() Worker { return s.worker }

// Version returns the configuration version by which the call was routed.
func (s ServedBy) Version() Version { return s.version }

// Home returns the data centre to name in new idempotency keys.
func (s ServedBy) Home() DataCentre { return s.home }

// Cause returns the id of the outermost call in the chain.
func (s ServedBy) Cause() string { return s.cause }

// Retries returns how many retries were made for the call.
func (s ServedBy) Retries() int { return s.retries }

// Replayed reports whether the answer is the stored one of an earlier attempt.
func (s ServedBy) Replayed() bool { return s.replayed }

// Refusal is the HTTP response to a refused or failed call.
type Refusal struct {
	status int
	header http.Header
	body   []byte
}

// NewRefusal returns a refusal.
func NewRefusal(status int, header http.Header, body []byte) Refusal {
	return Refusal{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r Refusal) Status() int { return r.status }

// Header returns the HTTP headers.
func (r Refusal) Header() http.Header { return r.header }

// Body returns the response body.
func (r Refusal) Body() []byte { return r.body }

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	// Terms reads a caller's terms from the headers of its call.
	Terms(h http.Header) CallTerms
	// SetBackendTerms sets the headers with the terms for a backend server, in place of the caller's.
	SetBackendTerms(h http.Header, terms BackendTerms)
	// Matches reports whether an answer belongs to the request with the given terms.
	Matches(h http.Header, terms BackendTerms) bool
	// Identifies reports whether an answer that matches names the request. A second copy of an answer that does not could be taken for the
	// answer to a later request.
	Identifies(h http.Header, terms BackendTerms) bool
	// Classify returns the kind of a backend server's answer.
	Classify(status int, h http.Header) AnswerKind
	// Notice reads what a backend server states about itself in an answer of any kind.
	Notice(h http.Header) ServerNotice
	// SetServedBy sets the headers that describe to a caller how its call was served.
	SetServedBy(h http.Header, served ServedBy)
	// FormatRefusal formats the response to a refused or failed call.
	FormatRefusal(err *CallError, home DataCentre) Refusal
}
