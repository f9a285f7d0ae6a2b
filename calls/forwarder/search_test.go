package forwarder_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// occupy limits a node to one slot and takes it until the returned function runs.
func occupy(t *testing.T, n *fakeNode) func() {
	t.Helper()

	n.forward.Limiter.WithCore(func(c *limiter.Core) {
		c.Configure(limiter.Options{Slots: 1, QueueLength: 4, QueueTimeout: 5 * tiller.Second})
	})

	slot, err := n.forward.Limiter.Acquire(t.Context(), limiter.NewDemand(0, n.forward.Clock.Now()+tiller.Minute))
	require.Nil(t, err)

	return func() { slot.Release(limiter.OutcomeServed) }
}

// TestNoWaitAttemptsFindTheFreeSlot sends calls through a node that has no load reports yet; two of the three workers have no free slot.
func TestNoWaitAttemptsFindTheFreeSlot(t *testing.T) {
	for name, method := range map[string]string{"idempotent": "GET", "not idempotent": "PUT"} {
		t.Run(name, func(t *testing.T) {
			nodes := newNodes(t, ok, ok, ok)

			for _, n := range nodes[1:] {
				defer occupy(t, n)()
			}

			for range 6 {
				require.Equal(t, "w0", send(t, nodes[0], method, "/calls/1", "", "").header.Get(forwarder.HeaderWorker))
			}

			require.EqualValues(t, 6, runs(nodes))
		})
	}
}

// TestCallWaitsWhereNoSlotIsFree takes the slots of all workers. The call waits at one of them until a slot is free, and runs only once.
func TestCallWaitsWhereNoSlotIsFree(t *testing.T) {
	nodes := newNodes(t, ok, ok)

	var release []func()
	for _, n := range nodes {
		release = append(release, occupy(t, n))
	}

	answers := make(chan answer, 1)

	go func() { answers <- send(t, nodes[0], "PUT", "/calls/1", "", "") }()

	waiting := func() int {
		total := 0
		for _, n := range nodes {
			n.forward.Limiter.WithCore(func(c *limiter.Core) { total += c.Waiting() })
		}

		return total
	}
	require.Eventually(t, func() bool { return waiting() == 1 }, 5*time.Second, time.Millisecond)
	require.Zero(t, runs(nodes))

	for _, f := range release {
		f()
	}

	require.Equal(t, "ran", (<-answers).verdict)
	require.EqualValues(t, 1, runs(nodes))
}

// TestOwnWorkerIsPreferredWhileItHasAFreeSlot guards against needless hops: the worker of the node that takes the calls has a free slot, and
// so have the other workers.
func TestOwnWorkerIsPreferredWhileItHasAFreeSlot(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)

	for range 10 {
		require.Equal(t, "w1", send(t, nodes[1], "GET", "/easy/1", "", "").header.Get(forwarder.HeaderWorker))
	}

	defer occupy(t, nodes[1])()

	require.NotEqual(t, "w1", send(t, nodes[1], "GET", "/easy/1", "", "").header.Get(forwarder.HeaderWorker))
}

// TestCallWaitsAtTheOwnWorkerWhereThatIsFasterThanAHop guards against a hop that takes longer than the wait for the own worker's slot: that
// slot is taken while the mean overhead of hops is high.
func TestCallWaitsAtTheOwnWorkerWhereThatIsFasterThanAHop(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)
	send(t, nodes[1], "GET", "/easy/1", "", "")

	release := occupy(t, nodes[1])
	for range 100 {
		nodes[1].forward.Balancer.RecordHopOverhead(500)
	}

	answers := make(chan answer, 1)

	go func() { answers <- send(t, nodes[1], "GET", "/easy/1", "", "") }()

	require.Eventually(t, func() bool {
		waiting := 0
		nodes[1].forward.Limiter.WithCore(func(c *limiter.Core) { waiting = c.Waiting() })

		return waiting == 1
	}, 5*time.Second, time.Millisecond)

	release()
	require.Equal(t, "w1", (<-answers).header.Get(forwarder.HeaderWorker))
}

// TestFailingOwnWorkerIsNotPreferred guards against calls that stay at the node's own worker only because it is local although it fails.
func TestFailingOwnWorkerIsNotPreferred(t *testing.T) {
	nodes := newNodes(t, truncate, ok, ok)

	for range 60 {
		send(t, nodes[0], "GET", "/easy/1", "", "")
	}

	require.Less(t, nodes[0].backend.runs.Load(), nodes[1].backend.runs.Load()+nodes[2].backend.runs.Load())
}

// TestNoWaitAttemptsAreMadeOnlyWhileMostWorkersHaveFreeSlots guards against traffic from no-wait attempts that are all refused: no worker of
// the service has a free slot.
func TestNoWaitAttemptsAreMadeOnlyWhileMostWorkersHaveFreeSlots(t *testing.T) {
	const calls = 200

	nodes := newNodes(t, ok, ok, ok, ok)
	nodes[0].forward.Service = "talent"

	var noWaitAttempts atomic.Int64

	for _, n := range nodes[1:] {
		defer occupy(t, n)()

		n.forward.Limiter.WithCore(func(c *limiter.Core) { c.Configure(limiter.Options{Slots: 1, QueueTimeout: tiller.Second}) })

		serve := n.server.Config.Handler
		n.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(forwarder.HeaderNoWait) != "" {
				noWaitAttempts.Add(1)
			}

			serve.ServeHTTP(w, r)
		})
	}

	for range calls {
		send(t, nodes[0], "PUT", "/calls/1", "", "")
	}

	require.Less(t, noWaitAttempts.Load(), int64(calls/2), "most calls skip the no-wait attempts while no slot is free")
	require.Positive(t, noWaitAttempts.Load())
}

// TestSearchEndsIfNoWorkerEverHasASlot guards against an endless search: the nodes refuse every attempt with the reason no_slot, which is
// meant for no-wait attempts only.
func TestSearchEndsIfNoWorkerEverHasASlot(t *testing.T) {
	nodes := newNodes(t, ok, ok)
	nodes[0].state = wire.BackendState_BACKEND_STATE_DRAINING

	var attempts atomic.Int64

	for _, n := range nodes {
		serve := n.server.Config.Handler
		n.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(forwarder.HeaderAttempt) == "" {
				serve.ServeHTTP(w, r)

				return
			}

			attempts.Add(1)

			err := tiller.NewCallError(tiller.VerdictNotRun, tiller.ReasonNoSlot, "no slot is free now").WithUntried()
			refusal := forwarder.Dialect{}.FormatRefusal(err, centre)

			for name, values := range refusal.Header() {
				w.Header()[name] = values
			}

			w.Header().Set(forwarder.HeaderAttempt, r.Header.Get(forwarder.HeaderAttempt))
			w.Header().Set(forwarder.HeaderLength, strconv.Itoa(len(refusal.Body())))
			w.WriteHeader(refusal.Status())
			_, _ = w.Write(refusal.Body())
		})
	}

	a := send(t, nodes[0], "PUT", "/calls/1", "", "")
	require.Equal(t, "not_run", a.verdict)
	require.LessOrEqual(t, attempts.Load(), int64(6))
	require.Zero(t, runs(nodes))
}
