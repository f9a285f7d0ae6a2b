package nodeserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// waiters delivers results to the goroutines that wait for them, by key.
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

func (w *waiters[K, V]) remove(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.waiting, k)
}

// claimAdapter implements forwarder.Claims.
type claimAdapter Server

var _ forwarder.Claims = (*claimAdapter)(nil)

// Acquire claims a key and waits for the claim group's decision; it returns the zero Result if the context ends first.
func (a *claimAdapter) Acquire(ctx context.Context, key claimer.Key, digest []byte, attempt string) claimer.Result {
	s := (*Server)(a)
	result := s.claims.add(attempt)

	defer s.claims.remove(attempt)

	s.step(node.AcquireClaim{Key: key, Digest: digest, Attempt: attempt})

	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return claimer.Result{}
	}
}

// Complete reports the outcome of an attempt to the claim group; it does not wait.
func (a *claimAdapter) Complete(key claimer.Key, digest []byte, attempt string, ran bool, answer *wire.Answer) {
	(*Server)(a).step(node.CompleteClaim{Key: key, Digest: digest, Attempt: attempt, Ran: ran, Answer: answer})
}

// crashReporterAdapter lets the call path report crashes of the backend server.
type crashReporterAdapter Server

var _ forwarder.CrashReporter = (*crashReporterAdapter)(nil)

// ReportCrash informs the peers of a request that was in flight in a crash. It waits until they have acknowledged the report, until the bounded
// wait for their acknowledgements is over, or until the context ends.
func (a *crashReporterAdapter) ReportCrash(ctx context.Context, crash uint64, digest quarantiner.Digest, route string) {
	s := (*Server)(a)
	token := s.lastToken.Add(1)
	acknowledged := s.crashReports.add(token)

	defer s.crashReports.remove(token)

	s.step(node.CrashReport{Token: token, Crash: crash, Digest: digest, Route: route})

	select {
	case <-acknowledged:
	case <-ctx.Done():
	}
}

// ClearStrikes clears the crash record of a request that has since been served.
func (a *crashReporterAdapter) ClearStrikes(digest quarantiner.Digest) {
	s := (*Server)(a)
	if s.crashRecords.Has(digest) {
		s.step(node.ClearStrikes{Digest: digest})
	}
}

// backendServerAdapter implements forwarder.BackendServer.
type backendServerAdapter Server

var _ forwarder.BackendServer = (*backendServerAdapter)(nil)

// Target returns the current state of the backend server; a draining one counts as ready as long as it may be given work.
func (a *backendServerAdapter) Target() forwarder.Target {
	s := (*Server)(a)

	s.mu.Lock()
	defer s.mu.Unlock()

	return s.target()
}

// target returns the current state of the backend server. The caller holds the lock.
func (s *Server) target() forwarder.Target {
	now := s.clock.Now()
	state := s.registrar.Backend(now).State

	if s.registrar.Accepts(now) {
		state = wire.BackendState_BACKEND_STATE_READY
	}

	address := s.registrar.Address()
	if s.settings.BackendAddress != "" {
		address = tiller.Address(s.settings.BackendAddress)
	}

	return forwarder.NewTarget(address, s.registrar.Instance(), state).WithStart(s.registrar.Start()).WithLeavingFor(s.registrar.LeavingFor(now))
}

// ReportRefused records that the backend server's port refused a connection.
func (a *backendServerAdapter) ReportRefused() {
	s := (*Server)(a)

	s.mu.Lock()
	s.registrar.ConnectionRefused(s.clock.Now())
	s.mu.Unlock()
}

// ReportLeaving records that a start of the backend server is leaving and tells the peers.
func (a *backendServerAdapter) ReportLeaving(start string, learnt bool) {
	s := (*Server)(a)

	s.mu.Lock()
	news := s.registrar.Leave(s.clock.Now(), start, learnt)
	s.mu.Unlock()

	if news {
		s.options.Log.Info("backend server states that it is leaving", "start", start, "learnt_from_peer", learnt)
		s.tick()
	}
}

const maxAnnouncementBytes = 16 << 10

type announceReply struct {
	Faults []string `json:"faults,omitempty"`
}

// announce handles announcements that the backend server posts over HTTP.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a registrar.Announcement

	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(&a); err != nil {
		replyJSON(w, http.StatusBadRequest, announceReply{Faults: []string{err.Error()}})

		return
	}

	faults, err := s.Announce(r.Context(), a)

	switch {
	case len(faults) > 0:
		replyJSON(w, http.StatusUnprocessableEntity, announceReply{Faults: faults})

		return
	case err != nil:
		replyJSON(w, http.StatusServiceUnavailable, announceReply{Faults: []string{err.Error()}})

		return
	}

	replyJSON(w, http.StatusOK, announceReply{})
}

// ErrNotReplicated means that a node has recorded that its backend server leaves, but could not store this at enough other nodes to keep it
// over a restart.
var ErrNotReplicated = eris.New("too few other nodes could be told that the backend server leaves")

// ErrInvalidWithdrawal means that a withdrawal was refused because no start of a server can be meant.
var ErrInvalidWithdrawal = eris.New("the withdrawal names no possible start of a server")

// Announce applies an announcement of the backend server, or returns every fault in it and applies nothing. It returns ErrNotReplicated if
// the server leaves and that may be forgotten when this node restarts.
func (s *Server) Announce(ctx context.Context, a registrar.Announcement) ([]string, error) {
	if faults := s.register(a); len(faults) > 0 {
		return faults, nil
	}

	s.tick()

	if t := s.table.Load(); t != nil {
		s.mu.Lock()
		s.configureLimiter(t)
		s.mu.Unlock()
	}

	if !a.Leaves() {
		return nil, nil
	}

	return nil, s.replicateEntry(ctx)
}

// register gives an announcement to the registrar, and returns every fault in it.
func (s *Server) register(a registrar.Announcement) []string {
	s.mu.Lock()
	ignored, previous, start := s.registrar.Ignored(), s.registrar.Latest(), s.registrar.Start()
	target, aliveAt := s.target(), s.registrar.AnnouncedAt()
	faults := s.registrar.Announce(s.clock.Now(), a)
	ignored = s.registrar.Ignored() - ignored
	restarted := start != "" && s.registrar.Start() != start
	s.mu.Unlock()

	if ignored > 0 {
		s.options.Log.Info("announcement ignored", "instance", a.Instance, "born", a.StartedAtMs, "sequence", a.Sequence, "state", a.State)
	}

	if !restarted {
		return faults
	}

	if a.Instance == previous.Instance && a.StartedAtMs < previous.StartedAtMs {
		s.options.Log.Info("worker started again with an earlier clock", "instance", a.Instance, "born", a.StartedAtMs,
			"previous_born", previous.StartedAtMs)
	}

	s.forwarder.ReportRestart(target, aliveAt)

	return nil
}

// Withdraw records that one instance of the backend server is leaving; born is the instance's start in Unix milliseconds, zero if unknown.
// It returns ErrInvalidWithdrawal if no server can have such a start, and ErrNotReplicated if the withdrawal may be forgotten when this node
// restarts.
func (s *Server) Withdraw(ctx context.Context, instance string, born int64) error {
	s.mu.Lock()

	if faults := s.registrar.CheckStart(instance, born); len(faults) > 0 {
		s.mu.Unlock()

		return eris.Wrap(ErrInvalidWithdrawal, strings.Join(faults, "; "))
	}

	if born == 0 && instance != s.registrar.Instance() {
		// A node that has restarted may not know the instance. All its starts up to now are meant.
		born = time.Now().UnixMilli()
	}

	s.registrar.Withdraw(s.clock.Now(), instance, born)
	s.mu.Unlock()

	s.tick()

	return s.replicateEntry(ctx)
}

// replicateEntry waits until enough other nodes store the node's membership entry.
func (s *Server) replicateEntry(ctx context.Context) error {
	token := s.lastToken.Add(1)
	stored := s.replications.add(token)

	defer s.replications.remove(token)

	startedAt := s.clock.Now()
	s.step(node.ReplicateEntry{Token: token})

	select {
	case r := <-stored:
		if !r.Stored {
			return ErrNotReplicated
		}

		s.options.Log.Info("leaving of the worker acknowledged", "took_ms", int64(s.clock.Now()-startedAt), "stored_by_controllers", r.Archived)

		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrNotReplicated, ctx.Err().Error())
	}
}

func replyJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)

	// The error is ignored: a backend server that closed the connection announces itself again.
	_ = json.NewEncoder(w).Encode(v)
}

// inspector implements wire.Inspector for operators.
type inspector Server

var _ wire.Inspector = (*inspector)(nil)

// Inspect returns the configuration, membership and quarantine in force on the node.
func (i *inspector) Inspect(_ context.Context, _ *wire.InspectRequest) (*wire.InspectReply, error) {
	s := (*Server)(i)

	s.mu.Lock()
	defer s.mu.Unlock()

	r := &wire.InspectReply{
		Node: s.settings.Name, DataCentre: s.settings.DataCentre, Version: s.core.Version().Wire(), Items: s.core.Items(),
		Entries: s.core.Entries(), Confirmed: s.core.Confirmed(), Placements: s.core.Placements(),
	}

	for _, q := range s.crashRecords.List() {
		r.Quarantined = append(r.Quarantined, &wire.Strike{Digest: []byte(q.Digest()), Route: q.Route(), Count: uint32(q.Strikes())})
	}

	return r, nil
}

// Timeline returns the node's events after a stamp.
func (i *inspector) Timeline(_ context.Context, q *wire.TimelineRequest) (*wire.TimelineReply, error) {
	events, dropped := i.ring.Since(recorder.Stamp(q.GetAfter()))

	return &wire.TimelineReply{Events: events, Dropped: dropped}, nil
}

// Lift ends the quarantine of a request on all nodes.
func (i *inspector) Lift(_ context.Context, q *wire.LiftRequest) (*wire.Empty, error) {
	s := (*Server)(i)
	d := quarantiner.Digest(q.GetDigest())

	s.step(node.ClearStrikes{Digest: d})
	s.ring.Record(tiller.NewEvent(tiller.EventLifted, "quarantine lifted by an operator", tiller.WithKey(d.String())))

	return &wire.Empty{}, nil
}
