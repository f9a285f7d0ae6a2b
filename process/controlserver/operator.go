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

// operator implements wire.Operator.
type operator Server

var _ wire.Operator = (*operator)(nil)

// Show returns the document in force and its history. If the request asks for confirmation, Show first waits until a quorum has confirmed that
// this controller leads, and returns an error if none does.
func (o *operator) Show(ctx context.Context, q *wire.ShowRequest) (*wire.ShowReply, error) {
	s := (*Server)(o)
	if !q.GetConfirm() {
		return s.show(), nil
	}

	return s.ShowLatest(ctx)
}

func (s *Server) show() *wire.ShowReply {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Show(s.clock.Now())
}

// ShowLatest returns the latest document and its history. It returns the Twirp error Unavailable if no quorum confirms that this controller
// leads.
func (s *Server) ShowLatest(ctx context.Context) (*wire.ShowReply, error) {
	if !s.confirmLeadership(ctx) {
		return nil, twirp.NewError(twirp.Unavailable, "no quorum confirms that this controller leads")
	}

	return s.show(), nil
}

// confirmLeadership waits for a quorum's confirmation and reports whether it was given before the context ended.
func (s *Server) confirmLeadership(ctx context.Context) bool {
	s.mu.Lock()
	s.lastToken++
	token := s.lastToken
	confirmed := make(chan bool, 1)
	s.pendingReads[token] = confirmed
	failed := s.failure != nil
	s.mu.Unlock()

	defer func() {
		s.mu.Lock()
		delete(s.pendingReads, token)
		s.mu.Unlock()
	}()

	if failed {
		return false
	}

	s.step(controller.ConfirmRead{Token: token})

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

// Apply proposes an edit and waits for its outcome. If the context ends first, the verdict is "may have run": the edit may still be accepted.
func (s *Server) Apply(ctx context.Context, e *wire.Edit) *wire.ApplyReply {
	token, reply := s.registerEdit()
	s.step(controller.Edit{Token: token, Edit: e})

	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	}

	s.mu.Lock()
	delete(s.pendingEdits, token)
	s.mu.Unlock()

	return &wire.ApplyReply{
		Verdict: tiller.VerdictMayHaveRun.String(), Advice: "no answer in time; send the same edit id again to learn the outcome",
	}
}

// Leader returns the address of the leading controller, empty if none is known.
func (s *Server) Leader() tiller.Address {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Leader()
}

// SetPeers replaces the addresses of the other controllers given in the settings.
func (s *Server) SetPeers(peers []tiller.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.core.SetPeers(peers)
}

// registerEdit returns a token for an edit and the channel that its reply will arrive on.
func (s *Server) registerEdit() (uint64, <-chan *wire.ApplyReply) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.lastToken++
	reply := make(chan *wire.ApplyReply, 1)

	if s.failure != nil {
		reply <- &wire.ApplyReply{
			Verdict: tiller.VerdictNotRun.String(), Advice: "this controller's disk failed; send the same edit id to another controller",
		}
	} else {
		s.pendingEdits[s.lastToken] = reply
	}

	return s.lastToken, reply
}

// Status returns the controller's view of the cluster and the fleet.
func (o *operator) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return (*Server)(o).Status(), nil
}

// Timeline returns the controller's events after a stamp.
func (o *operator) Timeline(_ context.Context, q *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := o.ring.Since(recorder.Stamp(q.GetAfter()))

	return &wire.TimelineReply{Events: events, Dropped: dropped}, nil
}

// Recover starts a new generation, on a controller without a log, from a version that the fleet still stores.
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

	if faults := arbiter.ValidateItems(q.GetItems()); len(faults) > 0 {
		return errors.New("the version is not valid: " + faults[0])
	}

	// The higher generation orders the recovered version after every version accepted before.
	version := tiller.NewVersion(q.GetVersion().GetGeneration()+1, 1, encoder.Hash(q.GetItems()))

	if err := s.journal.Close(); err != nil {
		return err
	}

	if err := createCluster(s.settings, arbiter.NewRecovered(version, q.GetItems(), q.GetPlacements())); err != nil {
		s.failure = err

		return err
	}

	if err := s.open(); err != nil {
		s.failure = err

		return err
	}

	s.ring.Record(tiller.NewEvent(tiller.EventRecovered, "new generation", tiller.WithVersion(version)))

	return nil
}
