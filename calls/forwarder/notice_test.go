package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// stating returns a handler that states a rate in its answers.
func stating(rate string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarder.HeaderServerLimit, rate)
		handle(w, r)
	}
}

func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// TestRateIsReadFromAnswersOfAllKinds guards against a server that gets more requests than it accepts because of how it said so.
func TestRateIsReadFromAnswersOfAllKinds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		body   string
	}{
		{"success", ok, ""},
		{"failure", fail, ""},
		{"refusal", shed, ""},
		{"answer above the limit", oversized, ""},
		{"answer before the body was read", fail, strings.Repeat("x", 4000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			nodes := newNodes(t, stating("4.5", tc.handle))
			send(t, nodes[0], http.MethodPut, "/calls/1", "", tc.body)
			require.Equal(t, tiller.Some[tiller.Rate](4.5), nodes[0].forward.Limiter.Rate())
			require.Equal(t, 1, nodes[0].recorded(tiller.EventRateLimited))
		})
	}
}

// TestServerThatStatesARateIsNotOverrun guards against a server that gets many more requests than it accepts, from callers of all VMs.
func TestServerThatStatesARateIsNotOverrun(t *testing.T) {
	const requests = 30

	nodes := newNodes(t, stating("0.25", ok), stating("0.25", ok))
	refused := 0

	for i := range requests {
		a := send(t, nodes[i%2], http.MethodGet, "/aimed", "", "")
		if a.status == http.StatusOK {
			continue
		}

		require.Equal(t, "not_run", a.verdict)
		require.NotEmpty(t, a.header.Get("Retry-After"))

		refused++
	}

	for _, n := range nodes {
		require.LessOrEqual(t, n.backend.runs.Load(), int64(5))
	}

	require.GreaterOrEqual(t, refused, requests-10)
}

func TestRequestsGoWhereTheRateAllowsThem(t *testing.T) {
	nodes := newNodes(t, stating("0.25", ok), ok)

	for range 60 {
		a := send(t, nodes[0], http.MethodPut, "/calls/1", "", "")
		require.Equal(t, http.StatusOK, a.status, a.body)
	}

	require.LessOrEqual(t, nodes[0].backend.runs.Load(), int64(5))
}

func TestEndOfAStatedRate(t *testing.T) {
	for _, tc := range []struct {
		name string
		// second is what the second answer states, nil for nothing.
		second []string
		rate   tiller.Option[tiller.Rate]
	}{
		{"no statement ends it", nil, tiller.None[tiller.Rate]()},
		{"another rate replaces it", []string{"80"}, tiller.Some[tiller.Rate](80)},
		{"a statement that cannot be read keeps it", []string{"many"}, tiller.Some[tiller.Rate](1000)},
		{"an empty statement keeps it", []string{""}, tiller.Some[tiller.Rate](1000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var answers atomic.Int64

			nodes := newNodes(t, func(w http.ResponseWriter, r *http.Request) {
				if answers.Add(1) == 1 {
					w.Header().Set(forwarder.HeaderServerLimit, "1000")
				} else {
					w.Header()[forwarder.HeaderServerLimit] = tc.second
				}

				ok(w, r)
			})

			for range 2 {
				a := send(t, nodes[0], http.MethodGet, "/calls/1", "", "")
				require.Equal(t, http.StatusOK, a.status)
			}

			require.Equal(t, tc.rate, nodes[0].forward.Limiter.Rate())
		})
	}
}

// TestServerThatSaysItLeavesGetsNoFurtherRequests guards against requests to a server whose announcement comes late or never.
func TestServerThatSaysItLeavesGetsNoFurtherRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		value  string
		leaves bool
	}{
		{"in a success", ok, "true", true},
		{"in a failure", fail, "true", true},
		{"in a refusal", shed, "true", true},
		{"another value", ok, "no", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leaving := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(forwarder.HeaderServerLeaving, tc.value)
				tc.handle(w, r)
			}
			nodes := newNodes(t, leaving, ok)

			// The first request has nowhere else to go.
			nodes[1].state = wire.BackendState_BACKEND_STATE_NONE
			send(t, nodes[0], http.MethodPut, "/calls/1", "", "")
			require.Equal(t, int64(1), nodes[0].backend.runs.Load())
			require.Equal(t, tc.leaves, nodes[0].leaving.Load())

			nodes[1].state = wire.BackendState_BACKEND_STATE_READY

			for range 30 {
				send(t, nodes[0], http.MethodPut, "/calls/1", "", "")
			}

			if tc.leaves {
				require.Equal(t, int64(1), nodes[0].backend.runs.Load())
			}
		})
	}
}

// TestNodeThatRestartsLearnsThatItsServerLeaves guards against a server that had left and is in use again after its node restarted.
func TestNodeThatRestartsLearnsThatItsServerLeaves(t *testing.T) {
	nodes := newNodes(t, ok, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarder.HeaderServerLeaving, "true")
		ok(w, r)
	})
	nodes[0].state = wire.BackendState_BACKEND_STATE_NONE
	nodes[1].start = "i-1@100"

	require.Equal(t, http.StatusOK, send(t, nodes[0], http.MethodGet, "/calls/1", "", "").status)
	require.True(t, nodes[1].leaving.Load())

	nodes[1].leaving.Store(false)
	require.Equal(t, http.StatusServiceUnavailable, send(t, nodes[0], http.MethodGet, "/calls/1", "", "").status)
	require.Equal(t, int64(1), nodes[1].backend.runs.Load(), "the node that restarted refuses at once")

	nodes[1].leaving.Store(false)

	nodes[1].start = "i-1@200"
	nodes[1].backend.handle = ok
	require.Equal(t, http.StatusOK, send(t, nodes[0], http.MethodGet, "/calls/1", "", "").status, "the server has restarted under its id")
}

// TestNodeThatRestartsLearnsTheRateFromAttempts guards against a burst at a server whose node has restarted and not yet had an answer.
func TestNodeThatRestartsLearnsTheRateFromAttempts(t *testing.T) {
	nodes := newNodes(t, ok, stating("1000", ok))
	nodes[0].state = wire.BackendState_BACKEND_STATE_NONE
	nodes[1].start = "i-1@100"

	a := send(t, nodes[0], http.MethodGet, "/calls/1", "", "")
	require.Equal(t, http.StatusOK, a.status)
	require.Empty(t, a.header.Get(forwarder.HeaderRate), "not for callers")
	require.Equal(t, float64(1000), nodes[1].rateGauge())

	restart := func() {
		options := limiter.Options{Slots: 32, QueueLength: 4, QueueTimeout: tiller.Second}
		nodes[1].forward.Limiter.WithCore(func(c *limiter.Core) {
			*c = *limiter.NewCore(options)
			c.BeginStart(nodes[1].start)
		})
	}

	var known tiller.Option[tiller.Rate]

	nodes[1].backend.handle = func(w http.ResponseWriter, _ *http.Request) {
		known = nodes[1].forward.Limiter.Rate()
		w.Header().Set(forwarder.HeaderServerLimit, "1000")

		_, _ = io.WriteString(w, "answer")
	}

	restart()
	send(t, nodes[0], http.MethodGet, "/calls/1", "", "")
	require.Equal(t, tiller.Some[tiller.Rate](1000), known, "before the first answer")

	nodes[1].start = "i-1@200"

	restart()
	send(t, nodes[0], http.MethodGet, "/calls/1", "", "")
	require.Equal(t, tiller.None[tiller.Rate](), known, "the server has restarted under its id")
}
