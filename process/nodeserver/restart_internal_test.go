package nodeserver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	restartMaxWait = 30 * time.Second
	restartPoll    = 5 * time.Millisecond
)

// restartable is a node that can be killed and started again on the same addresses.
type restartable struct {
	t        *testing.T
	settings Settings
	server   *Server
	cancel   context.CancelFunc
	done     chan struct{}
}

func (r *restartable) start() {
	r.t.Helper()

	s, err := New(r.settings, Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	require.NoError(r.t, err)

	ctx, cancel := context.WithCancel(context.Background())
	r.server, r.cancel, r.done = s, cancel, make(chan struct{})

	go func() {
		defer close(r.done)

		// A killed node's parts return the errors of their closed sockets.
		_ = runner.Run(ctx, s.Parts()...)
	}()
}

func (r *restartable) kill() {
	_ = r.server.Kill()
	r.cancel()
	<-r.done
}

func (r *restartable) backendState() wire.BackendState {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()

	return r.server.core.Self().GetState()
}

func (r *restartable) withdrawalRestored() bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()

	return len(r.server.core.Self().GetWithdrawals()) > 0
}

func (r *restartable) archived() bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()

	return r.server.core.Archived()
}

func (r *restartable) knownNodes() int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()

	return len(r.server.core.Entries())
}

// startControllers starts the initial voters of a cluster and returns their addresses.
func startControllers(t *testing.T, count int) []string {
	t.Helper()

	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = loopback.FreeAddress(t)
	}

	for i, address := range addresses {
		server, err := controlserver.New(controlserver.Settings{
			Name: fmt.Sprintf("controller-%d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Address: address, Peers: addresses, InitialVoters: addresses,
			DataFolder: t.TempDir(), HeartbeatMs: 50,
		}, controlserver.Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
		require.NoError(t, err)

		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})

		go func() {
			defer close(done)

			_ = runner.Run(ctx, server.Parts()...)
		}()

		t.Cleanup(func() {
			cancel()
			<-done
		})
	}

	return addresses
}

// noController is an address where no controller listens.
const noController = "127.0.0.1:1"

// newIdleServer returns a node, none of whose parts run, whose backend server accepts requests for a linger after it has begun to drain.
func newIdleServer(t *testing.T, linger tiller.Millis) *Server {
	t.Helper()

	s, err := New(Settings{
		Name: "node-0", DataCentre: "dc0", Service: "board", Address: "127.0.0.1:0", CallAddress: "127.0.0.1:0", Controllers: []string{noController},
		ConnectionsOptional: true, AnnounceLeaseMs: int64(tiller.Minute), DrainLingerMs: int64(linger),
	}, Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Kill()) })

	return s
}

// startNodes starts nodes in two data centres and returns them once they know each other.
func startNodes(t *testing.T, count int, controllers ...string) []*restartable {
	t.Helper()

	nodes := make([]*restartable, count)
	seeds := make([]string, count)

	for i := range seeds {
		seeds[i] = loopback.FreeAddress(t)
	}

	for i := range nodes {
		nodes[i] = &restartable{t: t, settings: Settings{
			Name: fmt.Sprintf("node-%d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Service: "board", Address: seeds[i],
			CallAddress: loopback.FreeAddress(t), Controllers: controllers, Seeds: seeds, ConnectionsOptional: true,
		}}
		nodes[i].start()
		t.Cleanup(func() { nodes[i].kill() })
	}

	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.knownNodes() < count {
				return false
			}
		}

		return true
	}, restartMaxWait, restartPoll)

	return nodes
}

// TestRestartedNodeIgnoresLateAnnouncements guards against a node that acknowledges that its backend server leaves, is killed, and uses the
// server again when an earlier announcement of it arrives.
func TestRestartedNodeIgnoresLateAnnouncements(t *testing.T) {
	ready := func(start int64, sequence uint64) registrar.Announcement {
		return registrar.Announcement{
			Address: "127.0.0.1:80", Service: "board", Slots: 4, State: "ready", Instance: "i-1", StartedAtMs: start, Sequence: sequence,
		}
	}
	withdraw := func(s *Server) error { return s.Withdraw(context.Background(), "i-1", 100) }

	cases := []struct {
		name  string
		leave func(s *Server) error
		later registrar.Announcement
		used  bool
	}{
		{"withdrawn", withdraw, ready(100, 2), false},
		{"withdrawn without a start time", func(s *Server) error { return s.Withdraw(context.Background(), "i-1", 0) }, ready(100, 2), false},
		{"draining", func(s *Server) error {
			a := ready(100, 3)
			a.State = "draining"
			_, err := s.Announce(context.Background(), a)

			return err
		}, ready(100, 2), false},
		{"another start of the same instance", withdraw, ready(101, 1), true},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := startNodes(t, 4, noController)[1]

			_, err := n.server.Announce(context.Background(), ready(100, 1))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return n.backendState() == wire.BackendState_BACKEND_STATE_READY }, restartMaxWait, restartPoll)
			// The server repeats the call until it is acknowledged.
			require.Eventually(t, func() bool { return tc.leave(n.server) == nil }, restartMaxWait, restartPoll)

			n.kill()
			n.start()

			// The late announcement arrives before the node has heard from its peers, and again afterwards.
			_, err = n.server.Announce(context.Background(), tc.later)
			require.NoError(t, err)
			require.Eventually(t, n.withdrawalRestored, restartMaxWait, restartPoll)

			_, err = n.server.Announce(context.Background(), tc.later)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				return tc.used == (n.backendState() == wire.BackendState_BACKEND_STATE_READY)
			}, restartMaxWait, restartPoll)
		})
	}
}

// TestAllNodesRestartedIgnoreLateAnnouncements guards against the same where no other node remembers either: all are killed at once.
func TestAllNodesRestartedIgnoreLateAnnouncements(t *testing.T) {
	nodes := startNodes(t, 4, startControllers(t, 3)...)
	n := nodes[1]
	ready := registrar.Announcement{
		Address: "127.0.0.1:80", Service: "board", Slots: 4, State: "ready", Instance: "i-1", StartedAtMs: 100, Sequence: 1,
	}

	_, err := n.server.Announce(context.Background(), ready)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.backendState() == wire.BackendState_BACKEND_STATE_READY }, restartMaxWait, restartPoll)
	require.Eventually(t, func() bool { return n.server.Withdraw(context.Background(), "i-1", 100) == nil }, restartMaxWait, restartPoll)
	require.Eventually(t, n.archived, restartMaxWait, restartPoll)

	for _, o := range nodes {
		o.kill()
	}

	for _, o := range nodes {
		o.start()
	}

	require.Eventually(t, n.withdrawalRestored, restartMaxWait, restartPoll)

	ready.Sequence++

	_, err = n.server.Announce(context.Background(), ready)
	require.NoError(t, err)
	require.NotEqual(t, wire.BackendState_BACKEND_STATE_READY, n.backendState())
}

// TestStartedNodeWaitsBeforeItUsesItsServer guards against requests to a server in the time in which a peer may still tell that it was withdrawn.
func TestStartedNodeWaitsBeforeItUsesItsServer(t *testing.T) {
	s := newIdleServer(t, 0)

	now := tiller.Minute
	s.clock = tiller.ClockFunc(func() tiller.Millis { return now })

	_, err := s.Announce(context.Background(), registrar.Announcement{Address: "127.0.0.1:80", Service: "board", Slots: 4, State: "ready"})
	require.NoError(t, err)
	require.Equal(t, wire.BackendState_BACKEND_STATE_STARTING, s.core.Self().GetState())
	require.Equal(t, forwarder.NewTarget("127.0.0.1:80", "", wire.BackendState_BACKEND_STATE_STARTING), (*backendServerAdapter)(s).Target())

	now += detector.RecoveryTimeout

	// The first tick tells the core the time, and the second one the state that follows from it.
	s.tick()
	s.tick()
	require.Equal(t, wire.BackendState_BACKEND_STATE_READY, s.core.Self().GetState())
	require.Equal(t, forwarder.NewTarget("127.0.0.1:80", "", wire.BackendState_BACKEND_STATE_READY), (*backendServerAdapter)(s).Target())
}
