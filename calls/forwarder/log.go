package forwarder

import (
	"net/http"

	"github.com/go-logr/logr"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// callLog logs the decisions on calls.
type callLog struct {
	log   logr.Logger
	clock tiller.Clock
	// contactAge returns how old the node's information about the latest version is; it may be nil.
	contactAge func() tiller.Millis
}

// verboseLevel is the log level of lines about calls that succeeded in time and about refused no-wait attempts.
const verboseLevel = 1

// served logs answers that miss the soft deadline or have a status of 500 or above; others only at verboseLevel.
func (l callLog) served(c *call, a *Answer) {
	message, line := "call served", l.log.V(verboseLevel)

	switch now := l.clock.Now(); {
	case a.status >= http.StatusInternalServerError:
		message, line = "call failed by its backend server", l.log
	case c.request.softDeadline > 0 && now > c.request.softDeadline:
		message, line = "call served late", l.log
	}

	if line.Enabled() {
		line.Info(message, append(l.callFields(c), "worker", string(a.worker), "status", a.status, "attempts", c.attempts.Attempts(),
			"took_ms", int64(l.clock.Now()-c.request.arrivedAt), "search_ms", int64(c.attemptedAt-c.request.arrivedAt),
			"busy_workers", c.busyWorkers, "queue_ms", int64(a.queued), "run_ms", int64(a.ran))...)
	}
}

// attemptRefused logs why this worker's inbound proxy refused an attempt of another node.
func (l callLog) attemptRefused(q *request, err *tiller.CallError, load, limit int, meanLatency tiller.Millis) {
	line := l.log

	// The sender goes on to another worker or comes back to wait. Under load nearly every call is refused this way once.
	if err.Reason() == tiller.ReasonNoSlot {
		line = line.V(verboseLevel)
	}

	line.Info("attempt refused", "id", q.id, "cause", q.cause, "attempt", q.attempt, "route", q.route, "priority", q.priority,
		"time_left_ms", int64(q.deadline-l.clock.Now()), "verdict", err.Verdict().String(), "reason", err.Reason().String(),
		"detail", err.Detail(), "load", load, "limit", limit, "pace_ms", int64(meanLatency))
}

// sentToLeavingServer logs a request that is sent to a backend server which has been leaving for a time.
func (l callLog) sentToLeavingServer(q *request, leavingFor tiller.Millis) {
	l.log.Info("request sent to a leaving server", "id", q.id, "cause", q.cause, "attempt", q.attempt, "route", q.route, "leaving_ms", int64(leavingFor))
}

func (l callLog) refused(c *call, err *tiller.CallError) {
	fields := append(l.callFields(c),
		"verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail(), "retry_after_ms", int64(err.RetryAfter()))

	// The route may exist in a later version that this node does not have yet.
	if err.Reason() == tiller.ReasonNoRoute && l.contactAge != nil {
		fields = append(fields, "contact_age_ms", int64(l.contactAge()))
	}

	l.log.Info("call refused", fields...)
}

func (l callLog) retried(c *call, backend tiller.Backend, err *tiller.CallError) {
	l.log.Info("call retried", append(l.callFields(c),
		"worker", string(backend.Worker()), "verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail())...)
}

// ejected logs that a worker is ejected after consecutive failures, the last of which was an attempt of this call.
func (l callLog) ejected(c *call, backend tiller.Backend, duration tiller.Millis) {
	l.log.Info("worker ejected", append(l.callFields(c), "worker", string(backend.Worker()), "for_ms", int64(duration))...)
}

// callFields returns the fields that every line about a call includes.
func (l callLog) callFields(c *call) []any {
	q := c.request
	fields := []any{"id", q.id, "cause", q.cause}

	if c.table == nil {
		return fields
	}

	fields = append(fields, "version", c.table.Version().String())
	if q.route == "" {
		return fields
	}

	return append(fields, "route", q.route, "service", string(q.service), "priority", q.priority, "time_left_ms", int64(q.deadline-l.clock.Now()))
}
