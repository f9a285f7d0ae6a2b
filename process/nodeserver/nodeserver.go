// Package nodeserver runs a node: it drives the state machine of package node with sockets, timers and the call path.
package nodeserver

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/monitor"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	tickPeriod        = 50 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// hopDialTimeout allows several round trips between regions; while it runs, an unreachable VM uses up the call's time.
	hopDialTimeout = 300 * time.Millisecond
	// hopAckTimeout is how long sent bytes may stay unacknowledged; it leaves room for one retransmission.
	hopAckTimeout = 700 * time.Millisecond
	// monitorReadHeaderTimeout bounds reading the header of a request to the monitoring server.
	monitorReadHeaderTimeout = 5 * time.Second
)

// Options holds the parts of a server's environment that do not come from its settings file.
type Options struct {
	// Filter decides which messages and calls may pass between two addresses; nil allows all.
	Filter transporter.Filter
	// Log receives log lines.
	Log logr.Logger
	// Metrics is where metrics are registered.
	Metrics metrics.Registry
	// Dialect is the protocol of callers and backend servers; nil means the project's own.
	Dialect tiller.Dialect
}

// Server is a running node.
type Server struct {
	settings Settings
	options  Options
	clock    tiller.Clock
	hybrid   *recorder.HybridClock
	ring     *recorder.Ring

	mu        sync.Mutex
	core      *node.Core
	registrar *registrar.Core
	// drained is set when the node starts to tell its peers that its worker is draining.
	drained bool
	// recoveryLogged is set once the end of the recovery has been logged.
	recoveryLogged bool
	// stopAt is when the connections of callers and other nodes are closed, set once the node begins to stop.
	stopAt tiller.Millis
	// leaving is set earlier than drained, when the node starts to stop; from then on the node reports that it is not ready.
	leaving atomic.Bool

	vitals *vitals
	// link paces calls to the rate of the VM's network link, nil if the settings give no rate.
	link         *shaper.Shaper
	claims       waiters[string, claimer.Result]
	crashReports waiters[uint64, struct{}]
	replications waiters[uint64, detector.Replication]
	lastToken    atomic.Uint64
	crashRecords *quarantiner.Registry

	table     atomic.Pointer[forwarder.Table]
	balancer  *balancer.Balancer
	limiter   *limiter.Limiter
	forwarder *forwarder.Forwarder
	transport *transporter.Transporter
	splitter  *balancer.Splitter
	control   *http.Server
	monitor   *http.Server
	// calls serves other nodes, and callers too if no separate caller address is set.
	calls *acceptor.Acceptor
	// callers serves callers on the separate caller address, nil if none is set.
	callers          *acceptor.Acceptor
	listeners        map[string]net.Listener
	nodeExchanger    *exchanger.Exchanger
	backendExchanger *exchanger.Exchanger
}

// New returns a node with its sockets open; it returns an error if it cannot listen on one of its addresses.
func New(settings Settings, options Options) (*Server, error) {
	clock := tiller.SteadyClock()
	hybrid := recorder.NewHybridClock(tiller.WallClock())
	dc := tiller.DataCentre(settings.DataCentre)
	v := newVitals(options.Metrics, options.Log)
	link := shaper.New(settings.LinkBytesPerSecond, clock)

	s := &Server{
		settings: settings, options: options, clock: clock, hybrid: hybrid,
		ring: recorder.New(settings.Name, dc, hybrid, recorder.WithLog(options.Log)), crashRecords: quarantiner.NewRegistry(),
		listeners: map[string]net.Listener{},
		splitter:  balancer.NewSplitter(newRandom()),
		balancer:  balancer.New(dc, newRandom()),
		limiter:   limiter.New(limiter.NewCore(limiter.Options{}), clock),
		nodeExchanger: exchanger.New(exchanger.Options{
			Filter: hopFilter(settings, options.Filter), DialTimeout: hopDialTimeout, AckTimeout: hopAckTimeout, Meter: v.hops,
			Shaper: link,
		}),
		vitals: v, link: link,
		backendExchanger: newBackendExchanger(options.Metrics),
	}

	s.core = node.New(node.Config{
		Name: settings.Name, DataCentre: dc, Address: tiller.Address(settings.Address),
		CallAddress: tiller.Address(settings.CallAddress), Service: tiller.Service(settings.Service),
		Controllers: transporter.Addresses(settings.Controllers), Seeds: transporter.Addresses(settings.Seeds),
		CheckAddress: transporter.CheckAddress,
	}, uint64(time.Now().UnixMilli()), s.crashRecords, newRandom())

	// A peer may remember that a start of the server was withdrawn before this process began.
	s.registrar = newRegistrar(settings, func() bool { return !s.core.Recovered() })

	if err := s.listen(); err != nil {
		return nil, err
	}

	s.buildHandlers()

	return s, nil
}

// newRegistrar returns a registrar that does not use the backend server while it is held.
func newRegistrar(settings Settings, held func() bool) *registrar.Core {
	options := []registrar.Option{
		registrar.WithDrainLinger(tiller.Millis(settings.DrainLingerMs)), registrar.WithWallClock(tiller.WallClock()), registrar.WithHold(held),
	}
	if settings.AnnounceLeaseMs > 0 {
		options = append(options, registrar.WithLease(tiller.Millis(settings.AnnounceLeaseMs)))
	}

	if settings.ConnectionsOptional {
		options = append(options, registrar.WithOptionalConnections())
	}

	if backend, err := netip.ParseAddrPort(settings.BackendAddress); err == nil {
		options = append(options, registrar.WithHost(backend.Addr()))
	}

	return registrar.New(tiller.Service(settings.Service), options...)
}

func newBackendExchanger(registry metrics.Registry) *exchanger.Exchanger {
	opened := metrics.GetOrRegisterCounter("backend.connections_opened", registry)

	return exchanger.New(exchanger.Options{OnConnect: func(tiller.Address) { opened.Inc(1) }})
}

// hopFilter applies the message filter to hops to other nodes.
func hopFilter(settings Settings, filter transporter.Filter) func(tiller.Address) bool {
	if filter == nil {
		return nil
	}

	return func(to tiller.Address) bool { return filter(tiller.Address(settings.CallAddress), to) }
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (s *Server) dialect() tiller.Dialect {
	if s.options.Dialect == nil {
		return forwarder.Dialect{}
	}

	return s.options.Dialect
}

func (s *Server) buildHandlers() {
	s.forwarder = forwarder.New(forwarder.Options{
		Name: tiller.Worker(s.settings.Name), DataCentre: tiller.DataCentre(s.settings.DataCentre), Clock: s.clock,
		Table: &s.table, Balancer: s.balancer, Limiter: s.limiter, Budget: retrier.NewBudget(), CrashRecords: s.crashRecords,
		Claims: (*claimAdapter)(s), CrashReporter: (*crashReporterAdapter)(s), BackendServer: (*backendServerAdapter)(s),
		NodeExchanger: s.nodeExchanger, BackendExchanger: s.backendExchanger, Recorder: s.ring, Metrics: s.options.Metrics,
		Service: tiller.Service(s.settings.Service),
		Dialect: s.dialect(), Splitter: s.splitter, ConfirmCrashes: s.settings.ConfirmCrashes,
		QuarantineByCaller: s.settings.QuarantineByCaller, Log: s.options.Log,
		ContactAge: s.contactAge, LinkWait: s.link.QueueDelay,
	})

	mux := http.NewServeMux()
	s.transport.Register(mux)
	mux.Handle(wire.InspectorPathPrefix, wire.NewInspectorServer((*inspector)(s)))
	mux.HandleFunc("POST /announce", s.announce)
	monitor.Register(mux, s.options.Metrics, s.notReadyReason)

	s.control = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	if s.settings.CallerAddress == "" {
		s.calls = acceptor.New(s.forwarder, s.callerLimits, acceptor.Options{Log: s.options.Log, Meter: s.vitals.callers, Shaper: s.link})
	} else {
		s.calls = acceptor.New(s.forwarder.HopHandler(), acceptor.DefaultLimits,
			acceptor.Options{Log: s.options.Log, Meter: s.vitals.hops, Shaper: s.link})
		s.callers = acceptor.New(s.forwarder.CallerHandler(), s.callerLimits,
			acceptor.Options{Log: s.options.Log, Meter: s.vitals.callers, Shaper: s.link})
	}

	monitorMux := http.NewServeMux()
	monitor.Register(monitorMux, s.options.Metrics, s.notReadyReason)
	s.monitor = &http.Server{Handler: monitorMux, ReadHeaderTimeout: monitorReadHeaderTimeout, IdleTimeout: idleTimeout}
}

// callerLimits returns the limits that the document in force sets for callers.
func (s *Server) callerLimits() acceptor.Limits {
	t := s.table.Load()
	if t == nil {
		return acceptor.DefaultLimits()
	}

	own := t.OwnSettings()

	return acceptor.NewLimits(
		int(own.Value(tiller.SettingMaxHeaderBytes)), own.Millis(tiller.SettingHeaderTimeoutMs), own.Millis(tiller.SettingIdleTimeoutMs),
	)
}

// notReadyReason returns why the node cannot serve calls, or an empty string if it is ready.
func (s *Server) notReadyReason() string {
	switch {
	case s.table.Load() == nil:
		return "no configuration yet"
	case s.leaving.Load():
		return "leaving"
	default:
		return ""
	}
}

// rebuild replaces the routing table with one for the current version and membership.
func (s *Server) rebuild() {
	version := s.core.Version()
	if version.IsZero() {
		return
	}

	entries := s.core.Entries()
	table := s.table.Load()

	if table != nil && table.Version() == version {
		table = table.WithEntries(entries)
	} else {
		location := tiller.NewLocation(tiller.DataCentre(s.settings.DataCentre), tiller.Service(s.settings.Service), tiller.Worker(s.settings.Name))
		table = forwarder.NewTable(version, s.core.Document(), location, entries)
		s.splitter.Forget(table.RouteNames())
		s.forwarder.Budget.Forget(tiller.NewSet(s.core.Document().Services()...))
	}

	s.table.Store(table)

	known := tiller.NewSet[tiller.Worker]()
	for _, e := range entries {
		known.Add(tiller.Worker(e.GetName()))
	}

	s.balancer.Forget(known)
	s.configureLimiter(table)
}

func (s *Server) configureLimiter(t *forwarder.Table) {
	own := t.OwnSettings()
	backend := s.registrar.Backend(s.clock.Now())
	connections := minBound(backend.Connections, s.core.Document().MaxConnections(tiller.Service(s.settings.Service)))

	s.limiter.WithCore(func(c *limiter.Core) {
		if c.BeginStart(s.registrar.Start()) {
			s.ring.Record(tiller.NewEvent(tiller.EventRateLimited, "no rate limit any more", tiller.WithCause("another start of the backend server")))
		}

		c.Configure(limiter.Options{
			Slots: backend.Slots, Connections: connections,
			QueueLength: int(own.Value(tiller.SettingQueueLength)), QueueTimeout: own.Millis(tiller.SettingQueueTimeoutMs),
		})
	})
}

// minBound returns the smaller of two bounds, where zero means unbounded.
func minBound(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}

	return min(a, b)
}

func (s *Server) tick() {
	s.announceBackend()
	s.step(node.Tick{Wall: s.hybrid.Wall()})
	s.limiter.Tick()
	s.refuseWaiting()
	s.logRecovery()
}

// logRecovery logs once how the wait for what others remember of the previous process has ended.
func (s *Server) logRecovery() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.recoveryLogged || !s.core.Recovered() {
		return
	}

	s.recoveryLogged = true
	s.options.Log.Info("recovery ended", "peer_answered", s.core.PeerAnswered(), "controllers_answered", s.core.ControllersAnswered(),
		"withdrawals", len(s.core.Self().GetWithdrawals()))
}

// SetControllers replaces the controller addresses given in the settings.
func (s *Server) SetControllers(addresses []tiller.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.core.SetControllers(addresses)
}

// Address returns the address for messages between processes and from operators.
func (s *Server) Address() tiller.Address { return tiller.Address(s.settings.Address) }

// CallAddress returns the address that other nodes send calls to.
func (s *Server) CallAddress() tiller.Address { return tiller.Address(s.settings.CallAddress) }

// Version returns the configuration version in force.
func (s *Server) Version() tiller.Version {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Version()
}

// Confirmed reports whether the source's lease covered the version in force within the last lease period.
func (s *Server) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Confirmed()
}

// Rank returns the node's position in the ranking of its data centre's nodes.
func (s *Server) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Rank()
}

// Events returns the recorded events of the node, oldest first, and how many older ones were dropped.
func (s *Server) Events() ([]*wire.Event, uint64) { return s.ring.Since(0) }
