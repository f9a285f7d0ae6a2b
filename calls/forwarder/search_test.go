package forwarder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
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
