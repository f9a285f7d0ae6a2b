package limiter

import (
	"cmp"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Demand is what a request asks of a gate.
type Demand struct {
	priority int
	deadline tiller.Millis
	aim      tiller.Millis
	kind     string
	noWait   bool
}

// NewDemand returns the demand of a request that nobody waits for after its deadline; lower priorities are served first.
func NewDemand(priority int, deadline tiller.Millis) Demand {
	return Demand{priority: priority, deadline: deadline}
}

// WithAim returns a copy that names the time by which an answer has its full worth.
func (d Demand) WithAim(aim tiller.Millis) Demand {
	d.aim = aim

	return d
}

// WithKind returns a copy that names requests of similar length, such as those of one route.
func (d Demand) WithKind(kind string) Demand {
	d.kind = kind

	return d
}

// WithoutWait returns a copy that is refused where no slot is free, so that it can look for one elsewhere.
func (d Demand) WithoutWait() Demand {
	d.noWait = true

	return d
}

// Ticket is a request that holds or awaits a slot.
type Ticket struct {
	demand  Demand
	queued  tiller.Millis
	started tiller.Millis
	// crowd is the number of requests in flight when this one started, itself included.
	crowd int
	late  bool
	grant func(*tiller.CallError)
}

// before orders waiting requests: by priority, then those that can still be answered in time, then by their latest start.
func (t *Ticket) before(o *Ticket, startBy func(*Ticket) tiller.Millis) int {
	return cmp.Or(
		cmp.Compare(t.demand.priority, o.demand.priority),
		compareBool(t.late, o.late),
		cmp.Compare(startBy(t), startBy(o)),
		cmp.Compare(t.queued, o.queued),
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
