// Package controlserver runs a controller: it drives the state machine of package controller with a journal, sockets and timers.
package controlserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/monitor"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/controller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	tickPeriod        = 20 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Options holds the parts of a server's environment that do not come from its settings file.
type Options struct {
	// Filter decides which messages may pass between two addresses; nil allows all.
	Filter transporter.Filter
	// Log receives log lines.
	Log logr.Logger
	// Metrics is where metrics are registered.
	Metrics metrics.Registry
	// WrapJournal returns a wrapper of the journal, such as one that injects faults; nil means none.
	WrapJournal func(tiller.Journal) tiller.Journal
}

// Server is a running controller.
type Server struct {
	settings Settings
	options  Options
	clock    tiller.Clock
	ring     *recorder.Ring

	mu      sync.Mutex
	core    *controller.Core
	journal tiller.Journal
	member  *wire.Member
	failure error
	// diskRetryAt is the earliest time to reopen a failed disk.
	diskRetryAt  tiller.Millis
	stopped      bool
	lastToken    uint64
	pendingEdits map[uint64]chan *wire.ApplyReply
	pendingReads map[uint64]chan bool

	archive *archiveKeeper
	// voters are the addresses of the voting controllers.
	voters atomic.Pointer[[]string]

	transport *transporter.Transporter
	http      *http.Server
	listener  net.Listener
	// monitorListener listens on the metrics address, nil if none is set.
	monitorListener net.Listener
	monitor         *http.Server
	syncTime        metrics.Timer
}

// New returns a controller with its data folder and sockets open.
func New(settings Settings, options Options) (*Server, error) {
	hybrid := recorder.NewHybridClock(tiller.WallClock())
	s := &Server{
		settings: settings, options: options, clock: tiller.BootClock(),
		ring:         recorder.New(settings.Name, tiller.DataCentre(settings.DataCentre), hybrid, recorder.WithLog(options.Log)),
		pendingEdits: map[uint64]chan *wire.ApplyReply{},
		pendingReads: map[uint64]chan bool{},
		syncTime:     metrics.GetOrRegisterTimer("journal.sync", options.Metrics),
	}

	if err := s.open(); err != nil {
		return nil, err
	}

	transport, err := transporter.New(
		tiller.Address(settings.Address), settings.BindHost, hybrid, options.Filter, options.Metrics, nil, options.Log,
	)
	if err != nil {
		return nil, errors.Join(err, s.journal.Close())
	}

	s.transport = transport
	transport.SetReceiver(tiller.ReceiverFunc(s.receive))

	s.openArchive()

	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", transporter.ListenAddress(settings.Address, settings.BindHost))
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "listen"), s.journal.Close(), transport.Close(context.Background()))
	}

	if settings.MetricsAddress != "" {
		s.monitorListener, err = (&net.ListenConfig{}).Listen(
			context.Background(), "tcp", transporter.ListenAddress(settings.MetricsAddress, settings.BindHost),
		)
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "listen"), s.journal.Close(), transport.Close(context.Background()), s.listener.Close())
		}
	}

	s.buildHandlers()

	return s, nil
}

// openArchive opens the store of the nodes' withdrawals and crash records.
func (s *Server) openArchive() {
	s.archive = newArchiveKeeper(s.settings.DataFolder, s.clock, s.options.Log, s.options.Metrics)
	s.archive.send = s.transport.Send
	s.archive.voters = func() []string { return *s.voters.Load() }
	s.updateVoters()
}

// receive handles a message of another process.
func (s *Server) receive(e *wire.Envelope) {
	if e.GetWithdrawalSync() != nil || e.GetCrashRecords() != nil {
		s.archive.receive(e)

		return
	}

	s.step(controller.Receive{Envelope: e})
}

// tick advances the timers.
func (s *Server) tick() {
	s.step(controller.Tick{})
	s.updateVoters()
}

func (s *Server) updateVoters() {
	s.mu.Lock()
	defer s.mu.Unlock()

	voters := s.core.Voters()
	s.voters.Store(&voters)
}

// open opens the journal and restores the core from it.
func (s *Server) open() error {
	if slices.Contains(s.settings.InitialVoters, s.settings.Address) {
		if err := formCluster(s.settings); err != nil {
			return err
		}
	}

	journal, restored, err := journaler.Open(s.settings.DataFolder)
	if err != nil {
		return err
	}

	s.journal = journal
	s.member = newMember(s.settings, journal.Identity())

	s.core, err = controller.New(s.member, transporter.Addresses(s.settings.Peers),
		replicator.NewTiming(tiller.Millis(s.settings.HeartbeatMs)), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), restored)
	if err != nil {
		return errors.Join(err, journal.Close())
	}

	if s.options.WrapJournal != nil {
		s.journal = s.options.WrapJournal(journal)
	}

	return nil
}

func (s *Server) buildHandlers() {
	mux := http.NewServeMux()
	s.transport.Register(mux)
	mux.Handle(wire.OperatorPathPrefix, wire.NewOperatorServer((*operator)(s)))
	monitor.Register(mux, s.options.Metrics, s.notReadyReason)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	monitorMux := http.NewServeMux()
	monitor.Register(monitorMux, s.options.Metrics, s.notReadyReason)
	s.monitor = &http.Server{Handler: monitorMux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// notReadyReason returns why the controller cannot serve, or an empty string if it is ready.
func (s *Server) notReadyReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.failure != nil:
		return "out of service: " + s.failure.Error()
	case s.core.Cluster() == "":
		return "not yet taken in by the other controllers"
	case s.core.Leader() == "":
		return "no leader is known"
	default:
		return ""
	}
}

// step advances the core by one input. It sends messages and replies only after the records of the step are durable.
func (s *Server) step(input controller.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.failure != nil && !s.reopenDisk() {
		return
	}

	effects, err := s.advance(input)
	if err != nil {
		s.fail(err)

		return
	}

	s.ring.Record(effects.Events...)
	s.transport.Send(effects.Messages...)

	for _, r := range effects.Replies {
		s.answer(r.Token(), r.Message())
	}

	s.answerReads(effects.Confirmed, true)
	s.answerReads(effects.Unconfirmed, false)
}

func (s *Server) answerReads(tokens []uint64, confirmed bool) {
	for _, token := range tokens {
		if c := s.pendingReads[token]; c != nil {
			c <- confirmed
			delete(s.pendingReads, token)
		}
	}
}

// advance advances the core and makes the records of the step durable. After an error, which a panic of the core is too, the core may differ
// from the disk and must be restored from it.
func (s *Server) advance(input controller.Input) (effects controller.Effects, err error) {
	defer runner.Recover(&err)

	effects = s.core.Step(s.clock.Now(), input)

	return effects, s.persist(effects)
}

func (s *Server) persist(e controller.Effects) error {
	if e.Record != nil {
		start := time.Now()
		if err := s.journal.Append(e.Record); err != nil {
			return err
		}

		s.syncTime.UpdateSince(start)
	}

	if e.Snapshot != nil {
		return s.journal.SaveSnapshot(e.Snapshot, s.core.HardState(), s.core.Tail())
	}

	return nil
}

// diskRetryPeriod is the period of the attempts to reopen a failed disk.
const diskRetryPeriod = tiller.Second

// reopenDisk reopens the journal and restores the core, as a restart does, and reports whether the controller participates again. It tries at
// most once per diskRetryPeriod.
func (s *Server) reopenDisk() bool {
	now := s.clock.Now()
	if s.stopped || now < s.diskRetryAt {
		return false
	}

	s.diskRetryAt = now + diskRetryPeriod

	// The failed journal is discarded, so an error from closing it does not matter.
	_ = s.journal.Close()

	if err := s.open(); err != nil {
		s.options.Log.Info("reopening the disk failed", "error", err.Error())

		return false
	}

	s.failure = nil
	s.options.Log.Info("disk recovered; this controller participates again")
	s.ring.Record(tiller.NewEvent(tiller.EventRecovered, "the disk recovered"))

	return true
}

// fail takes the controller out of service and answers all pending requests: what the disk has stored is unknown, and the other controllers
// continue without this one.
func (s *Server) fail(err error) {
	s.failure = err
	s.diskRetryAt = s.clock.Now() + diskRetryPeriod
	s.options.Log.Error(err, "disk or core failed; this controller stops participating until it is restored from its disk")
	s.ring.Record(tiller.NewEvent(tiller.EventDiskFailed, err.Error()))

	for token := range s.pendingReads {
		s.answerReads([]uint64{token}, false)
	}

	for token := range s.pendingEdits {
		s.answer(token, &wire.ApplyReply{
			Verdict: tiller.VerdictMayHaveRun.String(),
			Advice:  "the controller's disk failed; send the same edit id to another controller",
		})
	}
}

func (s *Server) answer(token uint64, r *wire.ApplyReply) {
	if c := s.pendingEdits[token]; c != nil {
		c <- r
		delete(s.pendingEdits, token)
	}
}

// Parts returns the parts of the controller for runner.Run, which stops them in reverse order.
func (s *Server) Parts() []runner.Part {
	parts := []runner.Part{
		runner.NewPart("journal", s.waitForStop, func(context.Context) error { return s.closeJournal() }),
		s.archive.part(),
		runner.NewPart("datagrams", s.transport.Run, s.transport.Close),
		runner.NewHTTP("operators", s.http, s.listener),
		runner.NewPart("timer", runner.Every(tickPeriod, s.tick), nil),
	}
	if s.monitorListener != nil {
		parts = append(parts, runner.NewHTTP("monitor", s.monitor, s.monitorListener))
	}

	return parts
}

// waitForStop records the start of the controller and waits until the controller is to stop.
func (s *Server) waitForStop(ctx context.Context) error {
	s.ring.Record(tiller.NewEvent(tiller.EventStarted, "controller"))
	<-ctx.Done()

	return nil
}

func (s *Server) closeJournal() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stopped = true
	if s.failure == nil {
		s.failure = eris.New("the controller has stopped")
	}

	return s.journal.Close()
}

// Kill closes sockets and files immediately, as if the process had crashed.
func (s *Server) Kill() error {
	return errors.Join(s.http.Close(), s.monitor.Close(), s.transport.Close(context.Background()), s.closeJournal())
}

// Address returns the address for messages between processes and from operators.
func (s *Server) Address() tiller.Address { return tiller.Address(s.settings.Address) }

// Status returns the controller's view of the cluster and the fleet.
func (s *Server) Status() *wire.StatusReply {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Status(s.clock.Now())
}

// Events returns the recorded events of the controller, oldest first, and how many older ones were dropped.
func (s *Server) Events() ([]*wire.Event, uint64) { return s.ring.Since(0) }
