package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func TestNodeBehindAFullLinkRefusesAndAnotherServes(t *testing.T) {
	nodes := newNodes(t, ok, ok, ok)
	nodes[0].state = wire.BackendState_BACKEND_STATE_DRAINING
	nodes[1].forward.LinkWait = func() tiller.Millis { return 4 * tiller.Second }

	for range 20 {
		require.Equal(t, 200, send(t, nodes[0], "PUT", "/calls/1", "", "").status)
	}

	require.Zero(t, nodes[1].backend.runs.Load())
	require.EqualValues(t, 20, nodes[2].backend.runs.Load())
}

func TestLateCallIsNotRefusedForAFullLink(t *testing.T) {
	nodes := newNodes(t, ok)

	w := httptest.NewRecorder()
	nodes[0].forward.HopHandler().ServeHTTP(w, hop("a1", "-5"))
	require.NotEqual(t, tiller.ReasonOverload.String(), w.Header().Get(forwarder.HeaderReason))
	require.Zero(t, nodes[0].backend.runs.Load())
}

// hop returns an attempt that another node sends to w0.
func hop(attempt, deadline string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/calls/1", nil)
	r.Header.Set(forwarder.HeaderAttempt, attempt)
	r.Header.Set(forwarder.HeaderTo, "w0")
	r.Header.Set(forwarder.HeaderService, "board")
	r.Header.Set(forwarder.HeaderDeadline, deadline)

	return r
}
