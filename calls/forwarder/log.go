package forwarder

import (
	"net/http"

	"github.com/go-logr/logr"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// callLog writes the decisions on calls.
type callLog struct {
	log   logr.Logger
	clock tiller.Clock
	// contactAge tells how old the node's knowledge of the newest version is; it may be nil.
	contactAge func() tiller.Millis
}

// detailLevel is the level of lines about calls that went well.
const detailLevel = 1

// served tells of answers that come after the target latency or that the backend server failed; others only in detail.
func (l callLog) served(c *call, a *Answer) {
	message, line := "call served", l.log.V(detailLevel)

	switch now := l.clock.Now(); {
	case a.status >= http.StatusInternalServerError:
		message, line = "call failed by its backend server", l.log
	case c.request.aim > 0 && now > c.request.aim:
		message, line = "call served late", l.log
	}

	if line.Enabled() {
		line.Info(message, append(l.describe(c), "worker", string(a.worker), "status", a.status, "attempts", c.attempts.Made(),
			"took_ms", int64(l.clock.Now()-c.request.began), "queue_ms", int64(a.queued), "run_ms", int64(a.ran))...)
	}
}

// gateRefused tells why the gate of this worker refused an attempt that another node sent.
func (l callLog) gateRefused(q *request, err *tiller.CallError, load, limit int, pace tiller.Millis) {
	line := l.log

	// The sender asks elsewhere or comes back to wait; with many calls nearly each of them asks in vain once.
	if err.Reason() == tiller.ReasonNoSlot {
		line = line.V(detailLevel)
	}

	line.Info("attempt refused", "id", q.id, "cause", q.cause, "attempt", q.attempt, "route", q.route, "priority", q.priority,
		"time_left_ms", int64(q.deadline-l.clock.Now()), "verdict", err.Verdict().String(), "reason", err.Reason().String(),
		"detail", err.Detail(), "load", load, "limit", limit, "pace_ms", int64(pace))
}

func (l callLog) refused(c *call, err *tiller.CallError) {
	fields := append(l.describe(c),
		"verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail(), "retry_after_ms", int64(err.RetryAfter()))

	// A missing route may only be missing here.
	if err.Reason() == tiller.ReasonNoRoute && l.contactAge != nil {
		fields = append(fields, "contact_age_ms", int64(l.contactAge()))
	}

	l.log.Info("call refused", fields...)
}

func (l callLog) retried(c *call, at tiller.Backend, err *tiller.CallError) {
	l.log.Info("call retried", append(l.describe(c),
		"worker", string(at.Worker()), "verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail())...)
}

// ejected tells that a worker is left out after failures in a row, the last one of this call.
func (l callLog) ejected(c *call, worker tiller.Backend, span tiller.Millis) {
	l.log.Info("worker ejected", append(l.describe(c), "worker", string(worker.Worker()), "for_ms", int64(span))...)
}

// describe returns what every line about a call says.
func (l callLog) describe(c *call) []any {
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
