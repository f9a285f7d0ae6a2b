package soak_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServersThatLeftGetNothingAfterAllNodesRestart guards against late announcements that bring servers back whose withdrawal no node remembers.
func TestServersThatLeftGetNothingAfterAllNodesRestart(t *testing.T) {
	const (
		leaving = 3
		late    = 2 * time.Second
	)

	programs := t.TempDir()
	require.NoError(t, build(programs))

	ctx, cancel := context.WithCancel(context.Background())
	f, err := newFleet(programs, t.TempDir(), *nodes)

	defer func() {
		cancel()
		require.NoError(t, f.stop())
	}()

	require.NoError(t, err)
	require.NoError(t, f.start(ctx))
	f.startCallers(ctx)
	waitUntilServing(t, f)

	for _, b := range f.backends[:leaving] {
		require.Eventually(t, func() bool { return b.Depart(ctx, departureBound) }, recoveryBound, pollPause)
	}

	require.NoError(t, killAndRestart(f.nodes, 0))
	time.Sleep(late)

	for _, b := range f.backends[:leaving] {
		b.AnnounceLate(ctx)
	}

	time.Sleep(departureServes - late)

	for i, b := range f.backends[:leaving] {
		acknowledgedAt, lateRuns := b.Return()

		for _, at := range lateRuns {
			require.True(t, f.nodes[i].disturbedBefore(at, departureTouch),
				"the server of %s got %d late requests, one of them %s after its departure", f.nodes[i].name, len(lateRuns), at.Sub(acknowledgedAt))
		}
	}
}
