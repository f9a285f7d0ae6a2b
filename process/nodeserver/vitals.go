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
	// vitalsPeriod is how often a node logs the state of its configuration and its links.
	vitalsPeriod = 5 * time.Second

	median = 0.5
)

// vitals measures how far a node is behind the source and how loaded its link is.
type vitals struct {
	log      logr.Logger
	registry metrics.Registry
	// applyLag is the time from hearing of a newer version to applying it, roundTrip that of answered probes.
	applyLag  metrics.Timer
	roundTrip metrics.Timer
	behind    metrics.Gauge
	contact   metrics.Gauge
	hops      *meter.Meter
	callers   *meter.Meter
	last      map[string]int64
	// processor is the processor time that the process had used at the last report.
	processor time.Duration
}

func newVitals(registry metrics.Registry, log logr.Logger) *vitals {
	return &vitals{
		log: log, registry: registry,
		applyLag:  metrics.GetOrRegisterTimer("config.apply_lag", registry),
		roundTrip: metrics.GetOrRegisterTimer("control.round_trip", registry),
		behind:    metrics.GetOrRegisterGauge("config.behind_ms", registry),
		contact:   metrics.GetOrRegisterGauge("config.contact_age_ms", registry),
		hops:      meter.New("calls.hops", registry),
		callers:   meter.New("calls.callers", registry),
		last:      map[string]int64{},
	}
}

// note takes what a step of the core has measured.
func (v *vitals) note(effects node.Effects) {
	if lag, ok := effects.ApplyLag.Get(); ok {
		v.applyLag.Update(lag.Duration())
	}

	if took, ok := effects.RoundTrip.Get(); ok {
		v.roundTrip.Update(took.Duration())
	}
}

// report writes one line with the state of the node and what has passed its link since the last one.
func (v *vitals) report(version tiller.Version, behind, contact, linkWait tiller.Millis) {
	v.behind.Update(int64(behind))
	v.contact.Update(int64(contact))

	fields := []any{
		"version", version.String(), "behind_ms", int64(behind), "contact_age_ms", int64(contact), "link_wait_ms", int64(linkWait),
		"round_trip_p50_ms", time.Duration(v.roundTrip.Percentile(median)).Milliseconds(),
		"round_trip_max_ms", time.Duration(v.roundTrip.Max()).Milliseconds(),
	}

	log := v.log.WithValues("processor_ms", v.processorTime().Milliseconds())

	for _, name := range []string{
		"control.sent_bytes", "control.received_bytes", "control.lost_messages",
		"calls.hops.sent_bytes", "calls.hops.received_bytes", "calls.callers.sent_bytes", "calls.callers.received_bytes",
	} {
		log = log.WithValues(name, v.since(name))
	}

	log.Info("vitals", fields...)
}

// processorTime returns the processor time that the process has used since the last report, zero if the operating system does not tell.
func (v *vitals) processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	grown := used - v.processor
	v.processor = used

	return grown
}

// since returns by how much a counter has grown since the last report.
func (v *vitals) since(name string) int64 {
	count := metrics.GetOrRegisterCounter(name, v.registry).Count()
	grown := count - v.last[name]
	v.last[name] = count

	return grown
}

func (s *Server) contactAge() tiller.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.ContactAge()
}

// reportVitals logs how far the node is behind and what its link carries.
func (s *Server) reportVitals() {
	s.mu.Lock()
	version, behind, contact := s.core.Version(), s.core.Lag(), s.core.ContactAge()
	s.mu.Unlock()

	s.vitals.report(version, behind, contact, s.link.Wait())
}
