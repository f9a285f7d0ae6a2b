package sycamoretiller

import "net/http"

// CallTerms is what a caller states about its call.
type CallTerms struct {
	id          string
	key         string
	cause       string
	timeLeft    Option[Millis]
	retriesLeft Option[int]
}

// CallTermsOption sets an optional part of a call's terms.
type CallTermsOption func(*CallTerms)

// WithCallID names the call as the caller knows it.
func WithCallID(id string) CallTermsOption { return func(t *CallTerms) { t.id = id } }

// WithIdempotencyKey names a call that may run at most once.
func WithIdempotencyKey(key string) CallTermsOption { return func(t *CallTerms) { t.key = key } }

// WithChain tells of the outermost call and the retries that its chain still allows.
func WithChain(cause string, retriesLeft Option[int]) CallTermsOption {
	return func(t *CallTerms) {
		t.cause = cause
		t.retriesLeft = retriesLeft
	}
}

// WithTimeLeft says how long the caller waits.
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

// ID returns the call's id as the caller knows it, empty if it gave none.
func (t CallTerms) ID() string { return t.id }

// Key returns the idempotency key, empty if there is none.
func (t CallTerms) Key() string { return t.key }

// Cause returns the id of the outermost call, empty if this is it.
func (t CallTerms) Cause() string { return t.cause }

// TimeLeft returns how long the caller waits, if it says so.
func (t CallTerms) TimeLeft() Option[Millis] { return t.timeLeft }

// RetriesLeft returns the retries that the chain still allows, if it says so.
func (t CallTerms) RetriesLeft() Option[int] { return t.retriesLeft }

// BackendTerms is what a backend server is told about a request.
type BackendTerms struct {
	id          string
	cause       string
	timeLeft    Millis
	retriesLeft int
	instance    string
	origin      Service
}

// NewBackendTerms returns the terms of a request that began on a VM of the origin service and may run on one instance only.
func NewBackendTerms(id, cause string, timeLeft Millis, retriesLeft int, instance string, origin Service) BackendTerms {
	return BackendTerms{id: id, cause: cause, timeLeft: timeLeft, retriesLeft: retriesLeft, instance: instance, origin: origin}
}

// ID returns the call's id as its caller knows it.
func (t BackendTerms) ID() string { return t.id }

// Cause returns the id of the outermost call.
func (t BackendTerms) Cause() string { return t.cause }

// TimeLeft returns how long the caller still waits.
func (t BackendTerms) TimeLeft() Millis { return t.timeLeft }

// RetriesLeft returns the retries that the chain still allows.
func (t BackendTerms) RetriesLeft() int { return t.retriesLeft }

// Instance returns the start of the backend server that the request is for, empty if it has not told.
func (t BackendTerms) Instance() string { return t.instance }

// Origin returns the service on the VM where the request began.
func (t BackendTerms) Origin() Service { return t.origin }

//go:generate enumer -type=AnswerKind -trimprefix=Answer -transform=snake

// AnswerKind says what an answer of a backend server means.
type AnswerKind int

// The kinds of answer.
const (
	// AnswerServed means that the request ran and this is its answer.
	AnswerServed AnswerKind = iota
	// AnswerNotRun means that the server has not run the request and will not.
	AnswerNotRun
	// AnswerDamaged means that the bytes are not what the server answered; the request may have run.
	AnswerDamaged
)

// ServedBy tells a caller how its call was served.
type ServedBy struct {
	verdict  Verdict
	worker   Worker
	version  Version
	home     DataCentre
	cause    string
	retries  int
	replayed bool
}

// NewServedBy returns how a call was served: by which worker, routed by which version, in which data centre, after how many
// retries, and whether the answer is the kept one of an earlier send.
func NewServedBy(verdict Verdict, worker Worker, version Version, home DataCentre, cause string, retries int, replayed bool) ServedBy {
	return ServedBy{verdict: verdict, worker: worker, version: version, home: home, cause: cause, retries: retries, replayed: replayed}
}

// Verdict returns whether the request ran.
func (s ServedBy) Verdict() Verdict { return s.verdict }

// Worker returns the worker that answered.
func (s ServedBy) Worker() Worker { return s.worker }

// Version returns the configuration version by which the call was routed.
func (s ServedBy) Version() Version { return s.version }

// Home returns the data centre to name in new idempotency keys.
func (s ServedBy) Home() DataCentre { return s.home }

// Cause returns the id of the outermost call.
func (s ServedBy) Cause() string { return s.cause }

// Retries returns how many retries were made for the call.
func (s ServedBy) Retries() int { return s.retries }

// Replayed reports whether the answer is the kept one of an earlier send.
func (s ServedBy) Replayed() bool { return s.replayed }

// Refusal is a refused call as its caller sees it.
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

// Body returns the text for people.
func (r Refusal) Body() []byte { return r.body }

// Dialect is the set of headers that callers and backend servers use.
type Dialect interface {
	// Terms reads what a caller states about its call.
	Terms(h http.Header) CallTerms
	// Instruct sets the headers that tell a backend server its terms, in place of the caller's.
	Instruct(h http.Header, terms BackendTerms)
	// Owns reports whether an answer is for the request with the given terms.
	Owns(h http.Header, terms BackendTerms) bool
	// Judge says what a backend server's answer means.
	Judge(status int, h http.Header) AnswerKind
	// Serve sets the headers that tell a caller how its call was served.
	Serve(h http.Header, served ServedBy)
	// Refuse formats a refused or failed call for its caller.
	Refuse(err *CallError, home DataCentre) Refusal
}
