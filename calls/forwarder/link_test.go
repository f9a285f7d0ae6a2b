package forwarder_test

import (
	"net/http"
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

	r, err := http.NewRequest(http.MethodGet, nodes[0].server.URL+"/calls/1", nil)
	require.NoError(t, err)
	r.Header.Set(forwarder.HeaderAttempt, "a1")
	r.Header.Set(forwarder.HeaderTo, "w0")
	r.Header.Set(forwarder.HeaderService, "board")
	r.Header.Set(forwarder.HeaderDeadline, "-5")

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NotEqual(t, tiller.ReasonOverload.String(), resp.Header.Get(forwarder.HeaderReason))
	require.Zero(t, nodes[0].backend.runs.Load())
}
