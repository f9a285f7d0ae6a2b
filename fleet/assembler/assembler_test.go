package assembler_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
)

const (
	maxWait = 30 * time.Second
	poll    = 10 * time.Millisecond
)

// startFleet starts a fleet of two workers whose requests take 300 ms, and returns it once calls through both nodes are served.
func startFleet(t *testing.T) *assembler.Fleet {
	t.Helper()

	worker := func(name string) assembler.WorkerPlan {
		return assembler.WorkerPlan{Name: name, DataCentre: "dc1", Service: "board", Slots: 50, Connections: 50}
	}
	f := assembler.New(assembler.Plan{
		DataCentres: []string{"dc1"}, Workers: []assembler.WorkerPlan{worker("w1"), worker("w2")}, ServiceTimeMs: 300,
	}, t.TempDir())
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	c := editor.New(transporter.Addresses(f.ControllerAddresses()))
	require.Eventually(t, func() bool {
		s, err := c.Status(context.Background())

		return err == nil && s.GetCurrent()
	}, maxWait, poll)

	e, err := editor.NewEdit(tiller.DocumentSpec{
		Defaults: map[string]int64{"slow_start_ms": 0},
		Services: []tiller.ServiceSpec{{Name: "board"}},
		Routes: []tiller.RouteSpec{
			{Name: "change", Method: "PUT", PathPrefix: "/calls", Service: "board", Class: "interactive"},
			{Name: "submit", Method: "POST", PathPrefix: "/auditions", Service: "board", Class: "interactive", AtMostOnce: true},
		},
	}, tiller.Version{}, "test", "first")
	require.NoError(t, err)

	r, err := c.Apply(context.Background(), e)
	require.NoError(t, err)
	require.True(t, r.GetOutcome().GetAccepted())
	require.Eventually(t, func() bool {
		return call(f, "w1", "POST", "/auditions", standin.NewKey("dc1")) == http.StatusOK &&
			call(f, "w2", "PUT", "/calls", "") == http.StatusOK
	}, maxWait, poll)

	return f
}

// call sends a call to a worker's node and returns the HTTP status, zero if the connection failed.
func call(f *assembler.Fleet, worker, method, path, key string) int {
	r, err := http.NewRequest(method, "http://"+string(f.Nodes()[worker].Server().CallAddress())+path, nil)
	if err != nil {
		return 0
	}

	r.Header.Set(standin.HeaderAttempt, uuid.NewString())

	if key != "" {
		r.Header.Set(forwarder.HeaderKey, key)
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}

	defer resp.Body.Close()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}

	return resp.StatusCode
}

// TestGracefulStopCompletesCallsInFlight stops one of two nodes while calls, including calls that may run at most once, run on its backend
// server. All of them must be served.
func TestGracefulStopCompletesCallsInFlight(t *testing.T) {
	f := startFleet(t)

	var (
		calls    sync.WaitGroup
		mu       sync.Mutex
		statuses []int
	)

	send := func(method, path, key string) {
		calls.Go(func() {
			status := call(f, "w1", method, path, key)

			mu.Lock()
			defer mu.Unlock()

			statuses = append(statuses, status)
		})
	}

	before := f.RunLog().Received("w2")

	for range 20 {
		send("PUT", "/calls", "")
		send("POST", "/auditions", standin.NewKey("dc1"))
	}

	require.Eventually(t, func() bool { return f.RunLog().Received("w2") > before }, maxWait, time.Millisecond)
	require.NoError(t, f.Nodes()["w2"].Stop())
	calls.Wait()

	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}

	require.NoError(t, f.StartNode(context.Background(), f.Nodes()["w2"].Plan()))
}
