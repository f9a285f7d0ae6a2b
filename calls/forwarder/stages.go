package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// stages holds the metrics of the stages of a call.
type stages struct {
	registry metrics.Registry
	// queue times the wait for a slot, hop an attempt at another node, worker a run on this VM's backend server.
	queue  metrics.Timer
	hop    metrics.Timer
	worker metrics.Timer
	// leaving times how long the backend server had been leaving when it was sent a request.
	leaving metrics.Timer
}

func newStages(registry metrics.Registry) stages {
	return stages{
		registry: registry,
		queue:    metrics.GetOrRegisterTimer("calls.queue", registry),
		hop:      metrics.GetOrRegisterTimer("calls.hop", registry),
		worker:   metrics.GetOrRegisterTimer("calls.worker", registry),
		leaving:  metrics.GetOrRegisterTimer("calls.to_leaving_server", registry),
	}
}

// refused counts a refusal by verdict and reason.
func (s stages) refused(err *tiller.CallError) {
	metrics.GetOrRegisterCounter("calls.refused."+err.Verdict().String()+"."+err.Reason().String(), s.registry).Inc(1)
}

// measure returns a function that records the time since the call of measure.
func measure(t metrics.Timer) func() {
	start := time.Now()

	return func() { t.UpdateSince(start) }
}
