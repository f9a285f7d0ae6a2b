package nodeserver

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
)

// TestWaitingRequestsAreRefusedOnceTheServerHasLeft guards against requests that are held in the queue of a server that accepts no more.
func TestWaitingRequestsAreRefusedOnceTheServerHasLeft(t *testing.T) {
	const linger = tiller.Second

	s := newIdleServer(t, linger)

	now := tiller.Minute
	s.clock = tiller.ClockFunc(func() tiller.Millis { return now })
	s.limiter = limiter.New(limiter.NewCore(limiter.Options{Slots: 1, QueueLength: 4, QueueTimeout: tiller.Minute}), s.clock)

	_, err := s.Announce(context.Background(), registrar.Announcement{
		Address: "127.0.0.1:80", Service: "board", Slots: 1, State: "ready", Instance: "i-1", StartedAtMs: 100, Sequence: 1,
	})
	require.NoError(t, err)

	var refusals []*tiller.CallError

	acquire := func() {
		s.limiter.WithCore(func(c *limiter.Core) {
			c.Acquire(now, limiter.NewDemand(0, now+tiller.Minute), func(err *tiller.CallError) { refusals = append(refusals, err) })
		})
	}

	acquire()
	acquire()
	require.Equal(t, []*tiller.CallError{nil}, refusals, "one has the slot and one waits")

	// Nothing advances the clock while the withdrawal would be stored.
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, s.Withdraw(ended, "i-1", 100), ErrNotReplicated)

	now += linger - 1

	s.tick()
	require.Len(t, refusals, 1, "the server still accepts requests")

	now++

	s.tick()
	require.Len(t, refusals, 2)
	require.Equal(t, tiller.VerdictNotRun, refusals[1].Verdict())
	require.Equal(t, tiller.ReasonDraining, refusals[1].Reason())
}
