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

const (
	// HeaderAttempt carries the id of one attempt of a request.
	HeaderAttempt = "Send-Id"
	// HeaderCrash makes a backend server crash when it receives the request. The name has the same effect in a request's body.
	HeaderCrash = "Crash"

	announcePeriod  = 500 * time.Millisecond
	announceTimeout = 2 * time.Second
	readTimeout     = 5 * time.Second
)

// BackendOptions configures a backend server.
type BackendOptions struct {
	Worker  tiller.Worker
	Service tiller.Service
	// Address is the host and port to listen on.
	Address string
	// NodeControlAddress is the host and control port of the node to which the server announces itself.
	NodeControlAddress string
	// Slots is how many requests run at once; the server refuses further ones as not run.
	Slots       int
	Connections int
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
	// ColdStart is how long the server announces that it is starting.
	ColdStart time.Duration
	// RestartDelay is the time from a crash to the restart.
	RestartDelay time.Duration
	// AlwaysReady makes the server announce that it is ready even while it is starting, draining or down.
	AlwaysReady bool
	// RunLog records the requests that the server runs.
	RunLog *RunLog
}

// echo is the body of a backend server's answer. It identifies the request, so that callers notice mixed-up answers.
type echo struct {
	ID     string `json:"id"`
	Path   string `json:"path"`
	Worker string `json:"worker"`
	Filler string `json:"filler"`
}

// fillerBytes is the length of the filler. Callers check it to detect truncated answers.
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
	// startedAt and sequence identify the server's start and its latest announcement.
	startedAt time.Time
	sequence  uint64
	departure *departure
}

// NewBackend returns a backend server that is not started yet.
func NewBackend(options BackendOptions) *Backend {
	return &Backend{options: options, client: resty.New().SetTimeout(announceTimeout).SetBaseURL("http://" + options.NodeControlAddress)}
}

// Run serves requests and announces the server to its node until the context ends. It returns an error if the address is in use.
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

// Start opens the port and serves requests in the background, without announcements.
func (b *Backend) Start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", b.options.Address)
	if err != nil {
		return eris.Wrap(err, "listen for requests to the backend server")
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.server = &http.Server{Handler: b, ReadHeaderTimeout: readTimeout}
	b.begin()
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

// Stop closes the port and all connections. A crashed server does not restart afterwards.
func (b *Backend) Stop() error {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.stopped = true
	b.up = false

	return eris.Wrap(b.server.Close(), "stop backend server")
}

// Drain makes the server announce that it is draining.
func (b *Backend) Drain() { b.draining.Store(true) }

// Crashes returns how often the server has crashed.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// Worker returns the name of the server's worker.
func (b *Backend) Worker() tiller.Worker { return b.options.Worker }

// state returns the state to announce, empty while the server is down.
func (b *Backend) state() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	switch {
	case b.options.AlwaysReady:
		return "ready"
	case !b.up || b.departure != nil:
		return ""
	case b.draining.Load():
		return "draining"
	case time.Now().Before(b.readyAt):
		return "starting"
	default:
		return "ready"
	}
}

// begin begins a new start of the server. The lock is held.
func (b *Backend) begin() {
	b.startedAt = time.Now()
	b.readyAt = b.startedAt.Add(b.options.ColdStart)
	b.sequence = 0
}

// announcement returns the next announcement of the server's start.
func (b *Backend) announcement(state string) registrar.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.sequence++

	return registrar.Announcement{
		Address: b.options.Address, Service: string(b.options.Service), Slots: b.options.Slots,
		Connections: b.options.Connections, State: state,
		Instance: string(b.options.Worker), StartedAtMs: b.startedAt.UnixMilli(), Sequence: b.sequence,
	}
}

// post sends an announcement and reports whether it was acknowledged.
func (b *Backend) post(ctx context.Context, a registrar.Announcement) bool {
	r, err := b.client.R().SetContext(ctx).SetBody(a).Post("/announce")

	return err == nil && r.IsSuccess()
}

func (b *Backend) announce(ctx context.Context) {
	if state := b.state(); state != "" {
		// Announcements are repeated, so a lost one does no harm.
		b.post(ctx, b.announcement(state))
	}
}

// ServeHTTP runs a request: it records it in the run log, waits for the service time and returns an answer that identifies the request.
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

	id := requestID(r)
	ids := []string{id}

	if attempt := r.Header.Get(HeaderAttempt); attempt != id {
		ids = append(ids, attempt)
	}

	b.options.RunLog.RecordRun(b.options.Worker, ids...)
	b.recordLateRun()

	if r.Header.Get(HeaderCrash) != "" || strings.Contains(string(body), HeaderCrash) {
		b.crash()

		return
	}

	time.Sleep(b.options.ServiceTime)
	b.answer(w, r, id)
}

// requestID returns the id that the answer must echo: the idempotency key of a keyed request, the id of the attempt otherwise.
func requestID(r *http.Request) string {
	if key := r.Header.Get(forwarder.HeaderKey); key != "" {
		return key
	}

	return r.Header.Get(HeaderAttempt)
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "application/json")

	// The node may have closed the connection in the meantime.
	_ = json.NewEncoder(w).Encode(echo{
		ID: id, Path: r.URL.Path, Worker: string(b.options.Worker), Filler: strings.Repeat("x", fillerBytes),
	})
}

// crash closes the server and the connections of all requests in flight, and restarts it after the restart delay.
func (b *Backend) crash() {
	b.crashes.Add(1)

	b.mu.Lock()
	b.up = false
	server := b.server
	b.mu.Unlock()

	// Handlers that still run fail to write to their closed connections.
	_ = server.Close()

	time.AfterFunc(b.options.RestartDelay, func() {
		b.mu.Lock()
		stopped := b.stopped
		b.mu.Unlock()

		if !stopped {
			// If the port is still in use, the server stays down.
			_ = b.Start()
		}
	})
}
