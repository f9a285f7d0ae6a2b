package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
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
