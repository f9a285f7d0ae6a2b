package controlserver

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// operator answers operators.
type operator Server

var _ wire.Operator = (*operator)(nil)

// Show returns the document in force and its history, on request only after a quorum has confirmed that it is the newest.
func (o *operator) Show(ctx context.Context, q *wire.ShowRequest) (*wire.ShowReply, error) {
	s := (*Server)(o)
	if !q.GetConfirm() {
		return s.show(), nil
	}

	return s.ShowNewest(ctx)
}

func (s *Server) show() *wire.ShowReply {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Show(s.clock.Now())
}

// ShowNewest returns the newest document, or an error where no quorum confirms that this controller leads.
func (s *Server) ShowNewest(ctx context.Context) (*wire.ShowReply, error) {
	if !s.confirm(ctx) {
		return nil, twirp.NewError(twirp.Unavailable, "no quorum confirms that this controller leads")
	}

	return s.show(), nil
}

// confirm waits until a quorum has confirmed that this controller leads.
func (s *Server) confirm(ctx context.Context) bool {
	s.mu.Lock()
	s.token++
	token := s.token
	confirmed := make(chan bool, 1)
	s.reading[token] = confirmed
	failed := s.failed != nil
	s.mu.Unlock()

	defer func() {
		s.mu.Lock()
		delete(s.reading, token)
		s.mu.Unlock()
	}()

	if failed {
		return false
	}

	s.step(controller.Read{Token: token})

	select {
	case ok := <-confirmed:
		return ok
	case <-ctx.Done():
		return false
	}
}

// Apply proposes an edit and waits for its outcome.
func (o *operator) Apply(ctx context.Context, e *wire.Edit) (*wire.ApplyReply, error) {
	return (*Server)(o).Apply(ctx, e), nil
}

// Apply proposes an edit and waits for its outcome; when the caller gives up first, the edit may still be accepted.
func (s *Server) Apply(ctx context.Context, e *wire.Edit) *wire.ApplyReply {
	token, reply := s.expect()
	s.step(controller.Edit{Token: token, Edit: e})

	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	}

	s.mu.Lock()
	delete(s.waiting, token)
	s.mu.Unlock()

	return &wire.ApplyReply{
		Verdict: tiller.VerdictMayHaveRun.String(), Advice: "no answer in time; send the same edit id again to learn the outcome",
	}
}

// Leader returns the address of the leading controller, empty if unknown.
func (s *Server) Leader() tiller.Address {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Leader()
}

// SetPeers replaces the controllers that the settings name.
func (s *Server) SetPeers(peers []tiller.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.core.SetPeers(peers)
}

// expect returns a token for an edit and where its answer will come.
func (s *Server) expect() (uint64, <-chan *wire.ApplyReply) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.token++
	reply := make(chan *wire.ApplyReply, 1)

	if s.failed != nil {
		reply <- &wire.ApplyReply{
			Verdict: tiller.VerdictNotRun.String(), Advice: "this controller's disk failed; send the same edit id to another controller",
		}
	} else {
		s.waiting[s.token] = reply
	}

	return s.token, reply
}

// Status returns what the controller knows.
func (o *operator) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return (*Server)(o).Status(), nil
}

// Timeline returns the controller's events.
func (o *operator) Timeline(_ context.Context, q *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := o.ring.Since(recorder.Stamp(q.GetAfter()))

	return &wire.TimelineReply{Events: events, Dropped: dropped}, nil
}

// Recover starts a new generation on a controller without a log from a version that the fleet still holds.
func (o *operator) Recover(_ context.Context, q *wire.RecoverRequest) (*wire.StatusReply, error) {
	s := (*Server)(o)
	if err := s.recover(q); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}

	return s.Status(), nil
}

func (s *Server) recover(q *wire.RecoverRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.core.Cluster() != "" {
		return errors.New("this controller belongs to a cluster; start it with an empty data folder")
	}

	if faults := arbiter.CheckItems(q.GetItems()); len(faults) > 0 {
		return errors.New("the version is not valid: " + faults[0])
	}

	// The new generation makes the version strictly greater than everything that was accepted before.
	version := tiller.NewVersion(q.GetVersion().GetGeneration()+1, 1, encoder.Hash(q.GetItems()))

	if err := s.journal.Close(); err != nil {
		return err
	}

	if err := seed(s.settings, arbiter.NewAt(version, q.GetItems(), q.GetPlacements())); err != nil {
		s.failed = err

		return err
	}

	if err := s.open(); err != nil {
		s.failed = err

		return err
	}

	s.ring.Record(tiller.NewEvent(tiller.EventRecovered, "new generation", tiller.WithVersion(version)))

	return nil
}
