package nodeserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// waiters hands results to the goroutines that wait for them.
type waiters[K comparable, V any] struct {
	mu      sync.Mutex
	waiting map[K]chan V
}

func (w *waiters[K, V]) add(k K) chan V {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.waiting == nil {
		w.waiting = map[K]chan V{}
	}

	c := make(chan V, 1)
	w.waiting[k] = c

	return c
}

func (w *waiters[K, V]) resolve(k K, v V) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if c := w.waiting[k]; c != nil {
		c <- v
		delete(w.waiting, k)
	}
}

func (w *waiters[K, V]) drop(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.waiting, k)
}

// claimAdapter lets the call path claim keys.
type claimAdapter Server

var _ forwarder.Claims = (*claimAdapter)(nil)

// Take waits for the claim group's decision.
func (d *claimAdapter) Take(ctx context.Context, key claimer.Key, digest []byte, attempt string) claimer.Result {
	s := (*Server)(d)
	result := s.claims.add(attempt)

	defer s.claims.drop(attempt)

	s.step(node.TakeClaim{Key: key, Digest: digest, Attempt: attempt})

	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return claimer.Result{}
	}
}

// Finish passes the outcome of an attempt to the claim group.
func (d *claimAdapter) Finish(key claimer.Key, digest []byte, attempt string, ran bool, answer *wire.Answer) {
	(*Server)(d).step(node.FinishClaim{Key: key, Digest: digest, Attempt: attempt, Ran: ran, Answer: answer})
}

// strikeAdapter lets the call path tell of crashes.
type strikeAdapter Server

var _ forwarder.Strikes = (*strikeAdapter)(nil)

// Announce waits until the data centre has heard of the crash, for a bounded time.
func (d *strikeAdapter) Announce(ctx context.Context, digests []quarantiner.Digest, route string) {
	s := (*Server)(d)
	token := s.token.Add(1)
	heard := s.strikes.add(token)

	defer s.strikes.drop(token)

	s.step(node.Strike{Token: token, Digests: digests, Route: route})

	select {
	case <-heard:
	case <-ctx.Done():
	}
}

// Lift clears a request that was served after a crash.
func (d *strikeAdapter) Lift(digest quarantiner.Digest) {
	s := (*Server)(d)
	if s.register.Has(digest) {
		s.step(node.Lift{Digest: digest})
	}
}

// workerAdapter tells the call path of the backend server.
type workerAdapter Server

var _ forwarder.Worker = (*workerAdapter)(nil)

// Target returns the backend server as it is now; one that drains still counts as ready while it may take work.
func (d *workerAdapter) Target() forwarder.Target {
	s := (*Server)(d)

	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.clock.Now()
	state := s.registrar.Backend(now).State

	if s.registrar.Accepts(now) {
		state = wire.BackendState_BACKEND_STATE_READY
	}

	address := s.registrar.Address()
	if s.settings.BackendAddress != "" {
		address = tiller.Address(s.settings.BackendAddress)
	}

	return forwarder.NewTarget(address, s.registrar.Instance(), state)
}

// Refused notes that the backend server's port refused a connection.
func (d *workerAdapter) Refused() {
	s := (*Server)(d)

	s.mu.Lock()
	s.registrar.Refused(s.clock.Now())
	s.mu.Unlock()
}

const maxAnnouncementBytes = 16 << 10

type announceReply struct {
	Faults []string `json:"faults,omitempty"`
}

// announce takes the backend server's announcements.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a registrar.Announcement

	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(&a); err != nil {
		replyJSON(w, http.StatusBadRequest, announceReply{Faults: []string{err.Error()}})

		return
	}

	if faults := s.Announce(a); len(faults) > 0 {
		replyJSON(w, http.StatusUnprocessableEntity, announceReply{Faults: faults})

		return
	}

	replyJSON(w, http.StatusOK, announceReply{})
}

// Announce takes what the backend server tells of itself, or returns every fault in it.
func (s *Server) Announce(a registrar.Announcement) []string {
	s.mu.Lock()
	faults := s.registrar.Announce(s.clock.Now(), a)
	s.mu.Unlock()

	if len(faults) > 0 {
		return faults
	}

	s.tick()

	if t := s.table.Load(); t != nil {
		s.mu.Lock()
		s.configureGate(t)
		s.mu.Unlock()
	}

	return nil
}

// Withdraw notes that one start of the backend server leaves; born is its Unix millisecond, zero if it does not tell.
func (s *Server) Withdraw(instance string, born int64) {
	s.mu.Lock()
	s.registrar.Withdraw(s.clock.Now(), instance, born)
	s.mu.Unlock()

	s.tick()
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)

	// A server that hung up announces itself again.
	_ = json.NewEncoder(w).Encode(v)
}

// inspector answers operators.
type inspector Server

var _ wire.Inspector = (*inspector)(nil)

// Inspect returns what is in force on the node.
func (i *inspector) Inspect(_ context.Context, _ *wire.InspectRequest) (*wire.InspectReply, error) {
	s := (*Server)(i)

	s.mu.Lock()
	defer s.mu.Unlock()

	r := &wire.InspectReply{
		Node: s.settings.Name, DataCentre: s.settings.DataCentre, Version: s.core.Version().Wire(), Items: s.core.Items(),
		Entries: s.core.Entries(), Confirmed: s.core.Confirmed(), Placements: s.core.Placements(),
	}

	for _, q := range s.register.List() {
		r.Quarantined = append(r.Quarantined, &wire.Strike{Digest: []byte(q.Digest()), Route: q.Route(), Count: uint32(q.Strikes())})
	}

	return r, nil
}

// Timeline returns the node's events.
func (i *inspector) Timeline(_ context.Context, q *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := i.ring.Since(recorder.Stamp(q.GetAfter()))

	return &wire.TimelineReply{Events: events, Dropped: dropped}, nil
}

// Lift ends the quarantine of a request in the data centre.
func (i *inspector) Lift(_ context.Context, q *wire.LiftRequest) (*wire.Empty, error) {
	s := (*Server)(i)
	d := quarantiner.Digest(q.GetDigest())

	s.step(node.Lift{Digest: d})
	s.ring.Record(tiller.NewEvent(tiller.EventLifted, "quarantine lifted by an operator", tiller.WithKey(d.String())))

	return &wire.Empty{}, nil
}
