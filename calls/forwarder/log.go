package forwarder

import (
	"github.com/go-logr/logr"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// callLog writes the decisions on calls.
type callLog struct {
	log   logr.Logger
	clock tiller.Clock
}

// detailLevel is the level of lines about calls that went well.
const detailLevel = 1

func (l callLog) served(c *call, a *Answer) {
	if v := l.log.V(detailLevel); v.Enabled() {
		v.Info("call served", append(l.describe(c), "worker", string(a.worker), "status", a.status)...)
	}
}

func (l callLog) refused(c *call, err *tiller.CallError) {
	l.log.Info("call refused", append(l.describe(c),
		"verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail(), "retry_after_ms", int64(err.RetryAfter()))...)
}

func (l callLog) retried(c *call, at tiller.Backend, err *tiller.CallError) {
	l.log.Info("call retried", append(l.describe(c),
		"worker", string(at.Worker()), "verdict", err.Verdict().String(), "reason", err.Reason().String(), "detail", err.Detail())...)
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
