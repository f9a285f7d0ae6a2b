package forwarder_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/retrier"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// backendServer is a backend server that counts the requests that it runs; its handler may inject faults.
type backendServer struct {
	runs   atomic.Int64
	handle http.HandlerFunc
	server *httptest.Server
}

// fakeNode is a forwarder with fake dependencies; it represents one VM.
type fakeNode struct {
	name         tiller.Worker
	backend      *backendServer
	state        wire.BackendState
	start        string
	forward      *forwarder.Forwarder
	server       *httptest.Server
	table        atomic.Pointer[forwarder.Table]
	crashRecords *quarantiner.Registry
	claims       *fakeClaims
	mu           sync.Mutex
	crashReports []crashReport
	refused      atomic.Int64
	kinds        []tiller.EventKind
	leaving      atomic.Bool
}

func (n *fakeNode) Target() forwarder.Target {
	address := tiller.Address(strings.TrimPrefix(n.backend.server.URL, "http://"))
	if !n.leaving.Load() {
		return forwarder.NewTarget(address, "", n.state).WithStart(n.start)
	}

	return forwarder.NewTarget(address, "", wire.BackendState_BACKEND_STATE_DRAINING).WithStart(n.start).WithLeavingFor(tiller.Some(tiller.Millis(0)))
}

// ReportLeaving makes the node refuse requests from then on, as after the linger.
func (n *fakeNode) ReportLeaving(start string, _ bool) {
	if start == n.start {
		n.leaving.Store(true)
	}
}

func (n *fakeNode) ReportRefused() { n.refused.Add(1) }

// ReportCrash adds the strikes to the crash records that all nodes share, as if the report reached every node of the data centre at once.
func (n *fakeNode) ReportCrash(_ context.Context, crash uint64, digest quarantiner.Digest, route string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	report := crashReport{crash: crash, digest: digest}
	if !slices.Contains(n.crashReports, report) {
		n.crashRecords.AddStrikes(n.forward.Clock.Now(), digest, route, 1)
	}

	n.crashReports = append(n.crashReports, report)
}

// crashReport is one call of ReportCrash.
type crashReport struct {
	crash  uint64
	digest quarantiner.Digest
}

func (n *fakeNode) ClearStrikes(d quarantiner.Digest) { n.crashRecords.Clear(d) }

// fakeClaims grants each key once, for one request.
type fakeClaims struct {
	mu      sync.Mutex
	digests map[string]string
	owner   map[string]string
	answers map[string]*wire.Answer
	verdict wire.ClaimVerdict
	// onAcquire is called when a claim is asked for; it may be nil.
	onAcquire func()
}

func (c *fakeClaims) Acquire(_ context.Context, key claimer.Key, digest []byte, attempt string) claimer.Result {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.onAcquire != nil {
		c.onAcquire()
	}

	member := claimer.NewMember("a#1@a", "a", key.Home())
	member.SetPlacement(&wire.ClaimPlacement{DataCentre: string(key.Home()), Epoch: 1, Members: []string{"a#1@a"}})
	member.Tick(0, 0, func(string) bool { return false })

	claimant := claimer.NewClaimant("x")
	claimant.SetPlacement(&wire.ClaimPlacement{DataCentre: string(key.Home()), Epoch: 1, Members: []string{"a#1@a"}})
	claimant.Acquire(0, key, digest, attempt)

	verdict := c.verdict

	switch {
	case verdict != wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED:
	case c.owner[key.String()] != "" && c.digests[key.String()] != string(digest):
		verdict = wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH
	case c.answers[key.String()] != nil:
		verdict = wire.ClaimVerdict_CLAIM_VERDICT_COMPLETED
	case c.owner[key.String()] != "":
		verdict = wire.ClaimVerdict_CLAIM_VERDICT_TAKEN
	default:
		c.owner[key.String()] = attempt
		c.digests[key.String()] = string(digest)
		verdict = wire.ClaimVerdict_CLAIM_VERDICT_GRANTED
	}

	return claimant.Receive(&wire.Envelope{Body: &wire.Envelope_ClaimReply{ClaimReply: &wire.ClaimReply{
		Key: key.String(), Attempt: attempt, Phase: wire.ClaimPhase_CLAIM_PHASE_TAKE, Verdict: verdict, Member: "a#1@a",
		Answer: c.answers[key.String()],
	}}})[0]
}

func (c *fakeClaims) Complete(key claimer.Key, _ []byte, attempt string, ran bool, answer *wire.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.owner[key.String()] != attempt:
	case ran:
		c.answers[key.String()] = answer
	default:
		delete(c.owner, key.String())
	}
}

const centre = tiller.DataCentre("kigali-1")

func document(t testing.TB) tiller.Document {
	t.Helper()

	d, faults := validator.Validate(tiller.DocumentSpec{
		Defaults: map[string]int64{"max_answer_bytes": 4096, "max_request_bytes": 4096, "retry_budget_percent": 100, "call_timeout_ms": 5000},
		Services: []tiller.ServiceSpec{{Name: "board"}, {Name: "empty"}},
		Routes: []tiller.RouteSpec{
			{Name: "browse", Method: "GET", PathPrefix: "/calls", Service: "board", Class: "interactive", Idempotent: true},
			{Name: "aimed", Method: "GET", PathPrefix: "/aimed", Service: "board", Class: "interactive", Idempotent: true, TargetLatencyMs: 100},
			{Name: "easy", Method: "GET", PathPrefix: "/easy", Service: "board", Class: "interactive", Idempotent: true, TargetLatencyMs: 2000},
			{Name: "change", Method: "PUT", PathPrefix: "/calls", Service: "board", Class: "interactive"},
			{Name: "once", Method: "PUT", PathPrefix: "/once", Service: "board", Class: "interactive", MaxAttempts: 1},
			{Name: "short", Method: "GET", PathPrefix: "/short", Service: "board", Class: "interactive", TimeoutMs: new(int64(150))},
			{Name: "submit", Method: "POST", PathPrefix: "/auditions", Service: "board", Class: "interactive", AtMostOnce: true},
			{Name: "nobody", Method: "GET", PathPrefix: "/empty", Service: "empty", Class: "patient", Idempotent: true},
		},
	})
	require.Empty(t, faults)

	return d
}

// newNodes starts one node per handler. They know each other and share claims and strikes.
func newNodes(t testing.TB, handlers ...http.HandlerFunc) []*fakeNode {
	t.Helper()

	nodes := make([]*fakeNode, 0, len(handlers))
	crashRecords := quarantiner.NewRegistry()
	claims := &fakeClaims{owner: map[string]string{}, digests: map[string]string{}, answers: map[string]*wire.Answer{}}

	for i, h := range handlers {
		nodes = append(nodes, newNode(t, i, h, crashRecords, claims))
	}

	var entries []*wire.NodeEntry

	for _, n := range nodes {
		entries = append(entries, &wire.NodeEntry{
			Name: string(n.name), DataCentre: string(centre), CallAddress: strings.TrimPrefix(n.server.URL, "http://"), Service: "board",
			State: wire.BackendState_BACKEND_STATE_READY, Slots: 32,
		})
	}

	for _, n := range nodes {
		location := tiller.NewLocation(centre, "board", n.name)
		n.table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, []byte("hash")), document(t), location, entries))
	}

	return nodes
}

func newNode(t testing.TB, i int, h http.HandlerFunc, crashRecords *quarantiner.Registry, claims *fakeClaims) *fakeNode {
	t.Helper()

	b := &backendServer{handle: h}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		b.handle(w, r)
	}))
	t.Cleanup(b.server.Close)

	n := &fakeNode{
		name: tiller.Worker("w" + string(rune('0'+i))), backend: b, state: wire.BackendState_BACKEND_STATE_READY,
		crashRecords: crashRecords, claims: claims,
	}
	clock := tiller.SteadyClock()
	n.forward = forwarder.New(forwarder.Options{
		Name: n.name, DataCentre: centre, Clock: clock, Table: &n.table, Balancer: balancer.New(centre, rand.New(rand.NewPCG(1, uint64(i)))),
		Limiter: limiter.New(limiter.NewCore(limiter.Options{Slots: 32, QueueLength: 4, QueueTimeout: tiller.Second}), clock),
		Budget:  retrier.NewBudget(), CrashRecords: crashRecords, Claims: claims, CrashReporter: n, BackendServer: n,
		NodeExchanger: exchanger.New(exchanger.Options{}), BackendExchanger: exchanger.New(exchanger.Options{}),
		Service: "board", Dialect: forwarder.Dialect{},
		Splitter: balancer.NewSplitter(rand.New(rand.NewPCG(1, 1))), Log: logr.Discard(), Metrics: metrics.NewRegistry(),
		Recorder: tiller.RecorderFunc(n.record),
	})
	n.server = httptest.NewServer(n.forward)
	t.Cleanup(n.server.Close)

	return n
}

func (n *fakeNode) record(events ...tiller.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, e := range events {
		n.kinds = append(n.kinds, e.Kind())
	}
}

// recorded returns how many events of a kind the node has recorded.
func (n *fakeNode) recorded(kind tiller.EventKind) int {
	n.mu.Lock()
	defer n.mu.Unlock()

	count := 0

	for _, k := range n.kinds {
		if k == kind {
			count++
		}
	}

	return count
}

func runs(nodes []*fakeNode) int {
	total := 0
	for _, n := range nodes {
		total += int(n.backend.runs.Load())
	}

	return total
}

type answer struct {
	status  int
	verdict string
	reason  string
	body    string
	header  http.Header
}

func send(t *testing.T, n *fakeNode, method, path, key, body string) answer {
	t.Helper()

	r, err := http.NewRequest(method, n.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)

	if key != "" {
		r.Header.Set(forwarder.HeaderKey, key)
	}

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)

	return answer{
		status: resp.StatusCode, verdict: resp.Header.Get(forwarder.HeaderVerdict), reason: resp.Header.Get(forwarder.HeaderReason),
		body: string(data), header: resp.Header,
	}
}

// rateGauge returns the rate limit in the node's metrics.
func (n *fakeNode) rateGauge() float64 {
	gauge, ok := n.forward.Metrics.Get("calls.rate_limit").(metrics.GaugeFloat64)
	if !ok {
		return -1
	}

	return gauge.Value()
}
