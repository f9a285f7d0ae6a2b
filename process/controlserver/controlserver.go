// Package controlserver runs a controller: it connects the decisions of package controller with its disk, sockets and
// timers.
package controlserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
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

// Options change how a server meets its surroundings.
type Options struct {
	// Filter cuts connections; nil lets everything pass.
	Filter transporter.Filter
	// Log takes log lines.
	Log logr.Logger
	// Metrics takes metrics.
	Metrics metrics.Registry
	// Wrap decorates the journal; nil leaves it as it is.
	Wrap func(tiller.Journal) tiller.Journal
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
	failed  error
	// retryAt is when a controller whose disk failed reads it again.
	retryAt tiller.Millis
	stopped bool
	token   uint64
	waiting map[uint64]chan *wire.ApplyReply
	reading map[uint64]chan bool

	transport *transporter.Transporter
	http      *http.Server
	listener  net.Listener
	// monitoring is the listener of the metrics address, nil if there is none.
	monitoring net.Listener
	monitor    *http.Server
	syncTime   metrics.Timer
}

// New opens the data folder and the sockets of a controller.
func New(settings Settings, options Options) (*Server, error) {
	hybrid := recorder.NewHybridClock(tiller.WallClock())
	s := &Server{
		settings: settings, options: options, clock: tiller.BootClock(),
		ring:     recorder.New(settings.Name, tiller.DataCentre(settings.DataCentre), hybrid, recorder.WithLog(options.Log)),
		waiting:  map[uint64]chan *wire.ApplyReply{},
		reading:  map[uint64]chan bool{},
		syncTime: metrics.GetOrRegisterTimer("journal.sync", options.Metrics),
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
	transport.Attach(tiller.ReceiverFunc(func(e *wire.Envelope) { s.step(controller.Receive{Envelope: e}) }))

	s.listener, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", transporter.Bound(settings.Address, settings.BindHost))
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "listen"), s.journal.Close(), transport.Close(context.Background()))
	}

	if settings.MetricsAddress != "" {
		s.monitoring, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", transporter.Bound(settings.MetricsAddress, settings.BindHost))
		if err != nil {
			return nil, errors.Join(eris.Wrap(err, "listen"), s.journal.Close(), transport.Close(context.Background()), s.listener.Close())
		}
	}

	s.buildHandlers()

	return s, nil
}

// open reads the journal and builds the core from it.
func (s *Server) open() error {
	if slices.Contains(s.settings.InitialVoters, s.settings.Address) {
		if err := form(s.settings); err != nil {
			return err
		}
	}

	journal, restored, err := journaler.Open(s.settings.DataFolder)
	if err != nil {
		return err
	}

	s.journal = journal
	s.member = memberOf(s.settings, journal.Identity())

	s.core, err = controller.New(s.member, transporter.Addresses(s.settings.Peers),
		replicator.NewTiming(tiller.Millis(s.settings.HeartbeatMs)), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), restored)
	if err != nil {
		return errors.Join(err, journal.Close())
	}

	if s.options.Wrap != nil {
		s.journal = s.options.Wrap(journal)
	}

	return nil
}

func (s *Server) buildHandlers() {
	mux := http.NewServeMux()
	s.transport.Register(mux)
	mux.Handle(wire.OperatorPathPrefix, wire.NewOperatorServer((*operator)(s)))
	monitor.Register(mux, s.options.Metrics, s.missing)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	monitoring := http.NewServeMux()
	monitor.Register(monitoring, s.options.Metrics, s.missing)
	s.monitor = &http.Server{Handler: monitoring, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// missing returns what the controller lacks to serve.
func (s *Server) missing() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.failed != nil:
		return "the disk failed: " + s.failed.Error()
	case s.core.Cluster() == "":
		return "not yet taken in by the other controllers"
	case s.core.Leader() == "":
		return "no leader is known"
	default:
		return ""
	}
}

// step advances the core, makes durable what must be and only then sends and answers.
func (s *Server) step(event controller.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.failed != nil && !s.regain() {
		return
	}

	effects := s.core.Step(s.clock.Now(), event)
	if err := s.persist(effects); err != nil {
		s.fail(err)

		return
	}

	s.ring.Record(effects.Events...)
	s.transport.Send(effects.Messages...)

	for _, r := range effects.Replies {
		s.answer(r.Token(), r.Reply())
	}

	s.answerReads(effects.Confirmed, true)
	s.answerReads(effects.Unconfirmed, false)
}

func (s *Server) answerReads(tokens []uint64, confirmed bool) {
	for _, token := range tokens {
		if c := s.reading[token]; c != nil {
			c <- confirmed
			delete(s.reading, token)
		}
	}
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

// diskRetryPeriod is how often a failed disk is tried again.
const diskRetryPeriod = tiller.Second

// regain reads the disk again, like a restart, and reports whether the controller takes part again.
func (s *Server) regain() bool {
	now := s.clock.Now()
	if s.stopped || now < s.retryAt {
		return false
	}

	s.retryAt = now + diskRetryPeriod

	// The files of the failed journal are of no use, whatever their closing says.
	_ = s.journal.Close()

	if err := s.open(); err != nil {
		s.options.Log.Info("disk still fails", "error", err.Error())

		return false
	}

	s.failed = nil
	s.options.Log.Info("disk works again; this controller takes part")
	s.ring.Record(tiller.NewEvent(tiller.EventRecovered, "the disk works again"))

	return true
}

// fail stops all decisions: what the disk holds is unknown, and the other controllers go on without this one.
func (s *Server) fail(err error) {
	s.failed = err
	s.retryAt = s.clock.Now() + diskRetryPeriod
	s.options.Log.Error(err, "disk failed; this controller stops taking part")
	s.ring.Record(tiller.NewEvent(tiller.EventDiskFailed, err.Error()))

	for token := range s.reading {
		s.answerReads([]uint64{token}, false)
	}

	for token := range s.waiting {
		s.answer(token, &wire.ApplyReply{
			Verdict: tiller.VerdictMayHaveRun.String(),
			Advice:  "the controller's disk failed; send the same edit id to another controller",
		})
	}
}

func (s *Server) answer(token uint64, r *wire.ApplyReply) {
	if c := s.waiting[token]; c != nil {
		c <- r
		delete(s.waiting, token)
	}
}

// Parts returns what runs until the controller stops.
func (s *Server) Parts() []runner.Part {
	parts := []runner.Part{
		runner.NewPart("journal", s.wait, func(context.Context) error { return s.closeJournal() }),
		runner.NewPart("datagrams", s.transport.Run, s.transport.Close),
		runner.NewHTTP("operators", s.http, s.listener),
		runner.NewPart("timer", runner.Every(tickPeriod, func() { s.step(controller.Tick{}) }), nil),
	}
	if s.monitoring != nil {
		parts = append(parts, runner.NewHTTP("monitor", s.monitor, s.monitoring))
	}

	return parts
}

func (s *Server) wait(ctx context.Context) error {
	s.ring.Record(tiller.NewEvent(tiller.EventStarted, "controller"))
	<-ctx.Done()

	return nil
}

func (s *Server) closeJournal() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stopped = true
	if s.failed == nil {
		s.failed = eris.New("the controller has stopped")
	}

	return s.journal.Close()
}

// Kill closes sockets and files at once, like the death of the process.
func (s *Server) Kill() error {
	return errors.Join(s.http.Close(), s.monitor.Close(), s.transport.Close(context.Background()), s.closeJournal())
}

// Address returns the controller's address.
func (s *Server) Address() tiller.Address { return tiller.Address(s.settings.Address) }

// Status returns what the controller knows.
func (s *Server) Status() *wire.StatusReply {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Status(s.clock.Now())
}

// Events returns the controller's time line.
func (s *Server) Events() ([]*wire.Event, uint64) { return s.ring.Since(0) }
