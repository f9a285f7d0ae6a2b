package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func ok(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "answer to "+r.URL.Path) }

// crash closes the connection without an answer, like a server that crashes.
func crash(w http.ResponseWriter, _ *http.Request) { hangUp(w, "") }

func hangUp(w http.ResponseWriter, sent string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}

	_, _ = buffer.WriteString(sent)
	_ = buffer.Flush()
	_ = conn.Close()
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	hangUp(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf an answer")
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(forwarder.HeaderVerdict, "not_run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func oversized(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 10_000)) }

func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestVerdicts compares the verdict that the caller receives with the runs counted at the backend servers.
func TestVerdicts(t *testing.T) {
	const key = "kigali-1."

	keyed := standin.NewKey(centre)
	cases := []struct {
		name    string
		handle  http.HandlerFunc
		method  string
		path    string
		key     string
		status  int
		verdict string
		reason  string
		runs    int
	}{
		{"complete answer", ok, "GET", "/calls/1", "", 200, "ran", "", 1},
		{"no route", ok, "GET", "/nowhere", "", 404, "not_run", "no_route", 0},
		{"prefix of a path element is no match", ok, "GET", "/callsign", "", 404, "not_run", "no_route", 0},
		{"service without servers", ok, "GET", "/empty", "", 503, "not_run", "no_backend", 0},
		{"server crashes, idempotent: retried until the request is quarantined", crash, "GET", "/calls/1", "", 403, "may_have_run", "quarantined", 2},
		{"server crashes, not idempotent: tried once", crash, "PUT", "/calls/1", "", 502, "may_have_run", "backend_failed", 1},
		{"server crashes, keyed: tried once", crash, "POST", "/auditions", keyed, 502, "may_have_run", "backend_failed", 1},
		{"truncated answer, not idempotent", truncate, "PUT", "/calls/1", "", 502, "may_have_run", "answer_truncated", 1},
		{"server sheds: every server is tried", shed, "PUT", "/calls/1", "", 503, "not_run", "overload", 3},
		{"server sheds a keyed request", shed, "POST", "/auditions", keyed, 503, "not_run", "overload", 3},
		{"oversized answer", oversized, "GET", "/calls/1", "", 502, "ran", "answer_too_large", 1},
		{"answer later than the deadline", stall, "GET", "/short", "", 504, "may_have_run", "deadline", 1},
		{"key missing", ok, "POST", "/auditions", "", 400, "not_run", "key_missing", 0},
		{"key without a home data centre", ok, "POST", "/auditions", keyed[len(key):], 400, "not_run", "key_invalid", 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			nodes := newNodes(t, tc.handle, tc.handle, tc.handle)
			a := send(t, nodes[0], tc.method, tc.path, tc.key, "")
			require.Equal(t, tc.status, a.status, a.body)
			require.Equal(t, tc.verdict, a.verdict)
			require.Equal(t, tc.reason, a.reason)
			require.Equal(t, tc.runs, runs(nodes))
			require.Equal(t, string(centre), a.header.Get(forwarder.HeaderHome))
		})
	}
}

func TestRetryReachesAHealthyServer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken http.HandlerFunc
		method string
		key    bool
	}{
		{"idempotent call after a truncated answer", truncate, "GET", false},
		{"any call after a server shed it", shed, "PUT", false},
		{"keyed call after a server shed it", shed, "POST", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			nodes := newNodes(t, tc.broken, tc.broken, ok)
			path, key := "/calls/1", ""

			if tc.key {
				path, key = "/auditions", standin.NewKey(centre)
			}

			for range 2 {
				a := send(t, nodes[0], tc.method, path, key, "")
				require.Equal(t, 200, a.status, a.body)
			}

			if tc.key {
				require.Equal(t, int64(1), nodes[2].backend.runs.Load(), "duplicates get the stored answer")
			}
		})
	}
}

func TestResendOfAKeyThroughAnotherNode(t *testing.T) {
	nodes := newNodes(t, ok, ok)
	key := standin.NewKey(centre)
	first := send(t, nodes[0], "POST", "/auditions", key, "body")
	again := send(t, nodes[1], "POST", "/auditions", key, "body")
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get(forwarder.HeaderReplayed))
	require.Equal(t, 1, runs(nodes))
}

func TestResendAfterTheServerCrashedDuringTheRun(t *testing.T) {
	nodes := newNodes(t, crash, crash)
	key := standin.NewKey(centre)
	require.Equal(t, "may_have_run", send(t, nodes[0], "POST", "/auditions", key, "body").verdict)

	for range 3 {
		a := send(t, nodes[1], "POST", "/auditions", key, "body")
		require.Equal(t, "may_have_run", a.verdict)
		require.Equal(t, "in_progress", a.reason)
	}

	require.Equal(t, 1, runs(nodes))
}

// TestBrokenReusedConnectionCausesNoRetry breaks a connection that has already served a request. HTTP client libraries tend to retry by
// themselves in this case.
func TestBrokenReusedConnectionCausesNoRetry(t *testing.T) {
	for _, tc := range []struct{ method, path string }{{"POST", "/auditions"}, {"PUT", "/calls/1"}} {
		broken := atomic.Bool{}
		nodes := newNodes(t, func(w http.ResponseWriter, r *http.Request) {
			if broken.Load() {
				crash(w, r)
			} else {
				ok(w, r)
			}
		})
		require.Equal(t, 200, send(t, nodes[0], tc.method, tc.path, standin.NewKey(centre), "body").status)
		broken.Store(true)
		require.Equal(t, "may_have_run", send(t, nodes[0], tc.method, tc.path, standin.NewKey(centre), "body").verdict)
		require.Equal(t, 2, runs(nodes))
	}
}

func TestClaimVerdictsThatRefuse(t *testing.T) {
	cases := []struct {
		claim   wire.ClaimVerdict
		verdict string
		reason  string
	}{
		{wire.ClaimVerdict_CLAIM_VERDICT_FENCED, "may_have_run", "key_fenced"},
		{wire.ClaimVerdict_CLAIM_VERDICT_MISMATCH, "not_run", "key_reused"},
		{wire.ClaimVerdict_CLAIM_VERDICT_TAKEN, "may_have_run", "in_progress"},
		{wire.ClaimVerdict_CLAIM_VERDICT_WRONG_EPOCH, "not_run", "claim_unavailable"},
	}

	for _, tc := range cases {
		nodes := newNodes(t, ok)
		nodes[0].claims.verdict = tc.claim
		a := send(t, nodes[0], "POST", "/auditions", standin.NewKey(centre), "body")
		require.Equal(t, tc.verdict, a.verdict)
		require.Equal(t, tc.reason, a.reason)
		require.Zero(t, runs(nodes))
	}
}

// TestKeyIsKnownThroughNodesOfOtherServices guards against a second run of a keyed request that is resent through a VM whose worker belongs
// to another service.
func TestKeyIsKnownThroughNodesOfOtherServices(t *testing.T) {
	nodes := newNodes(t, ok, ok)
	nodes[1].forward.Service = "talent"
	key := standin.NewKey(centre)

	require.Equal(t, "ran", send(t, nodes[0], "POST", "/auditions", key, "body").verdict)
	require.Equal(t, "ran", send(t, nodes[1], "POST", "/auditions", key, "body").verdict)
	require.Equal(t, "key_reused", send(t, nodes[1], "POST", "/auditions", key, "another body").reason)
	require.Equal(t, 1, runs(nodes))
}

// TestEjectionIsRecorded fails attempts at a worker until it reaches the configured number of consecutive failures and is ejected.
func TestEjectionIsRecorded(t *testing.T) {
	nodes := newNodes(t, truncate)

	for range 4 {
		send(t, nodes[0], "PUT", "/calls/1", "", "")
	}

	require.Zero(t, nodes[0].recorded(tiller.EventEjected))

	send(t, nodes[0], "PUT", "/calls/1", "", "")
	require.Equal(t, 1, nodes[0].recorded(tiller.EventEjected))
}

func TestDrainingWorkerRefusesAndAnotherServes(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)
	nodes[1].state = wire.BackendState_BACKEND_STATE_DRAINING
	nodes[2].forward.Drain()

	for range 20 {
		require.Equal(t, 200, send(t, nodes[0], "PUT", "/calls/1", "", "").status)
	}

	require.Zero(t, nodes[1].backend.runs.Load())
	require.Zero(t, nodes[2].backend.runs.Load())
}

func TestServerThatRefusesConnections(t *testing.T) {
	nodes := newNodes(t, ok, ok)
	nodes[1].backend.server.Close()

	for range 10 {
		require.Equal(t, 200, send(t, nodes[0], "PUT", "/calls/1", "", "").status)
	}

	require.Positive(t, nodes[1].refused.Load())
}

func TestAnswerOfAnotherAttemptIsNotPassedOn(t *testing.T) {
	nodes := newNodes(t, ok)
	forged := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(forwarder.HeaderAttempt, "another attempt")
		w.Header().Set(forwarder.HeaderLength, "5")
		_, _ = io.WriteString(w, "other")
	}))
	t.Cleanup(forged.Close)

	location := tiller.NewLocation(centre, "board", nodes[0].name)
	nodes[0].table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, nil), document(t), location, []*wire.NodeEntry{{
		Name: "forged", DataCentre: string(centre), CallAddress: strings.TrimPrefix(forged.URL, "http://"), Service: "board",
		State: wire.BackendState_BACKEND_STATE_READY, Slots: 1,
	}}))

	a := send(t, nodes[0], "PUT", "/calls/1", "", "")
	require.Equal(t, 502, a.status)
	require.Equal(t, "may_have_run", a.verdict)
}

func TestCallToAnUnreachableNodeIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	gone := l.Addr().String()
	require.NoError(t, l.Close())

	nodes := newNodes(t, ok)
	location := tiller.NewLocation(centre, "board", nodes[0].name)
	nodes[0].table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, nil), document(t), location, []*wire.NodeEntry{{
		Name: "gone", DataCentre: string(centre), CallAddress: gone, Service: "board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 1,
	}}))

	a := send(t, nodes[0], "PUT", "/calls/1", "", "")
	require.Equal(t, "not_run", a.verdict)
	require.Equal(t, "unreachable", a.reason)

	var body struct {
		Verdict string `json:"verdict"`
		Detail  string `json:"detail"`
	}

	require.NoError(t, json.Unmarshal([]byte(a.body), &body))
	require.Equal(t, "not_run", body.Verdict)
	require.NotEmpty(t, body.Detail)
}

// TestAmplificationAlongAChain makes the last call of a chain of 13 fail and counts the calls, retries included.
func TestAmplificationAlongAChain(t *testing.T) {
	const depth = 13

	var (
		nodes []*fakeNode
		calls atomic.Int64
	)

	handle := func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)

		level := strings.Count(r.URL.Path, "x")
		if level >= depth-1 {
			shed(w, r)

			return
		}

		inner, err := http.NewRequest(http.MethodGet, nodes[0].server.URL+r.URL.Path+"x", nil)
		if err != nil {
			panic(err)
		}

		for _, h := range []string{forwarder.HeaderDeadline, forwarder.HeaderRetriesLeft, forwarder.HeaderCause} {
			inner.Header.Set(h, r.Header.Get(h))
		}

		resp, err := http.DefaultClient.Do(inner)
		if err != nil {
			panic(err)
		}

		defer resp.Body.Close()

		w.Header().Set(forwarder.HeaderRetriesSpent, resp.Header.Get(forwarder.HeaderRetriesSpent))
		w.Header().Set(forwarder.HeaderVerdict, resp.Header.Get(forwarder.HeaderVerdict))
		w.WriteHeader(resp.StatusCode)
	}
	nodes = newNodes(t, handle, handle, handle, handle)

	a := send(t, nodes[0], "GET", "/calls/", "", "")
	require.Equal(t, 503, a.status)
	require.Less(t, float64(calls.Load())/depth, 1.3, "%d calls for a chain of %d", calls.Load(), depth)
}

// TestUnreachableNodesConsumeNoAttempt closes the listeners of two of three nodes. The route allows one attempt, which a refused connection
// must not consume.
func TestUnreachableNodesConsumeNoAttempt(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)
	nodes[1].server.Close()
	nodes[2].server.Close()

	for range 10 {
		a := send(t, nodes[0], "PUT", "/once", "", "")
		require.Equal(t, 200, a.status, a.body)
	}

	require.Equal(t, 10, runs(nodes))
}

// TestAddressReassignedToAnotherWorker guards against a run on the wrong worker after its address was reassigned: an attempt for another
// worker or service reaches the node.
func TestAddressReassignedToAnotherWorker(t *testing.T) {
	nodes := newNodes(t, ok)

	for name, to := range map[string][2]string{"another worker": {"w9", "board"}, "another service": {"w0", "archive"}} {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodGet, nodes[0].server.URL+"/calls/1", nil)
			require.NoError(t, err)
			r.Header.Set(forwarder.HeaderAttempt, "a1")
			r.Header.Set(forwarder.HeaderTo, to[0])
			r.Header.Set(forwarder.HeaderService, to[1])
			r.Header.Set(forwarder.HeaderDeadline, "1000")

			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, "not_run", resp.Header.Get(forwarder.HeaderVerdict))
			require.Equal(t, "unreachable", resp.Header.Get(forwarder.HeaderReason))
			require.Zero(t, runs(nodes))
		})
	}
}

// TestCallerDisconnectCancelsTheRun checks that the cancellation passes through two nodes to the backend server.
func TestCallerDisconnectCancelsTheRun(t *testing.T) {
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}

		<-r.Context().Done()

		ended <- struct{}{}
	}
	nodes := newNodes(t, hang, hang)
	nodes[0].state = wire.BackendState_BACKEND_STATE_DRAINING

	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, nodes[0].server.URL+"/calls/1", nil)
	require.NoError(t, err)

	go func() {
		<-started
		cancel()
	}()

	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // no answer comes
	require.Error(t, err)
	<-ended
}
