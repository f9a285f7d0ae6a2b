package standin_test

import (
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
)

// TestRepeatByTheClientLibraryIsNoViolation guards against a report of a request that was refused as not run but ran, where the HTTP client sent it
// a second time by itself and only that was refused.
func TestRepeatByTheClientLibraryIsNoViolation(t *testing.T) {
	for _, tc := range []struct {
		name       string
		resets     bool
		violations int
	}{
		{"connection reset while the request ran", true, 0},
		{"refused after it ran", false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runs := standin.NewRunLog()
			tally := standin.NewTally(runs)

			var requests atomic.Int64

			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n := requests.Add(1)
				if n == 2 {
					runs.RecordRun("w1", r.Header.Get(standin.HeaderAttempt))
				}

				if n == 2 && tc.resets {
					reset(t, w)

					return
				}

				// The first answer leaves a connection that the client uses again.
				w.Header().Set(forwarder.HeaderVerdict, tiller.VerdictNotRun.String())
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(node.Close)

			c := standin.NewCallers([]standin.CallKind{{Name: "browse", Method: http.MethodGet, Path: "/calls", Weight: 1}},
				[]standin.Target{{Address: tiller.Address(strings.TrimPrefix(node.URL, "http://"))}}, tally)

			for range 2 {
				c.Call(standin.CallKind{Name: "browse", Method: http.MethodGet, Path: "/calls"})
			}

			require.Len(t, tally.Check(), tc.violations)
		})
	}
}

// reset ends the connection of a request by a reset.
func reset(t *testing.T, w http.ResponseWriter) {
	t.Helper()

	c, _, err := http.NewResponseController(w).Hijack()
	require.NoError(t, err)

	if tcp, ok := c.(*net.TCPConn); ok {
		require.NoError(t, tcp.SetLinger(0))
	}

	require.NoError(t, c.Close())
}
