package forwarder_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

func TestCrashingRequestCrashesTwoServersIncludingResends(t *testing.T) {
	nodes := newNodes(t, crash, crash, crash, crash, crash)
	nodes[4].forward.Service = "talent"

	for i := range 10 {
		send(t, nodes[i%len(nodes)], "PUT", "/calls/crash", "", "the same body")
	}

	require.Equal(t, 2, runs(nodes))
	require.Equal(t, "not_run", send(t, nodes[3], "PUT", "/calls/crash", "", "the same body").verdict)
	require.Equal(t, "may_have_run", send(t, nodes[3], "PUT", "/calls/crash", "", "another body").verdict)
}

// TestCopiesInFlightInACrashCountOnce guards against the quarantine of a request that another request's crash broke twice at once.
func TestCopiesInFlightInACrashCountOnce(t *testing.T) {
	const copies = 2

	arrived, crashed := make(chan struct{}, copies), make(chan struct{})
	nodes := newNodes(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}

		<-crashed
		crash(w, r)
	})

	var senders sync.WaitGroup
	for range copies {
		senders.Go(func() { send(t, nodes[0], "PUT", "/calls/7", "", "the same body") })
	}

	for range copies {
		<-arrived
	}

	close(crashed)
	senders.Wait()
	require.Equal(t, 1, nodes[0].crashRecords.Strikes(quarantiner.DigestOf("PUT", "/calls/7", "", "", []byte("the same body"))))

	send(t, nodes[0], "PUT", "/calls/7", "", "the same body")
	require.Equal(t, copies+1, runs(nodes), "one crash does not quarantine a request")
}

// TestStrikesAreCarriedByTheCall guards against further crashes before the nodes have received the reports of the first ones: each node
// has separate crash records, so only the attempts and their answers carry the strikes.
func TestStrikesAreCarriedByTheCall(t *testing.T) {
	nodes := newNodes(t, crash, crash, crash, crash)
	registries := map[*quarantiner.Registry]bool{}

	for _, n := range nodes {
		n.crashRecords = quarantiner.NewRegistry()
		n.forward.CrashRecords = n.crashRecords
		registries[n.crashRecords] = true
	}

	require.Len(t, registries, len(nodes))

	for range 5 {
		send(t, nodes[0], "GET", "/calls/crash", "", "")
	}

	require.Equal(t, 2, runs(nodes))
}

func TestSuccessClearsTheStrikesOfARequest(t *testing.T) {
	crashing := atomic.Bool{}
	crashing.Store(true)

	nodes := newNodes(t, func(w http.ResponseWriter, r *http.Request) {
		if crashing.Load() {
			crash(w, r)
		} else {
			ok(w, r)
		}
	})

	for range 5 {
		crashing.Store(true)
		require.Equal(t, 502, send(t, nodes[0], "PUT", "/calls/1", "", "").status)
		crashing.Store(false)
		require.Equal(t, 200, send(t, nodes[0], "PUT", "/calls/1", "", "").status)
	}
}

// TestRequestOfAnotherCallerIsAnotherRequest guards against a harmless request that lifts the strikes of a crashing one, or is refused for its
// crashes, although it comes from another service.
func TestRequestOfAnotherCallerIsAnotherRequest(t *testing.T) {
	nodes := newNodes(t, func(w http.ResponseWriter, r *http.Request) { ok(w, r) }, ok)
	server := nodes[0]
	server.forward.QuarantineByCaller = true
	server.backend.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Caller") == "crashing" {
			crash(w, r)
		} else {
			ok(w, r)
		}
	}

	hop := func(origin string) string {
		r, err := http.NewRequest(http.MethodPut, server.server.URL+"/calls/1", strings.NewReader("the same body"))
		require.NoError(t, err)

		for name, value := range map[string]string{
			forwarder.HeaderTo: string(server.name), forwarder.HeaderService: "board", forwarder.HeaderOrigin: origin,
			forwarder.HeaderAttempt: "a1", forwarder.HeaderDeadline: "2000", forwarder.HeaderRoute: "change", "X-Caller": origin,
		} {
			r.Header.Set(name, value)
		}

		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)

		defer resp.Body.Close()

		return resp.Header.Get(forwarder.HeaderReason)
	}

	for range 2 {
		require.Equal(t, "backend_failed", hop("crashing"))
		require.Empty(t, hop("harmless"), "served")
	}

	require.Equal(t, "quarantined", hop("crashing"), "the answers to the other caller lift no strikes")
	require.Empty(t, hop("harmless"), "the crashes of the other caller's request do not count")
}
