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

// occupy takes all slots of a node's gate until the returned function runs.
func occupy(t *testing.T, n *fakeNode) func() {
	t.Helper()

	n.forward.Gate.Do(func(c *limiter.Core) {
		c.Configure(limiter.Options{Slots: 1, QueueLength: 4, QueueTimeout: 5 * tiller.Second})
	})

	slot, err := n.forward.Gate.Acquire(t.Context(), limiter.NewDemand(0, n.forward.Clock.Now()+tiller.Minute))
	require.Nil(t, err)

	return func() { slot.Release(limiter.OutcomeServed) }
}

// TestCallAsksForAFreeSlotBeforeItWaits sends calls through a node that has not heard from any gate, two of three of which are full.
func TestCallAsksForAFreeSlotBeforeItWaits(t *testing.T) {
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

// TestCallWaitsWhereNoSlotIsFree fills every gate; the call is served by the first that has room again, and only once.
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
			n.forward.Gate.Do(func(c *limiter.Core) { total += c.Waiting() })
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

// TestOwnWorkerIsFirstWhileItHasRoom sends calls through a node whose worker offers the service, with other workers free.
func TestOwnWorkerIsFirstWhileItHasRoom(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)

	for range 10 {
		require.Equal(t, "w1", send(t, nodes[1], "GET", "/easy/1", "", "").header.Get(forwarder.HeaderWorker))
	}

	defer occupy(t, nodes[1])()

	require.NotEqual(t, "w1", send(t, nodes[1], "GET", "/easy/1", "", "").header.Get(forwarder.HeaderWorker))
}

// TestCallWaitsAtTheOwnWorkerWhereThatIsFasterThanAHop fills the own gate while hops are slow.
func TestCallWaitsAtTheOwnWorkerWhereThatIsFasterThanAHop(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)
	send(t, nodes[1], "GET", "/easy/1", "", "")

	release := occupy(t, nodes[1])
	for range 100 {
		nodes[1].forward.Balancer.NoteOverhead(500)
	}

	answers := make(chan answer, 1)

	go func() { answers <- send(t, nodes[1], "GET", "/easy/1", "", "") }()

	require.Eventually(t, func() bool {
		waiting := 0
		nodes[1].forward.Gate.Do(func(c *limiter.Core) { waiting = c.Waiting() })

		return waiting == 1
	}, 5*time.Second, time.Millisecond)

	release()
	require.Equal(t, "w1", (<-answers).header.Get(forwarder.HeaderWorker))
}

// TestOwnWorkerThatFailsIsLeftToChance keeps no call at the own worker for its nearness alone once it fails.
func TestOwnWorkerThatFailsIsLeftToChance(t *testing.T) {
	nodes := newNodes(t, truncate, ok, ok)

	for range 60 {
		send(t, nodes[0], "GET", "/easy/1", "", "")
	}

	require.Less(t, nodes[0].backend.runs.Load(), nodes[1].backend.runs.Load()+nodes[2].backend.runs.Load())
}

// TestGatesAreAskedOnlyWhileMostHaveRoom fills all gates but the caller's, and counts the attempts that reach one of them.
func TestGatesAreAskedOnlyWhileMostHaveRoom(t *testing.T) {
	const calls = 200

	nodes := newNodes(t, ok, ok, ok, ok)
	nodes[0].forward.Service = "talent"

	var asked atomic.Int64

	for _, n := range nodes[1:] {
		defer occupy(t, n)()

		n.forward.Gate.Do(func(c *limiter.Core) { c.Configure(limiter.Options{Slots: 1, QueueTimeout: tiller.Second}) })

		serve := n.server.Config.Handler
		n.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(forwarder.HeaderNoWait) != "" {
				asked.Add(1)
			}

			serve.ServeHTTP(w, r)
		})
	}

	for range calls {
		send(t, nodes[0], "PUT", "/calls/1", "", "")
	}

	require.Less(t, asked.Load(), int64(calls/2), "most calls ask no gate while all are full")
	require.Positive(t, asked.Load())
}

// TestGateThatNeverHasASlotEndsTheSearch meets a node that gives the same refusal to calls that would wait.
func TestGateThatNeverHasASlotEndsTheSearch(t *testing.T) {
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
			refusal := forwarder.Dialect{}.Refuse(err, centre)

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
