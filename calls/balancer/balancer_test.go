package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const now = tiller.Millis(100_000)

func policy() balancer.Policy {
	return balancer.Policy{SlowStart: 10_000, EjectAfterFailures: 3, EjectFor: 5000, MaxEjectedPercent: 30}
}

func entry(dc string, i int, change func(*wire.NodeEntry)) *wire.NodeEntry {
	e := &wire.NodeEntry{
		Name: fmt.Sprintf("%s-w%d", dc, i), DataCentre: dc, Slots: 10, State: wire.BackendState_BACKEND_STATE_READY, ReadySince: 1,
	}
	if change != nil {
		change(e)
	}

	return e
}

func candidates(entries ...*wire.NodeEntry) []balancer.Candidate {
	out := make([]balancer.Candidate, 0, len(entries))
	for _, e := range entries {
		out = append(out, balancer.NewCandidate(tiller.BackendOf(e), 100))
	}

	return out
}

func newBalancer() *balancer.Balancer {
	return balancer.New("near", rand.New(rand.NewPCG(1, 2)))
}

func noneTried() tiller.Set[tiller.Worker] { return tiller.NewSet[tiller.Worker]() }

func failed(reason tiller.Reason) *tiller.CallError {
	return tiller.NewCallError(tiller.VerdictMayHaveRun, reason, "")
}

func TestChoice(t *testing.T) {
	busy := func(b *balancer.Balancer, w tiller.Worker) { b.RecordLoad(now, w, balancer.NewLoad(30, 10, 0)) }
	fail := func(b *balancer.Balancer, w tiller.Worker, reason tiller.Reason, times int) {
		for range times {
			b.RecordOutcome(now, w, failed(reason), policy())
		}
	}

	cases := []struct {
		name    string
		entries []*wire.NodeEntry
		before  func(b *balancer.Balancer)
		never   tiller.Worker
		always  tiller.Worker
	}{
		{"local data centre first", []*wire.NodeEntry{entry("near", 1, nil), entry("far", 1, nil)}, nil, "far-w1", "near-w1"},
		{"spills over when the local workers are full", []*wire.NodeEntry{entry("near", 1, nil), entry("far", 1, nil)}, func(b *balancer.Balancer) {
			busy(b, "near-w1")
		}, "near-w1", "far-w1"},
		{"avoids the reported load", []*wire.NodeEntry{entry("near", 1, nil), entry("near", 2, nil)}, func(b *balancer.Balancer) {
			busy(b, "near-w1")
		}, "near-w1", ""},
		{"not ready", []*wire.NodeEntry{entry("near", 1, nil), entry("near", 2, func(e *wire.NodeEntry) {
			e.State = wire.BackendState_BACKEND_STATE_STARTING
		})}, nil, "near-w2", "near-w1"},
		{"suspected VM", []*wire.NodeEntry{entry("near", 1, nil), entry("near", 2, func(e *wire.NodeEntry) {
			e.Liveness = wire.Liveness_LIVENESS_SUSPECT
		})}, nil, "near-w2", "near-w1"},
		{"unreachable node", []*wire.NodeEntry{entry("near", 1, nil), entry("near", 2, nil)}, func(b *balancer.Balancer) {
			fail(b, "near-w2", tiller.ReasonUnreachable, 1)
		}, "near-w2", "near-w1"},
		{"ejected after consecutive failures", []*wire.NodeEntry{
			entry("near", 1, nil), entry("near", 2, nil), entry("near", 3, nil), entry("near", 4, nil),
		}, func(b *balancer.Balancer) { fail(b, "near-w2", tiller.ReasonBackendFailed, 3) }, "near-w2", ""},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBalancer()
			if tc.before != nil {
				tc.before(b)
			}

			for range 50 {
				got, ok := b.Pick(now, candidates(tc.entries...), noneTried(), policy()).Get()
				require.True(t, ok)
				require.NotEqual(t, tc.never, got.Worker())

				if tc.always != "" {
					require.Equal(t, tc.always, got.Worker())
				}

				b.RecordOutcome(now, got.Worker(), nil, policy())
			}
		})
	}
}

func TestEjectionCannotEmptyAService(t *testing.T) {
	b := newBalancer()

	var entries []*wire.NodeEntry
	for i := range 10 {
		entries = append(entries, entry("near", i, nil))
	}

	for _, e := range entries {
		for range 3 {
			b.RecordOutcome(now, tiller.Worker(e.GetName()), failed(tiller.ReasonBackendFailed), policy())
		}
	}

	seen := tiller.NewSet[string]()

	for range 300 {
		got, ok := b.Pick(now, candidates(entries...), noneTried(), policy()).Get()
		require.True(t, ok)
		seen.Add(string(got.Worker()))
		b.RecordOutcome(now, got.Worker(), nil, policy())
	}

	require.GreaterOrEqual(t, seen.Len(), 7, "at most 30% may be ejected")
}

func TestColdWorkerStartsSlowly(t *testing.T) {
	b := newBalancer()
	warm := entry("near", 1, nil)
	cold := entry("near", 2, func(e *wire.NodeEntry) { e.ReadySince = int64(now) - 1000 })
	counts := map[tiller.Worker]int{}

	for range 22 {
		got, _ := b.Pick(now, candidates(warm, cold), noneTried(), policy()).Get()
		counts[got.Worker()]++
	}

	require.Greater(t, counts["near-w1"], 5*counts["near-w2"])
}

// TestWorkerThatJoinsBesideFasterOnesIsTried sends few calls, so that load alone never moves one to the new worker.
func TestWorkerThatJoinsBesideFasterOnesIsTried(t *testing.T) {
	const (
		fast  = tiller.Millis(50)
		slow  = tiller.Millis(150)
		calls = 20
	)

	b := newBalancer()
	known, joined := entry("near", 0, nil), entry("near", 1, nil)

	for range 100 {
		b.RecordLoad(now, "near-w0", balancer.NewLoad(0, 10, fast))
		b.RecordLoad(now, "near-w9", balancer.NewLoad(0, 10, slow))
	}

	picks := map[tiller.Worker]int{}

	for range calls {
		backend, ok := b.Pick(now, candidates(known, joined), noneTried(), policy()).Get()
		require.True(t, ok)

		picks[backend.Worker()]++

		b.RecordOutcome(now, backend.Worker(), nil, policy())

		if backend.Worker() == "near-w0" {
			b.RecordLoad(now, "near-w0", balancer.NewLoad(0, 10, fast))
		} else {
			b.RecordLoad(now, "near-w1", balancer.NewLoad(0, 10, slow))
		}
	}

	require.Equal(t, 1, picks["near-w1"], "it is tried, and not again once it is known to be slower")
}

func TestTriedAndZeroShareWorkersAreExcluded(t *testing.T) {
	b := newBalancer()
	one := entry("near", 1, nil)
	out := []balancer.Candidate{balancer.NewCandidate(tiller.BackendOf(entry("near", 2, nil)), 0)}

	_, ok := b.Pick(now, out, noneTried(), policy()).Get()
	require.False(t, ok)

	_, ok = b.Pick(now, candidates(one), tiller.NewSet[tiller.Worker]("near-w1"), policy()).Get()
	require.False(t, ok)
}

// TestUnresponsiveWorkerIsAvoided guards against requests sent to a worker whose VM has stopped without closing its connections, so that
// its requests stay in flight and no error is seen.
func TestUnresponsiveWorkerIsAvoided(t *testing.T) {
	b := newBalancer()
	unresponsive, other := entry("near", 1, nil), entry("near", 2, nil)

	for range 3 {
		got, _ := b.Pick(now, candidates(unresponsive), noneTried(), policy()).Get()
		require.Equal(t, tiller.Worker("near-w1"), got.Worker())
	}

	b.RecordLoad(now, "near-w1", balancer.NewLoad(0, 10, 20))
	b.RecordLoad(now, "near-w2", balancer.NewLoad(6, 10, 100))

	for at := now + 600; at < now+1600; at += 100 {
		got, _ := b.Pick(at, candidates(unresponsive, other), noneTried(), policy()).Get()
		require.Equal(t, tiller.Worker("near-w2"), got.Worker())
		b.RecordOutcome(at, got.Worker(), nil, policy())
	}

	b.RecordOutcome(now+1600, "near-w1", nil, policy())

	got, _ := b.Pick(now+1700, candidates(unresponsive, other), noneTried(), policy()).Get()
	require.Equal(t, tiller.Worker("near-w1"), got.Worker(), "an answer makes it eligible again")
}

func TestUnreachableWorkerIsRetriedWithBackoff(t *testing.T) {
	b := newBalancer()
	at := now

	for _, backoff := range []tiller.Millis{1000, 2000, 4000, 8000, 8000} {
		got, ok := b.Pick(at, candidates(entry("near", 1, nil)), noneTried(), policy()).Get()
		require.True(t, ok)
		b.RecordOutcome(at, got.Worker(), failed(tiller.ReasonUnreachable), policy())

		_, ok = b.Pick(at+backoff-1, candidates(entry("near", 1, nil)), noneTried(), policy()).Get()
		require.False(t, ok)

		at += backoff
	}
}
