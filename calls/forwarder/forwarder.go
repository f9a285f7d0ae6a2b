// Package forwarder carries calls: from a caller to the node at the chosen worker, through that node's gate to the
// backend server, and the whole answer back.
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
	// Take waits for the decision on an attempt.
	Take(ctx context.Context, key claimer.Key, digest []byte, attempt string) claimer.Result
	// Finish tells how the attempt ended; it does not wait.
	Finish(key claimer.Key, digest []byte, attempt string, ran bool, answer *wire.Answer)
}

// Strikes tells the data centre of requests that were in flight when a backend server died.
type Strikes interface {
	// Announce waits until the data centre has heard, for a bounded time.
	Announce(ctx context.Context, digests []quarantiner.Digest, route string)
	// Lift clears a request that has now been served.
	Lift(d quarantiner.Digest)
}

// Target is the backend server on this VM.
type Target struct {
	address  tiller.Address
	instance string
	state    wire.BackendState
}

// NewTarget returns where a backend server listens, which start of it that is, and its state.
func NewTarget(address tiller.Address, instance string, state wire.BackendState) Target {
	return Target{address: address, instance: instance, state: state}
}

// Worker tells of the backend server on this VM.
type Worker interface {
	// Target returns the server as it is now.
	Target() Target
	// Refused notes that the server's port refused a connection.
	Refused()
}

// Options are the parts that a forwarder works with.
type Options struct {
	Name       tiller.Worker
	DataCentre tiller.DataCentre
	Clock      tiller.Clock
	Table      *atomic.Pointer[Table]
	Balancer   *balancer.Balancer
	Gate       *limiter.Gate
	Budget     *retrier.Budget
	Register   *quarantiner.Register
	Claims     Claims
	Strikes    Strikes
	Worker     Worker
	Hops       *exchanger.Exchanger
	Backends   *exchanger.Exchanger
	Recorder   tiller.Recorder
	Metrics    metrics.Registry
	// Service is what the worker on this VM offers.
	Service tiller.Service
	// Dialect is what callers and backend servers speak.
	Dialect tiller.Dialect
	// Splitter shares the calls of a route among its services.
	Splitter *balancer.Splitter
	// ConfirmCrashes makes a broken connection count as a crash only if the server's port refuses connections then.
	ConfirmCrashes bool
	// Log takes one line for each decision on a call.
	Log logr.Logger
	// ContactAge returns how long ago another process last told which version it holds; it may be nil.
	ContactAge func() tiller.Millis
	// LinkWait returns how long an answer would wait for the VM's link now; it may be nil.
	LinkWait func() tiller.Millis
}

// Forwarder is the HTTP handler of a node for callers and for other nodes.
type Forwarder struct {
	Options
	draining atomic.Bool
	shedAt   atomic.Int64
	latency  metrics.Timer
	served   metrics.Counter
	refused  metrics.Counter
	retried  metrics.Counter
	stages   stages
	log      callLog
	patience *patience
	asks     *askShare
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{
		Options:  options,
		latency:  metrics.GetOrRegisterTimer("calls.latency", options.Metrics),
		served:   metrics.GetOrRegisterCounter("calls.served", options.Metrics),
		refused:  metrics.GetOrRegisterCounter("calls.refused", options.Metrics),
		retried:  metrics.GetOrRegisterCounter("calls.retried", options.Metrics),
		stages:   newStages(options.Metrics),
		patience: newPatience(),
		asks:     &askShare{free: 1},
		log:      callLog{log: options.Log, clock: options.Clock, contactAge: options.ContactAge},
	}
}

// Drain makes the gate refuse new work as not run.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// ServeHTTP serves a caller, or another node that chose this worker.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(HeaderAttempt) != "" {
		f.serveHop(w, r)

		return
	}

	f.serveTimed(w, r)
}

// CallerHandler returns the handler for callers alone, for deployments where nodes have an address of their own.
func (f *Forwarder) CallerHandler() http.Handler { return http.HandlerFunc(f.serveTimed) }

// HopHandler returns the handler for other nodes alone.
func (f *Forwarder) HopHandler() http.Handler { return http.HandlerFunc(f.serveHop) }

func (f *Forwarder) serveTimed(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	f.serveCaller(w, r)
	f.latency.UpdateSince(start)
}

// noteShed puts at most one refusal a second on the time line.
func (f *Forwarder) noteShed(err *tiller.CallError) {
	now := int64(f.Clock.Now())
	last := f.shedAt.Load()

	if now >= last+int64(tiller.Second) && f.shedAt.CompareAndSwap(last, now) {
		f.Recorder.Record(tiller.NewEvent(tiller.EventShed, err.Error()))
	}
}
