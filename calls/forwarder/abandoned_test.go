package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	maxWait = 10 * time.Second
	poll    = time.Millisecond
)

// TestCrashAfterTheCallerLeftCounts guards against a request that crashes each server that runs it, but is never quarantined because its caller
// leaves, or its time ends, before the crash.
func TestCrashAfterTheCallerLeftCounts(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		leaves bool
		// later is the time between the end of the call and the first sign of the crash.
		later   tiller.Millis
		strikes int
	}{
		{"the caller leaves", "/calls/1", true, 0, 1},
		{"the time of the call ends", "/short/1", false, 0, 1},
		{"the server ends long after", "/calls/1", true, 3 * tiller.Second, 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n, now := nodeWithAbandonedRun(t, tc.path, tc.leaves)
			now.Add(int64(tc.later))

			// The server crashes: its port refuses connections.
			require.NoError(t, n.backend.server.Listener.Close())

			d := quarantiner.DigestOf(http.MethodGet, tc.path, "", "", nil)
			require.Equal(t, "no_backend", send(t, n, http.MethodPut, "/once/1", "", "").reason)
			require.Equal(t, tc.strikes, n.crashRecords.Strikes(d))
		})
	}
}

// nodeWithAbandonedRun returns a node whose backend server, started as a@1, runs a request whose call has ended: its caller has left, or its time is
// over. The node's time is the returned one.
func nodeWithAbandonedRun(t *testing.T, path string, leaves bool) (*fakeNode, *atomic.Int64) {
	t.Helper()

	running, crashed := make(chan struct{}, 1), make(chan struct{})
	nodes := newNodes(t, func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}

		<-crashed
	})
	n := nodes[0]
	n.start = "a@1"

	// The server cannot be closed while it runs a request.
	t.Cleanup(func() { close(crashed) })

	now := &atomic.Int64{}
	now.Store(int64(tiller.Hour))
	n.forward.Clock = tiller.ClockFunc(func() tiller.Millis { return tiller.Millis(now.Load()) })

	abandon(t, n, path, leaves, running)

	return n, now
}

// TestRestartAfterTheCallerLeftCounts guards against the same where no request meets the server before it is back.
func TestRestartAfterTheCallerLeftCounts(t *testing.T) {
	target := forwarder.NewTarget("127.0.0.1:80", "a", wire.BackendState_BACKEND_STATE_READY)

	cases := []struct {
		name     string
		previous forwarder.Target
		// aliveAt is when the server last announced itself, after the end of the call.
		aliveAt tiller.Millis
		strikes int
	}{
		{"last known to run before the end of the call", target.WithStart("a@1"), -tiller.Second, 1},
		{"known to run shortly after it", target.WithStart("a@1"), tiller.Second, 1},
		{"known to run long after it", target.WithStart("a@1"), 2 * tiller.Second, 0},
		{"another start ended", target.WithStart("a@2"), 0, 0},
		{"the server was leaving", target.WithStart("a@1").WithLeavingFor(tiller.Some(tiller.Second)), 0, 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n, now := nodeWithAbandonedRun(t, "/calls/1", true)
			endedAt := tiller.Millis(now.Load())

			// The server is back only after a while.
			now.Add(int64(10 * tiller.Second))
			n.forward.ReportRestart(tc.previous, endedAt+tc.aliveAt)
			require.Equal(t, tc.strikes, n.crashRecords.Strikes(quarantiner.DigestOf(http.MethodGet, "/calls/1", "", "", nil)))
		})
	}
}

// TestRunOnTheRestartedServerIsInnocent guards against a strike for a request that was sent to the server after its crash had been seen, when it
// was back but had not announced itself yet.
func TestRunOnTheRestartedServerIsInnocent(t *testing.T) {
	n, _ := nodeWithAbandonedRun(t, "/calls/1", true)
	previous := n.Target()

	require.NoError(t, n.backend.server.Listener.Close())
	require.Equal(t, "no_backend", send(t, n, http.MethodPut, "/once/1", "", "").reason)

	running, end := make(chan struct{}, 1), make(chan struct{})
	back := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}

		<-end
	}))
	t.Cleanup(back.Close)
	t.Cleanup(func() { close(end) })

	n.backend.server = back

	abandon(t, n, "/calls/2", true, running)
	n.forward.ReportRestart(previous, tiller.Hour)
	require.Equal(t, 1, n.crashRecords.Strikes(quarantiner.DigestOf(http.MethodGet, "/calls/1", "", "", nil)))
	require.Zero(t, n.crashRecords.Strikes(quarantiner.DigestOf(http.MethodGet, "/calls/2", "", "", nil)))
}

// abandon calls a node for a path. Once the backend server runs the request, its caller leaves, or its time ends.
func abandon(t *testing.T, n *fakeNode, path string, leaves bool, running <-chan struct{}) {
	t.Helper()

	ctx, leave := context.WithCancel(context.Background())
	defer leave()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.server.URL+path, nil)
	require.NoError(t, err)

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
		}
	}()

	<-running

	if leaves {
		leave()
	}

	<-ended
	waitUntilIdle(t, n)
}

// waitUntilIdle waits until a node has ended all requests.
func waitUntilIdle(t *testing.T, n *fakeNode) {
	t.Helper()

	require.Eventually(t, func() bool {
		load, _, _ := n.forward.Limiter.Load()

		return load == 0
	}, maxWait, poll, "the node has ended the request")
}
