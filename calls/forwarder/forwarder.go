// Package forwarder proxies calls. The outbound proxy takes a call from its caller, chooses a worker and sends an attempt to the node
// beside that worker. The inbound proxy of that node admits the attempt, runs it on the backend server and returns the complete answer.
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Claims decides whether a keyed request may run.
type Claims interface {
	// Acquire waits for the decision on an attempt.
	Acquire(ctx context.Context, key claimer.Key, digest []byte, attempt string) claimer.Result
	// Complete reports whether the attempt ran and the answer to store, nil if there is none; it does not wait.
	Complete(key claimer.Key, digest []byte, attempt string, ran bool, answer *wire.Answer)
}

// CrashReporter reports requests that were in flight when a backend server crashed.
type CrashReporter interface {
	// ReportCrash reports a request that broke in a crash to the data centre and waits for the acknowledgement, for a bounded time. Copies
	// of a request that broke in the same crash count once.
	ReportCrash(ctx context.Context, crash uint64, digest quarantiner.Digest, route string)
	// ClearStrikes clears the strikes of a request that has now been served.
	ClearStrikes(d quarantiner.Digest)
}

// Target is the backend server on this VM: its address, instance and state.
type Target struct {
	address  tiller.Address
	instance string
	state    wire.BackendState
	start    string
	// leavingFor is how long the server has been leaving, none if it is not.
	leavingFor tiller.Option[tiller.Millis]
}

// NewTarget returns a target with the address a backend server listens on, the instance (one per start) and its state.
func NewTarget(address tiller.Address, instance string, state wire.BackendState) Target {
	return Target{address: address, instance: instance, state: state}
}

// WithStart returns a copy with the identity of the server's start. It differs from the instance, which a server may keep when it restarts.
func (t Target) WithStart(start string) Target {
	t.start = start

	return t
}

// WithLeavingFor returns a copy that also says how long the server has been leaving, none if it is not. It may still accept requests for a while.
func (t Target) WithLeavingFor(leavingFor tiller.Option[tiller.Millis]) Target {
	t.leavingFor = leavingFor

	return t
}

// leaving reports whether the server is leaving.
func (t Target) leaving() bool {
	_, leaving := t.leavingFor.Get()

	return leaving
}

// BackendServer gives access to the backend server on this VM.
type BackendServer interface {
	// Target returns the current address, instance and state of the server.
	Target() Target
	// ReportRefused records that the server's port refused a connection.
	ReportRefused()
	// ReportLeaving records that a start of the server is leaving. If learnt is set, a peer has known for a while, and the server gets no
	// further requests at once.
	ReportLeaving(start string, learnt bool)
}

// Options holds the dependencies and settings of a Forwarder.
type Options struct {
	Name             tiller.Worker
	DataCentre       tiller.DataCentre
	Clock            tiller.Clock
	Table            *atomic.Pointer[Table]
	Balancer         *balancer.Balancer
	Limiter          *limiter.Limiter
	Budget           *retrier.Budget
	CrashRecords     *quarantiner.Registry
	Claims           Claims
	CrashReporter    CrashReporter
	BackendServer    BackendServer
	NodeExchanger    *exchanger.Exchanger
	BackendExchanger *exchanger.Exchanger
	Recorder         tiller.Recorder
	Metrics          metrics.Registry
	// Service is the service of the worker on this VM.
	Service tiller.Service
	// Dialect reads and writes the headers of callers and backend servers.
	Dialect tiller.Dialect
	// Splitter divides the calls of a route among its services.
	Splitter *balancer.Splitter
	// QuarantineByCaller makes the calling service part of a request's identity, so that the same request of another service neither is refused
	// for its crashes nor lifts its quarantine.
	QuarantineByCaller bool
	// ConfirmCrashes makes a broken connection count as a crash only if the server's port refuses connections afterwards.
	ConfirmCrashes bool
	// Log receives one line for each decision on a call.
	Log logr.Logger
	// ContactAge returns the time since another process last reported the version it stores; it may be nil.
	ContactAge func() tiller.Millis
	// LinkWait returns how long an answer would currently wait for the VM's link; it may be nil.
	LinkWait func() tiller.Millis
}

// Forwarder is the HTTP handler of a node for callers and for other nodes.
type Forwarder struct {
	Options
	draining atomic.Bool
	// stopAt is when the connections will be closed, as tiller.Millis by Options.Clock; zero unless the node stops.
	stopAt     atomic.Int64
	lastShedAt atomic.Int64
	latency    metrics.Timer
	served     metrics.Counter
	refused    metrics.Counter
	retried    metrics.Counter
	stages     stages
	log        callLog
	maxWaits   *maxWaits
	freeShare  *freeShare
	crashes    crashCounter
	abandoned  abandonedRuns
	rateEvents rateEvents
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a Forwarder that registers its metrics in Options.Metrics.
func New(options Options) *Forwarder {
	metrics.NewRegisteredFunctionalGaugeFloat64("calls.rate_limit", options.Metrics, func() float64 {
		return float64(options.Limiter.Rate().OrElse(0))
	})

	return &Forwarder{
		Options:   options,
		latency:   metrics.GetOrRegisterTimer("calls.latency", options.Metrics),
		served:    metrics.GetOrRegisterCounter("calls.served", options.Metrics),
		refused:   metrics.GetOrRegisterCounter("calls.refused", options.Metrics),
		retried:   metrics.GetOrRegisterCounter("calls.retried", options.Metrics),
		stages:    newStages(options.Metrics),
		maxWaits:  newMaxWaits(),
		freeShare: &freeShare{share: 1},
		log:       callLog{log: options.Log, clock: options.Clock, contactAge: options.ContactAge},
	}
}

// BeginStop sets when the connections of callers and other nodes will be closed, by Options.Clock. The inbound proxy refuses attempts that may last
// longer, which other workers can run as well.
func (f *Forwarder) BeginStop(at tiller.Millis) { f.stopAt.Store(int64(at)) }

// Drain makes the inbound proxy refuse all new attempts as not run, and the outbound proxy those calls that may last until the node has stopped.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// outlastsStop reports whether a request may still be unanswered when the connections are closed.
func (f *Forwarder) outlastsStop(q *request) bool {
	at := tiller.Millis(f.stopAt.Load())

	return at > 0 && q.deadline+stopMargin > at
}

// checkStop refuses an attempt of a call that may last until the node has stopped.
func (f *Forwarder) checkStop(q *request) *tiller.CallError {
	if !f.draining.Load() || !f.outlastsStop(q) {
		return nil
	}

	return notRun(tiller.ReasonDraining, "the node stops before the call's time is over").WithUntried()
}

// stopMargin is the time for returning an answer before the connections are closed.
const stopMargin tiller.Millis = 100

// ServeHTTP serves a call of a caller, or an attempt that another node sent to this worker.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderAttempt) != "" {
		f.serveHop(w, r)

		return
	}

	f.serveTimed(w, r)
}

// CallerHandler returns the handler for callers only, for deployments in which nodes reach each other at a separate address.
func (f *Forwarder) CallerHandler() http.Handler { return http.HandlerFunc(f.serveTimed) }

// HopHandler returns the handler for attempts of other nodes only.
func (f *Forwarder) HopHandler() http.Handler { return http.HandlerFunc(f.serveHop) }

func (f *Forwarder) serveTimed(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	f.serveCaller(w, r)
	f.latency.UpdateSince(start)
}

// recordShed records at most one refusal per second as an event.
func (f *Forwarder) recordShed(err *tiller.CallError) {
	now := int64(f.Clock.Now())
	last := f.lastShedAt.Load()

	if now >= last+int64(tiller.Second) && f.lastShedAt.CompareAndSwap(last, now) {
		f.Recorder.Record(tiller.NewEvent(tiller.EventShed, err.Error()))
	}
}
