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

// congestedWriter is the response of a hop whose link accepts nothing until it is cleared.
type congestedWriter struct {
	*httptest.ResponseRecorder

	blocked chan struct{}
	cleared chan struct{}
}

// FlushError waits until the link is cleared.
func (w *congestedWriter) FlushError() error {
	close(w.blocked)
	<-w.cleared

	return nil
}

// TestSlotIsHeldUntilTheLinkHasTakenTheAnswer guards against answers that queue for the link without a limit: a worker that is faster than
// its link would start request after request, and all answers would be late.
func TestSlotIsHeldUntilTheLinkHasTakenTheAnswer(t *testing.T) {
	nodes := newNodes(t, ok)
	w := &congestedWriter{ResponseRecorder: httptest.NewRecorder(), blocked: make(chan struct{}), cleared: make(chan struct{})}
	served := make(chan struct{})

	go func() {
		defer close(served)

		nodes[0].forward.HopHandler().ServeHTTP(w, hop("a1", "10000"))
	}()

	<-w.blocked

	load, _, _ := nodes[0].forward.Limiter.Load()
	require.Equal(t, 1, load, "the answer is not sent yet")
	require.Equal(t, "0", w.Header().Get(forwarder.HeaderLoad), "the load that the other node will find")

	close(w.cleared)
	<-served

	load, _, _ = nodes[0].forward.Limiter.Load()
	require.Zero(t, load)
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
