package nodeserver

import (
	"fmt"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// announceBackend reports the state of the backend server to the core and records an event if the state has changed.
func (s *Server) announceBackend() {
	s.stepWith(func() node.Input {
		b := s.sharedBackend()
		if b.State != s.core.Self().GetState() {
			s.ring.Record(tiller.NewEvent(backendEvent(b.State), "backend server is "+tiller.StateName(b.State)+", "+describe(s.registrar.Latest())))
		}

		return node.Announce{Backend: b}
	})
}

// describe names the announcement that a state of the backend server follows from.
func describe(a registrar.Announcement) string {
	return fmt.Sprintf("announced by %q, born %d, with sequence %d", a.Instance, a.StartedAtMs, a.Sequence)
}

// sharedBackend returns the state of the backend server that other nodes are told. The caller holds the lock.
func (s *Server) sharedBackend() detector.Backend {
	b := s.registrar.Backend(s.clock.Now())
	if s.drained {
		b.State = wire.BackendState_BACKEND_STATE_DRAINING
	}

	return b
}

func backendEvent(state wire.BackendState) tiller.EventKind {
	switch state {
	case wire.BackendState_BACKEND_STATE_READY:
		return tiller.EventReady
	case wire.BackendState_BACKEND_STATE_DRAINING:
		return tiller.EventDrained
	case wire.BackendState_BACKEND_STATE_GONE:
		return tiller.EventGone
	default:
		return tiller.EventAnnounced
	}
}

// refuseWaiting refuses the requests that wait for a slot once a leaving backend server accepts no more.
func (s *Server) refuseWaiting() {
	s.mu.Lock()
	now := s.clock.Now()
	left := s.registrar.Leaving() && !s.registrar.Accepts(now)
	s.mu.Unlock()

	if left {
		s.limiter.WithCore(func(c *limiter.Core) { c.RefuseAll(now, tiller.ReasonDraining, "the worker is leaving") })
	}
}
