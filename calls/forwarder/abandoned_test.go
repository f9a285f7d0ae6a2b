package forwarder_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
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
			running, crashed := make(chan struct{}, 1), make(chan struct{})
			nodes := newNodes(t, func(http.ResponseWriter, *http.Request) {
				running <- struct{}{}

				<-crashed
			})
			n := nodes[0]
			n.start = "a@1"

			// The server cannot be closed while it runs a request.
			t.Cleanup(func() { close(crashed) })

			var now atomic.Int64

			now.Store(int64(tiller.Hour))
			n.forward.Clock = tiller.ClockFunc(func() tiller.Millis { return tiller.Millis(now.Load()) })

			ctx, leave := context.WithCancel(context.Background())
			defer leave()

			r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.server.URL+tc.path, nil)
			require.NoError(t, err)

			ended := make(chan struct{})

			go func() {
				defer close(ended)

				if resp, err := http.DefaultClient.Do(r); err == nil {
					resp.Body.Close()
				}
			}()

			<-running

			if tc.leaves {
				leave()
			}

			<-ended
			require.Eventually(t, func() bool {
				load, _, _ := n.forward.Limiter.Load()

				return load == 0
			}, maxWait, poll, "the node has ended the request")
			now.Add(int64(tc.later))

			// The server crashes: its port refuses connections.
			require.NoError(t, n.backend.server.Listener.Close())

			d := quarantiner.DigestOf(http.MethodGet, tc.path, "", "", nil)
			require.Equal(t, "no_backend", send(t, n, http.MethodPut, "/once/1", "", "").reason)
			require.Equal(t, tc.strikes, n.crashRecords.Strikes(d))
		})
	}
}
