package nodeserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// stopFleet is a node that is to be stopped, with a worker at another node whose runs last until they are released.
type stopFleet struct {
	node    *restartable
	backend *httptest.Server
	runs    atomic.Int64
}

// workTime is how long the backend server of a stopFleet works on a request of the slow route: longer than a stop of the node takes.
const workTime = 4 * time.Second

func newStopFleet(t *testing.T) *stopFleet {
	t.Helper()

	f := &stopFleet{}
	f.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)

		if strings.HasPrefix(r.URL.Path, "/slow") {
			select {
			case <-time.After(workTime):
			case <-r.Context().Done():
			}
		}

		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(f.backend.Close)

	document, faults := validator.Validate(tiller.DocumentSpec{
		Services: []tiller.ServiceSpec{{Name: "board"}},
		Routes: []tiller.RouteSpec{
			{Name: "slow", Method: "GET", PathPrefix: "/slow", Service: "board", Class: "interactive", Idempotent: true, TimeoutMs: new(int64(20_000))},
			{Name: "once", Method: "POST", PathPrefix: "/slow", Service: "board", Class: "interactive", TimeoutMs: new(int64(20_000))},
			{Name: "quick", Method: "GET", PathPrefix: "/quick", Service: "board", Class: "interactive", Idempotent: true, TimeoutMs: new(int64(200))},
		},
	})
	require.Empty(t, faults)

	nodes := startNodes(t, 2, noController)
	f.node = nodes[0]
	f.node.kill()
	f.node.settings.CallerAddress = loopback.FreeAddress(t)
	f.node.settings.LeaveNoticeMs = 500
	f.node.settings.DrainMs = 1500
	f.node.start()

	worker := nodes[1]

	for _, n := range nodes {
		n.server.table.Store(forwarder.NewTable(tiller.NewVersion(1, 1, nil), document,
			tiller.NewLocation(tiller.DataCentre(n.settings.DataCentre), "board", tiller.Worker(n.settings.Name)), []*wire.NodeEntry{{
				Name: worker.settings.Name, DataCentre: worker.settings.DataCentre, CallAddress: worker.settings.CallAddress, Service: "board",
				State: wire.BackendState_BACKEND_STATE_READY, Slots: 10,
			}}))
	}

	_, err := worker.server.Announce(context.Background(), registrar.Announcement{
		Address: strings.TrimPrefix(f.backend.URL, "http://"), Service: "board", Slots: 10, State: "ready",
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return worker.backendState() == wire.BackendState_BACKEND_STATE_READY }, restartMaxWait, restartPoll)

	return f
}

// TestRequestReadLateInAStopIsAnsweredOrRefused guards against requests that a stopping node passes on and then cuts off without an answer.
func TestRequestReadLateInAStopIsAnsweredOrRefused(t *testing.T) {
	const lateInStop = 1200 * time.Millisecond

	for _, tc := range []struct {
		name   string
		begin  string
		rest   string
		status int
	}{
		{"head of an idempotent request", "GET /slow HTTP/1.1\r\n", "Host: a\r\n\r\n", http.StatusServiceUnavailable},
		{"head of one that may run once", "POST /slow HTTP/1.1\r\n", "Host: a\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		{"body", "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", "dy", http.StatusServiceUnavailable},
		{
			"request behind another", "GET /quick HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\n", "Host: a\r\n\r\n",
			http.StatusServiceUnavailable,
		},
		{"request that is sure to be answered in time", "GET /quick HTTP/1.1\r\n", "Host: a\r\n\r\n", http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			f := newStopFleet(t)

			c, err := net.Dial("tcp", f.node.settings.CallerAddress)
			require.NoError(t, err)

			defer c.Close()

			r := bufio.NewReader(c)
			_, err = io.WriteString(c, tc.begin)
			require.NoError(t, err)

			if strings.HasPrefix(tc.name, "request behind") {
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.NoError(t, resp.Body.Close())
			}

			before := f.runs.Load()

			f.node.cancel()
			time.Sleep(lateInStop)

			_, err = io.WriteString(c, tc.rest)
			require.NoError(t, err)

			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err, "the connection ended without an answer; the worker began %d runs", f.runs.Load()-before)
			text, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode, "%s", text)
			require.True(t, resp.Close)

			if tc.status != http.StatusOK {
				require.Equal(t, "not_run", resp.Header.Get(forwarder.HeaderVerdict))
				require.Equal(t, before, f.runs.Load())
			}

			<-f.node.done
		})
	}
}
