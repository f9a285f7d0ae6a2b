package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestTimeoutIsReportedBeforeTheCallersDeadline guards against a refusal that arrives after the caller has timed out and closed its
// connection: the server never answers, so the node must answer before the caller's deadline.
func TestTimeoutIsReportedBeforeTheCallersDeadline(t *testing.T) {
	received := make(chan int64, 1)
	stuck := func(_ http.ResponseWriter, r *http.Request) {
		left, err := strconv.ParseInt(r.Header.Get(forwarder.HeaderDeadline), 10, 64)
		if err == nil {
			received <- left
		}

		<-r.Context().Done()
	}
	nodes := newNodes(t, stuck)

	r, err := http.NewRequest(http.MethodPut, nodes[0].server.URL+"/once/1", nil)
	require.NoError(t, err)
	r.Header.Set(forwarder.HeaderDeadline, "1000")

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.LessOrEqual(t, <-received, int64(975), "the server gets the deadline less the margin for the answer")
}

// TestOtherNodeAnswersBeforeThisNodeStopsWaiting guards against a refusal of another node that arrives after this node has timed out: the
// request did not run, but this node could only say that it may have.
func TestOtherNodeAnswersBeforeThisNodeStopsWaiting(t *testing.T) {
	const (
		deadline = 1000
		overhead = 60
	)

	received := make(chan int64, 1)
	nodes := newNodes(t, ok, func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.ParseInt(r.Header.Get(forwarder.HeaderDeadline), 10, 64)
		if err == nil {
			received <- left
		}

		ok(w, r)
	})
	nodes[0].state = wire.BackendState_BACKEND_STATE_DRAINING

	for range 1000 {
		nodes[0].forward.Balancer.RecordHopOverhead(overhead)
	}

	r, err := http.NewRequest(http.MethodPut, nodes[0].server.URL+"/calls/1", nil)
	require.NoError(t, err)
	r.Header.Set(forwarder.HeaderDeadline, strconv.Itoa(deadline))

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.LessOrEqual(t, <-received, int64(deadline-25-overhead+1), "the deadline less the margins for the answer to the caller and between the nodes")
}
