// Package soak_test runs the real programs as separate processes, injects faults from outside and checks the guarantees that callers,
// backend servers and operators rely on.
package soak_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
)

var (
	seeds  = flag.Int("seeds", 1, "number of seeds to run")
	first  = flag.Uint64("first", 1, "first seed")
	length = flag.Duration("length", 6*time.Second, "period in which faults begin")
	nodes  = flag.Int("nodes", 6, "number of nodes")
	// network allows several soak tests to run at the same time on one machine.
	network = flag.Int("network", 0, "second octet of the loopback addresses; the next number is used too; zero means the first that is free")
	keep    = flag.String("keep", "", "folder in which the settings, data and logs of each seed are kept")
)

// regressions maps seeds that have failed to the cause of the failure.
var regressions = map[uint64]string{
	323: "fault of the soak test: a kill overlapped a graceful stop, which was then reported as failed",
	239: "fault of the soak test: the crashing request used the same path as the callers, so their calls were refused as well",
}

const (
	// firstNetwork and lastNetwork bound the networks that a test chooses itself. Other tests use later ones.
	firstNetwork = 6
	lastNetwork  = 62
)

func TestMain(m *testing.M) {
	flag.Parse()

	// The listener reserves the network until the process ends.
	reserved, err := reserveNetwork()
	if err != nil {
		panic(err)
	}

	code := m.Run()
	_ = reserved.Close()

	os.Exit(code)
}

// reserveNetwork chooses a network unless one is set, and reserves it for this process.
func reserveNetwork() (net.Listener, error) {
	candidates := []int{*network}
	if *network == 0 {
		candidates = nil
		for n := firstNetwork; n <= lastNetwork; n += 2 {
			candidates = append(candidates, n)
		}
	}

	var errs []error

	for _, n := range candidates {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%s", n, controlPort))
		if err == nil {
			*network = n

			return l, nil
		}

		errs = append(errs, err)
	}

	return nil, errors.Join(errs...)
}

// TestStopOfAStartingProcess guards against a report of a failed stop where the process had not begun to run.
func TestStopOfAStartingProcess(t *testing.T) {
	programs := t.TempDir()
	require.NoError(t, build(programs))

	f, err := newFleet(programs, t.TempDir(), 1)

	defer func() { require.NoError(t, f.stop()) }()

	require.NoError(t, err)

	for delay := time.Duration(0); delay < 40*time.Millisecond; delay += 2 * time.Millisecond {
		require.NoError(t, f.nodes[0].start())
		time.Sleep(delay)
		require.NoError(t, f.nodes[0].terminate(stopBound), "after %s", delay)
	}
}

func TestSoak(t *testing.T) {
	programs := t.TempDir()
	require.NoError(t, build(programs))

	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) {
			t.Log(cause)
			soak(t, programs, seed)
		})
	}

	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, programs, seed) })
	}
}

// departureStream is the stream of random numbers for departures.
const departureStream = 36

// soak injects the faults of one seed and checks that callers, backend servers and operators saw no violation of a guarantee.
func soak(t *testing.T, programs string, seed uint64) {
	folder := t.TempDir()
	if *keep != "" {
		folder = fmt.Sprintf("%s/seed-%d", *keep, seed)
		require.NoError(t, os.MkdirAll(folder, 0o700))
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	f, err := newFleet(programs, folder, *nodes)

	defer func() {
		cancel()
		require.NoError(t, f.stop())
	}()

	require.NoError(t, err)
	require.NoError(t, f.start(ctx))

	o := newOperators(f)
	load, stop := context.WithCancel(ctx)

	for range 2 {
		f.wait.Go(func() { o.run(load) })
	}

	f.wait.Go(func() { o.pollControllers(ctx) })
	f.watch(ctx)
	f.startCallers(load)

	waitUntilServing(t, f)
	require.Eventually(t, func() bool { _, answered := f.tally.Keys(); return answered > 0 }, startBound, pollPause,
		"no keyed request was answered before the first fault")

	// Departures are drawn apart, so that the other faults of a seed stay the same.
	plan := append(f.schedule(rand.New(rand.NewPCG(seed, seed)), *length), f.departures(rand.New(rand.NewPCG(seed, departureStream)), *length)...)
	t.Logf("faults: %v", plan)
	injectFaults(t, plan)
	waitUntilServing(t, f)
	stop()
	o.waitForConvergence(ctx)

	sent, answered := f.tally.Keys()
	t.Logf("accepted %d edits, outcome of %d unknown; served %v, refused %v; keyed %d, answered %d; %d servers left",
		o.accepted, o.unknown, f.tally.Served(), f.tally.Refused(), sent, answered, f.departed.Load())
	require.Positive(t, o.accepted)
	require.Positive(t, answered)
	require.Empty(t, f.tally.Check())
}

// injectFaults injects each fault at its time and waits until all have ended.
func injectFaults(t *testing.T, plan []fault) {
	var wait sync.WaitGroup

	for _, f := range plan {
		wait.Go(func() {
			time.Sleep(f.at)

			if err := f.inject(); err != nil {
				t.Errorf("%s: %s", f, err)
			}
		})
	}

	wait.Wait()
}

// startBound is the time within which a fleet that starts together must have placed its claim groups.
const startBound = 30 * time.Second

// recoveryBound is the time after the last fault within which calls of both services must be served again.
const recoveryBound = 15 * time.Second

// waitUntilServing waits until every node serves calls of both services, and fails the test if one takes longer than recoveryBound.
func waitUntilServing(t *testing.T, f *fleet) {
	end := time.Now().Add(recoveryBound)
	client := &http.Client{Timeout: time.Second}

	for i := range f.nodes {
		dc, octet := nodePosition(i)

		for _, path := range []string{"/calls/open", "/profiles/7"} {
			for !serves(client, "http://"+advertisedHost(dc, octet)+":"+callPort+path) {
				if time.Now().After(end) {
					t.Errorf("%s still does not serve %s %s after the last fault", f.nodes[i].name, path, recoveryBound)

					break
				}

				time.Sleep(pollPause)
			}
		}
	}
}

func serves(client *http.Client, url string) bool {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}

	r.Header.Set(standin.HeaderAttempt, "probe")

	resp, err := client.Do(r)
	if err != nil {
		return false
	}

	// The body is not read: only the status matters.
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// sendCrashingRequest sends a request that crashes its backend server. The answer is ignored, since the run log records what ran.
func sendCrashingRequest(address, path string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return
	}

	r.Header.Set(standin.HeaderAttempt, "crash")
	r.Header.Set(standin.HeaderCrash, "now")

	if resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(r); err == nil {
		_ = resp.Body.Close()
	}
}
