package limiter

import (
	"cmp"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Demand describes a request that asks for a slot.
type Demand struct {
	priority     int
	deadline     tiller.Millis
	softDeadline tiller.Millis
	kind         string
	noWait       bool
}

// NewDemand returns the demand of a request whose caller stops waiting at the deadline. Lower priority values are served first.
func NewDemand(priority int, deadline tiller.Millis) Demand {
	return Demand{priority: priority, deadline: deadline}
}

// WithSoftDeadline returns a copy with a soft deadline: the time up to which an answer has its full value.
func (d Demand) WithSoftDeadline(softDeadline tiller.Millis) Demand {
	d.softDeadline = softDeadline

	return d
}

// WithKind returns a copy with the name of a group of requests of similar latency, such as those of one route.
func (d Demand) WithKind(kind string) Demand {
	d.kind = kind

	return d
}

// WithoutWait returns a copy that is refused instead of queued if no slot is free, so that the caller can try another worker.
func (d Demand) WithoutWait() Demand {
	d.noWait = true

	return d
}

// Ticket represents a request that holds or waits for a slot.
type Ticket struct {
	demand    Demand
	queuedAt  tiller.Millis
	startedAt tiller.Millis
	// concurrency is the number of requests in flight when this one started, including itself.
	concurrency int
	// late is set if the request can no longer meet its soft deadline.
	late   bool
	notify func(*tiller.CallError)
}

// before compares two waiting requests: by priority, then those that can still meet their soft deadline first, then by latest start.
func (t *Ticket) before(o *Ticket, latestStart func(*Ticket) tiller.Millis) int {
	return cmp.Or(
		cmp.Compare(t.demand.priority, o.demand.priority),
		compareBool(t.late, o.late),
		cmp.Compare(latestStart(t), latestStart(o)),
		cmp.Compare(t.queuedAt, o.queuedAt),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
