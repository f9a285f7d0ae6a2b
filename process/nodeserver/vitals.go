package nodeserver

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/meter"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
)

const (
	// vitalsPeriod is how often a node logs its configuration lag and the traffic on its link.
	vitalsPeriod = 5 * time.Second

	median = 0.5
)

// vitals measures a node's configuration lag and link load and logs them periodically.
type vitals struct {
	log      logr.Logger
	registry metrics.Registry
	// applyLag is the time from learning of a newer version to applying it.
	applyLag metrics.Timer
	// roundTrip is the round-trip time of answered probes.
	roundTrip  metrics.Timer
	lag        metrics.Gauge
	contactAge metrics.Gauge
	hops       *meter.Meter
	callers    *meter.Meter
	lastCounts map[string]int64
	// lastProcessorTime is the processor time that the process had used at the last report.
	lastProcessorTime time.Duration
}

func newVitals(registry metrics.Registry, log logr.Logger) *vitals {
	return &vitals{
		log: log, registry: registry,
		applyLag:   metrics.GetOrRegisterTimer("config.apply_lag", registry),
		roundTrip:  metrics.GetOrRegisterTimer("control.round_trip", registry),
		lag:        metrics.GetOrRegisterGauge("config.behind_ms", registry),
		contactAge: metrics.GetOrRegisterGauge("config.contact_age_ms", registry),
		hops:       meter.New("calls.hops", registry),
		callers:    meter.New("calls.callers", registry),
		lastCounts: map[string]int64{},
	}
}

// record updates the timers with the measurements of one step of the core.
func (v *vitals) record(effects node.Effects) {
	if lag, ok := effects.ApplyLag.Get(); ok {
		v.applyLag.Update(lag.Duration())
	}

	if took, ok := effects.RoundTrip.Get(); ok {
		v.roundTrip.Update(took.Duration())
	}
}

// report logs one line with the state of the node and the traffic on its link since the last report.
func (v *vitals) report(version tiller.Version, lag, contactAge, linkWait tiller.Millis) {
	v.lag.Update(int64(lag))
	v.contactAge.Update(int64(contactAge))

	fields := []any{
		"version", version.String(), "behind_ms", int64(lag), "contact_age_ms", int64(contactAge), "link_wait_ms", int64(linkWait),
		"round_trip_p50_ms", time.Duration(v.roundTrip.Percentile(median)).Milliseconds(),
		"round_trip_max_ms", time.Duration(v.roundTrip.Max()).Milliseconds(),
	}

	log := v.log.WithValues("processor_ms", v.processorTime().Milliseconds())

	for _, name := range []string{
		"control.sent_bytes", "control.received_bytes", "control.lost_messages",
		"calls.hops.sent_bytes", "calls.hops.received_bytes", "calls.callers.sent_bytes", "calls.callers.received_bytes",
	} {
		log = log.WithValues(name, v.increase(name))
	}

	log.Info("vitals", fields...)
}

// processorTime returns the processor time used by the process since the last report, zero if unknown.
func (v *vitals) processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	increase := used - v.lastProcessorTime
	v.lastProcessorTime = used

	return increase
}

// increase returns by how much a counter has grown since the last report.
func (v *vitals) increase(name string) int64 {
	count := metrics.GetOrRegisterCounter(name, v.registry).Count()
	increase := count - v.lastCounts[name]
	v.lastCounts[name] = count

	return increase
}

func (s *Server) contactAge() tiller.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.ContactAge()
}

// reportVitals logs the node's configuration lag and link load.
func (s *Server) reportVitals() {
	s.mu.Lock()
	version, lag, contactAge := s.core.Version(), s.core.Lag(), s.core.ContactAge()
	s.mu.Unlock()

	s.vitals.report(version, lag, contactAge, s.link.QueueDelay())
}
