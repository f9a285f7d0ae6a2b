package nodeserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestRestartOfTheServerCountsAsACrash guards against a request that crashes one server after another because its caller leaves before each crash
// and no other request meets the server before it is back.
func TestRestartOfTheServerCountsAsACrash(t *testing.T) {
	announce := func(t *testing.T, s *Server, instance string, start int64, sequence uint64) {
		t.Helper()

		faults, err := s.Announce(context.Background(), registrar.Announcement{
			Address: s.registrar.Latest().Address, Service: "board", Slots: 4, State: "ready", Instance: instance, StartedAtMs: start,
			Sequence: sequence,
		})
		require.NoError(t, err)
		require.Empty(t, faults)
	}

	cases := []struct {
		name    string
		then    func(t *testing.T, s *Server)
		strikes int
	}{
		{"it starts again under its id", func(t *testing.T, s *Server) { announce(t, s, "i-1", 200, 1) }, 1},
		{"another one starts in its place", func(t *testing.T, s *Server) { announce(t, s, "i-2", 200, 1) }, 1},
		{"it announces itself again", func(t *testing.T, s *Server) { announce(t, s, "i-1", 100, 2) }, 0},
		{"it left before", func(t *testing.T, s *Server) {
			// No other node stores the withdrawal.
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			require.ErrorIs(t, s.Withdraw(ended, "i-1", 100), ErrNotReplicated)
			announce(t, s, "i-1", 200, 1)
		}, 0},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			running, end := make(chan struct{}, 1), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				running <- struct{}{}

				<-end
			}))
			t.Cleanup(backend.Close)
			t.Cleanup(func() { close(end) })

			s := newServerOfBackend(t, strings.TrimPrefix(backend.URL, "http://"))
			node := httptest.NewServer(s.forwarder)
			t.Cleanup(node.Close)

			ctx, leave := context.WithCancel(context.Background())
			defer leave()

			r, err := http.NewRequestWithContext(ctx, http.MethodGet, node.URL+"/calls", nil)
			require.NoError(t, err)

			ended := make(chan struct{})

			go func() {
				defer close(ended)

				if resp, err := http.DefaultClient.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}()

			<-running
			leave()
			<-ended
			require.Eventually(t, func() bool {
				load, _, _ := s.limiter.Load()

				return load == 0
			}, restartMaxWait, restartPoll, "the node has ended the request")

			tc.then(t, s)
			require.Equal(t, tc.strikes, s.crashRecords.Strikes(quarantiner.DigestOf(http.MethodGet, "/calls", "", "", nil)))
		})
	}
}

// newServerOfBackend returns a node, none of whose parts run, with a ready backend server that started at time 100 as i-1.
func newServerOfBackend(t *testing.T, address string) *Server {
	t.Helper()

	s := newIdleServer(t, 0)

	document, faults := validator.Validate(tiller.DocumentSpec{
		Services: []tiller.ServiceSpec{{Name: "board"}},
		Routes:   []tiller.RouteSpec{{Name: "browse", Method: "GET", PathPrefix: "/calls", Service: "board", Class: "interactive", Idempotent: true}},
	})
	require.Empty(t, faults)

	s.table.Store(forwarder.NewTable(tiller.NewVersion(1, 1, nil), document, tiller.NewLocation("dc0", "board", "node-0"), []*wire.NodeEntry{{
		Name: "node-0", DataCentre: "dc0", CallAddress: "127.0.0.1:1", Service: "board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 4,
	}}))

	_, err := s.Announce(context.Background(), registrar.Announcement{
		Address: address, Service: "board", Slots: 4, State: "ready", Instance: "i-1", StartedAtMs: 100, Sequence: 1,
	})
	require.NoError(t, err)

	ready := forwarder.NewTarget(tiller.Address(address), "i-1", wire.BackendState_BACKEND_STATE_READY).WithStart("i-1@100")
	require.Eventually(t, func() bool {
		s.tick()

		return (*backendServerAdapter)(s).Target() == ready
	}, restartMaxWait, restartPoll)

	return s
}
