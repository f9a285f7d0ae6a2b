package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestRequestThatWaitedIsNotSentToALeavingServer guards against a request that is admitted, waits, and reaches a server that has left meanwhile.
func TestRequestThatWaitedIsNotSentToALeavingServer(t *testing.T) {
	leave := func(n *fakeNode) { n.leaving.Store(true) }

	cases := []struct {
		name string
		// begin prepares the wait. It returns what is to happen once the request waits, nil if that happens by itself.
		begin func(t *testing.T, n *fakeNode) func()
	}{
		{"for a slot", func(t *testing.T, n *fakeNode) func() {
			t.Helper()

			release := occupy(t, n)

			return func() {
				leave(n)
				release()
			}
		}},
		{"for its claim", func(_ *testing.T, n *fakeNode) func() {
			n.claims.onAcquire = func() { leave(n) }

			return nil
		}},
		{"for a connection", func(_ *testing.T, n *fakeNode) func() {
			n.forward.BackendExchanger = exchanger.New(exchanger.Options{OnConnect: func(tiller.Address) { leave(n) }})

			return nil
		}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newNodes(t, ok)[0]
			leaves := tc.begin(t, n)
			answers := make(chan answer, 1)

			go func() { answers <- send(t, n, http.MethodPost, "/auditions", standin.NewKey(centre), "body") }()

			if leaves != nil {
				awaitWaiting(t, n)
				leaves()
			}

			a := <-answers
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Equal(t, "not_run", a.verdict)
			require.Equal(t, "draining", a.reason)
			require.Zero(t, n.backend.runs.Load())
		})
	}
}

// TestStoppingNodeRefusesAttemptsThatMayOutlastIt guards against requests of other nodes that are cut off when the node beside their worker stops.
func TestStoppingNodeRefusesAttemptsThatMayOutlastIt(t *testing.T) {
	nodes := newNodes(t, ok, ok)
	nodes[0].state = wire.BackendState_BACKEND_STATE_NONE

	// The timeout of both routes is 5 s.
	for _, tc := range []struct {
		name, method string
		left         tiller.Millis
		status       int
	}{
		{"idempotent", http.MethodGet, 2 * tiller.Second, http.StatusServiceUnavailable},
		{"one that may run once", http.MethodPut, 2 * tiller.Second, http.StatusServiceUnavailable},
		{"one that ends before the stop", http.MethodPut, tiller.Minute, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			nodes[1].forward.BeginStop(nodes[1].forward.Clock.Now() + tc.left)

			before := runs(nodes)
			a := send(t, nodes[0], tc.method, "/calls/1", "", "")
			require.Equal(t, tc.status, a.status)

			if tc.status != http.StatusOK {
				require.Equal(t, "not_run", a.verdict)
				require.Equal(t, before, runs(nodes))
			}
		})
	}
}

// TestWaitingRequestIsServedWhileItsNodeStops guards against the refusal of requests that were admitted before the end of a node's notice.
func TestWaitingRequestIsServedWhileItsNodeStops(t *testing.T) {
	n := newNodes(t, ok)[0]
	release := occupy(t, n)
	answers := make(chan answer, 1)

	go func() { answers <- send(t, n, http.MethodPut, "/calls/1", "", "") }()

	awaitWaiting(t, n)
	n.forward.BeginStop(n.forward.Clock.Now() + tiller.Minute)
	n.forward.Drain()
	release()

	require.Equal(t, http.StatusOK, (<-answers).status)
}

// awaitWaiting waits until a request waits for a slot of a node's server.
func awaitWaiting(t *testing.T, n *fakeNode) {
	t.Helper()

	require.Eventually(t, func() bool {
		waiting := 0
		n.forward.Limiter.WithCore(func(c *limiter.Core) { waiting = c.Waiting() })

		return waiting > 0
	}, 10*time.Second, time.Millisecond)
}
