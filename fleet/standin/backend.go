package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
)

// Headers of the stand-ins.
const (
	// HeaderSend names one send of a request.
	HeaderSend = "Send-Id"
	// HeaderCrash makes a backend server die while it runs the request.
	HeaderCrash = "Crash"

	announcePeriod = 500 * time.Millisecond
	announceLimit  = 2 * time.Second
	readTimeout    = 5 * time.Second
)

// BackendOptions describe a backend server.
type BackendOptions struct {
	Worker      tiller.Worker
	Service     tiller.Service
	Address     string
	NodeControl string
	Slots       int
	Connections int
	ServiceTime time.Duration
	ColdStart   time.Duration
	RestartIn   time.Duration
	// Lying makes the server announce that it is ready although it is not.
	Lying  bool
	Ledger *Ledger
}

// echo is the answer of a backend server.
type echo struct {
	ID     string `json:"id"`
	Path   string `json:"path"`
	Worker string `json:"worker"`
	Filler string `json:"filler"`
}

const fillerBytes = 512

// Backend is a stand-in for a backend server.
type Backend struct {
	options  BackendOptions
	client   *resty.Client
	inFlight atomic.Int64
	crashes  atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	server  *http.Server
	readyAt time.Time
	stopped bool
	up      bool
}

// NewBackend returns a server that is not running.
func NewBackend(options BackendOptions) *Backend {
	return &Backend{options: options, client: resty.New().SetTimeout(announceLimit).SetBaseURL("http://" + options.NodeControl)}
}

// Run serves and announces until the context ends.
func (b *Backend) Run(ctx context.Context) error {
	if err := b.Start(); err != nil {
		return err
	}

	t := time.NewTicker(announcePeriod)
	defer t.Stop()

	for {
		b.announce(ctx)

		select {
		case <-ctx.Done():
			return b.Stop()
		case <-t.C:
		}
	}
}

// Start opens the port.
func (b *Backend) Start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", b.options.Address)
	if err != nil {
		return eris.Wrap(err, "backend server")
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.server = &http.Server{Handler: b, ReadHeaderTimeout: readTimeout}
	b.readyAt = time.Now().Add(b.options.ColdStart)
	b.up = true

	go b.serve(b.server, l)

	return nil
}

func (b *Backend) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		b.mu.Lock()
		b.up = false
		b.mu.Unlock()
	}
}

// Stop closes the port and all connections.
func (b *Backend) Stop() error {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.stopped = true
	b.up = false

	return eris.Wrap(b.server.Close(), "stop backend server")
}

// Drain makes the server announce that it leaves.
func (b *Backend) Drain() { b.draining.Store(true) }

// Crashes returns how often the server died.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// Worker returns the worker's name.
func (b *Backend) Worker() tiller.Worker { return b.options.Worker }

func (b *Backend) state() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	switch {
	case b.options.Lying:
		return "ready"
	case !b.up:
		return ""
	case b.draining.Load():
		return "draining"
	case time.Now().Before(b.readyAt):
		return "starting"
	default:
		return "ready"
	}
}

func (b *Backend) announce(ctx context.Context) {
	state := b.state()
	if state == "" {
		return
	}

	// A node that is down hears the next announcement.
	_, _ = b.client.R().SetContext(ctx).SetBody(registrar.Announcement{
		Address: b.options.Address, Service: string(b.options.Service), Slots: b.options.Slots,
		Connections: b.options.Connections, State: state,
	}).Post("/announce")
}

// ServeHTTP runs a request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	if b.inFlight.Add(1) > int64(b.options.Slots) {
		b.inFlight.Add(-1)
		w.Header().Set(forwarder.HeaderVerdict, tiller.VerdictNotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer b.inFlight.Add(-1)

	id := identify(r)
	ids := []string{id}

	if send := r.Header.Get(HeaderSend); send != id {
		ids = append(ids, send)
	}

	b.options.Ledger.Ran(b.options.Worker, ids...)

	if r.Header.Get(HeaderCrash) != "" || strings.Contains(string(body), HeaderCrash) {
		b.crash()

		return
	}

	time.Sleep(b.options.ServiceTime)
	b.answer(w, r, id)
}

// identify returns what the answer must echo: the key of a keyed request, the send otherwise.
func identify(r *http.Request) string {
	if key := r.Header.Get(forwarder.HeaderKey); key != "" {
		return key
	}

	return r.Header.Get(HeaderSend)
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "application/json")

	// A node that hung up has no use for the answer.
	_ = json.NewEncoder(w).Encode(echo{
		ID: id, Path: r.URL.Path, Worker: string(b.options.Worker), Filler: strings.Repeat("x", fillerBytes),
	})
}

// crash kills the server with everything in flight and restarts it later.
func (b *Backend) crash() {
	b.crashes.Add(1)

	b.mu.Lock()
	b.up = false
	server := b.server
	b.mu.Unlock()

	// The handlers that still run end on closed connections.
	_ = server.Close()

	time.AfterFunc(b.options.RestartIn, func() {
		b.mu.Lock()
		stopped := b.stopped
		b.mu.Unlock()

		if !stopped {
			// A port that is still taken is tried at the next crash.
			_ = b.Start()
		}
	})
}
