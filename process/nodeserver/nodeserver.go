// Package nodeserver runs a node: it connects the decisions of package node with sockets, timers and the call path.
package nodeserver

import (
	"math/rand/v2"
	"net"
	"net/http"
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
	// hopDialTimeout is several round trips between regions; a VM that does not answer within it costs the call its time.
	hopDialTimeout = 300 * time.Millisecond
	// hopSilentTimeout leaves room for one lost packet to be sent again.
	hopSilentTimeout = 700 * time.Millisecond
	// monitorTimeout bounds the answering of one question to the monitor.
	monitorTimeout = 5 * time.Second
)

// Options change how a server meets its surroundings.
type Options struct {
	// Filter cuts connections; nil lets everything pass.
	Filter transporter.Filter
	// Log takes log lines.
	Log logr.Logger
	// Metrics takes metrics.
	Metrics metrics.Registry
	// Dialect is what callers and backend servers speak; nil means the project's own.
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
	drained   bool
	leaving   atomic.Bool

	vitals *vitals
	// link paces calls, nil where the settings do not tell its rate.
	link     *shaper.Shaper
	claims   waiters[string, claimer.Result]
	strikes  waiters[uint64, struct{}]
	token    atomic.Uint64
	register *quarantiner.Register

	table     atomic.Pointer[forwarder.Table]
	balancer  *balancer.Balancer
	gate      *limiter.Gate
	forwarder *forwarder.Forwarder
	transport *transporter.Transporter
	splitter  *balancer.Splitter
	control   *http.Server
	monitor   *http.Server
	// calls serves other nodes, and callers too where they have no address of their own.
	calls *acceptor.Acceptor
	// callers serves callers where they have an address of their own, else it is nil.
	callers   *acceptor.Acceptor
	listeners map[string]net.Listener
	hops      *exchanger.Exchanger
	backends  *exchanger.Exchanger
}

// New opens the sockets of a node.
func New(settings Settings, options Options) (*Server, error) {
	clock := tiller.SteadyClock()
	hybrid := recorder.NewHybridClock(tiller.WallClock())
	dc := tiller.DataCentre(settings.DataCentre)
	v := newVitals(options.Metrics, options.Log)
	link := shaper.NewShaper(settings.LinkBytesPerSecond, clock)

	s := &Server{
		settings: settings, options: options, clock: clock, hybrid: hybrid,
		ring: recorder.New(settings.Name, dc, hybrid, recorder.WithLog(options.Log)), register: quarantiner.New(),
		registrar: newRegistrar(settings),
		listeners: map[string]net.Listener{},
		splitter:  balancer.NewSplitter(newRandom()),
		balancer:  balancer.New(dc, newRandom()),
		gate:      limiter.NewGate(limiter.New(limiter.Options{}), clock),
		hops: exchanger.New(exchanger.Options{
			Filter: hopFilter(settings, options.Filter), DialTimeout: hopDialTimeout, SilentTimeout: hopSilentTimeout, Meter: v.hops,
			Shaper: link,
		}),
		vitals: v, link: link,
		backends: newBackends(options.Metrics),
	}

	s.core = node.New(node.Identity{
		Name: settings.Name, DataCentre: dc, Address: tiller.Address(settings.Address),
		CallAddress: tiller.Address(settings.CallAddress), Service: tiller.Service(settings.Service),
		Controllers: transporter.Addresses(settings.Controllers), Seeds: transporter.Addresses(settings.Seeds),
	}, uint64(time.Now().UnixMilli()), s.register, newRandom())

	if err := s.listen(); err != nil {
		return nil, err
	}

	s.buildHandlers()

	return s, nil
}

func newRegistrar(settings Settings) *registrar.Core {
	options := []registrar.Option{registrar.WithDrainLinger(tiller.Millis(settings.DrainLingerMs))}
	if settings.AnnounceLeaseMs > 0 {
		options = append(options, registrar.WithLease(tiller.Millis(settings.AnnounceLeaseMs)))
	}

	if settings.ConnectionsUnannounced {
		options = append(options, registrar.WithoutConnections())
	}

	return registrar.New(tiller.Service(settings.Service), options...)
}

func newBackends(registry metrics.Registry) *exchanger.Exchanger {
	opened := metrics.GetOrRegisterCounter("backend.connections_opened", registry)

	return exchanger.New(exchanger.Options{Opened: func(tiller.Address) { opened.Inc(1) }})
}

// hopFilter limits the hops to other nodes like the messages.
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
		Table: &s.table, Balancer: s.balancer, Gate: s.gate, Budget: retrier.NewBudget(), Register: s.register,
		Claims: (*claimAdapter)(s), Strikes: (*strikeAdapter)(s), Worker: (*workerAdapter)(s),
		Hops: s.hops, Backends: s.backends, Recorder: s.ring, Metrics: s.options.Metrics, Service: tiller.Service(s.settings.Service),
		Dialect: s.dialect(), Splitter: s.splitter, ConfirmCrashes: s.settings.ConfirmCrashes, Log: s.options.Log,
		ContactAge: s.contactAge, LinkWait: s.link.Wait,
	})

	mux := http.NewServeMux()
	s.transport.Register(mux)
	mux.Handle(wire.InspectorPathPrefix, wire.NewInspectorServer((*inspector)(s)))
	mux.HandleFunc("POST /announce", s.announce)
	monitor.Register(mux, s.options.Metrics, s.missing)

	s.control = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}

	if s.settings.CallerAddress == "" {
		s.calls = acceptor.New(s.forwarder, s.callerLimits, acceptor.Options{Meter: s.vitals.callers, Shaper: s.link})
	} else {
		s.calls = acceptor.New(s.forwarder.HopHandler(), acceptor.DefaultLimits, acceptor.Options{Meter: s.vitals.hops, Shaper: s.link})
		s.callers = acceptor.New(s.forwarder.CallerHandler(), s.callerLimits, acceptor.Options{Meter: s.vitals.callers, Shaper: s.link})
	}

	monitoring := http.NewServeMux()
	monitor.Register(monitoring, s.options.Metrics, s.missing)
	s.monitor = &http.Server{Handler: monitoring, ReadHeaderTimeout: monitorTimeout, IdleTimeout: idleTimeout}
}

// callerLimits returns what the document in force allows callers.
func (s *Server) callerLimits() acceptor.Limits {
	t := s.table.Load()
	if t == nil {
		return acceptor.DefaultLimits()
	}

	own := t.Own()

	return acceptor.NewLimits(
		int(own.Value(tiller.SettingMaxHeaderBytes)), own.Millis(tiller.SettingHeaderTimeoutMs), own.Millis(tiller.SettingIdleTimeoutMs),
	)
}

// missing returns what the node lacks to serve calls.
func (s *Server) missing() string {
	switch {
	case s.table.Load() == nil:
		return "no configuration yet"
	case s.leaving.Load():
		return "leaving"
	default:
		return ""
	}
}

// step advances the core and carries out its effects.
func (s *Server) step(event node.Event) {
	s.mu.Lock()
	effects := s.core.Step(s.clock.Now(), event)

	if effects.TableChanged {
		s.rebuild()
	}
	s.mu.Unlock()

	s.vitals.note(effects)
	s.ring.Record(effects.Events...)
	s.transport.Send(effects.Messages...)

	for _, r := range effects.Claims {
		s.claims.resolve(r.Attempt(), r)
	}

	for _, token := range effects.Announced {
		s.strikes.resolve(token, struct{}{})
	}
}

// rebuild replaces the routing table by one of the version and membership known now.
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
		place := tiller.NewPlace(tiller.DataCentre(s.settings.DataCentre), tiller.Service(s.settings.Service), tiller.Worker(s.settings.Name))
		table = forwarder.NewTable(version, s.core.Document(), place, entries)
		s.splitter.Forget(table.RouteNames())
		s.forwarder.Budget.Forget(tiller.NewSet(s.core.Document().Services()...))
	}

	s.table.Store(table)

	known := tiller.NewSet[tiller.Worker]()
	for _, e := range entries {
		known.Add(tiller.Worker(e.GetName()))
	}

	s.balancer.Forget(known)
	s.configureGate(table)
}

func (s *Server) configureGate(t *forwarder.Table) {
	own := t.Own()
	backend := s.registrar.Backend(s.clock.Now())
	connections := leastBound(backend.Connections, s.core.Document().MaxConnections(tiller.Service(s.settings.Service)))

	s.gate.Do(func(c *limiter.Core) {
		c.Configure(limiter.Options{
			Slots: backend.Slots, Connections: connections,
			QueueLength: int(own.Value(tiller.SettingQueueLength)), QueueTimeout: own.Millis(tiller.SettingQueueTimeoutMs),
		})
	})
}

// leastBound returns the smaller of two bounds, where zero means no bound.
func leastBound(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}

	return min(a, b)
}

func (s *Server) tick() {
	s.mu.Lock()
	backend := s.registrar.Backend(s.clock.Now())

	if s.drained {
		backend.State = wire.BackendState_BACKEND_STATE_DRAINING
	}
	s.mu.Unlock()

	s.announceBackend(backend)
	s.step(node.Tick{Wall: s.hybrid.Wall()})
	s.gate.Tick()
}

func (s *Server) announceBackend(b detector.Backend) {
	s.mu.Lock()
	before := s.core.Self().GetState()
	s.mu.Unlock()

	if b.State == wire.BackendState_BACKEND_STATE_NONE {
		return
	}

	if b.State != before {
		s.ring.Record(tiller.NewEvent(backendEvent(b.State), "backend server is "+tiller.StateName(b.State)))
	}

	s.step(node.Announce{Backend: b})
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

// SetControllers replaces the controllers that the settings name.
func (s *Server) SetControllers(addresses []tiller.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.core.SetControllers(addresses)
}

// Address returns the control address.
func (s *Server) Address() tiller.Address { return tiller.Address(s.settings.Address) }

// CallAddress returns the address for calls.
func (s *Server) CallAddress() tiller.Address { return tiller.Address(s.settings.CallAddress) }

// Version returns the version in force.
func (s *Server) Version() tiller.Version {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Version()
}

// Confirmed reports whether the source's lease covered the version in force a short while ago.
func (s *Server) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Confirmed()
}

// Rank returns the node's position among the nodes of its data centre.
func (s *Server) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Rank()
}

// Events returns the node's time line.
func (s *Server) Events() ([]*wire.Event, uint64) { return s.ring.Since(0) }
