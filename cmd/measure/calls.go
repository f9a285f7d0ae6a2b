package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	missedVersionCount = 500

	callsPerSecond    = 145
	latencyPassTime   = 20 * time.Second
	cpuPassTime       = 8 * time.Second
	maxLatencyMicros  = 10_000_000
	significantDigits = 3

	goodputTime       = 4 * time.Second
	slotsPerWorker    = 10
	serviceTimeMs     = 10
	workerCount       = 2
	capacityPerSecond = workerCount * slotsPerWorker * 1000 / serviceTimeMs
	callDeadline      = 300 * time.Millisecond
	blindRetries      = 3
	callTimeout       = 2 * time.Second
	dataCentre        = "dc-00"
	board             = "board"
)

// measureCatchUp measures the bytes that a node exchanges to catch up after many missed versions: by a difference and, as the baseline, by
// the complete document.
func measureCatchUp(_ context.Context, r *reporter) error {
	source, stale := store.New(32), store.New(0)

	for i := range missedVersionCount + 1 {
		items, err := encoder.Encode(document(i))
		if err != nil {
			return err
		}

		v := tiller.NewVersion(1, uint64(i)+2, encoder.Hash(items))
		if err := source.Set(v, items); err != nil {
			return err
		}

		if i == 0 {
			if err := stale.Set(v, items); err != nil {
				return err
			}
		}
	}

	pull := &wire.Pull{Have: stale.Version().Wire(), ItemDigests: stale.Digests()}
	r.report(measurement{
		Name: "catch_up_bytes", Nodes: 1, Value: float64(proto.Size(pull) + proto.Size(source.Answer(pull))), Unit: "B",
		Variant: ours, At: missedVersionCount,
	})

	fullPull := &wire.Pull{Whole: true}
	fullBytes := float64(proto.Size(fullPull) + proto.Size(source.Answer(fullPull)))
	r.report(measurement{Name: "catch_up_bytes", Nodes: 1, Value: fullBytes, Unit: "B", Variant: baseline, At: missedVersionCount})

	return nil
}

// callPlan returns one data centre with two workers of one service and a third node that only accepts calls from callers.
func callPlan() assembler.Plan {
	p := assembler.Plan{DataCentres: []string{dataCentre}, ServiceTimeMs: serviceTimeMs}
	for i := range workerCount {
		p.Workers = append(p.Workers, assembler.WorkerPlan{
			Name: fmt.Sprintf("board-%d", i), DataCentre: dataCentre, Service: board, Slots: slotsPerWorker, Connections: 130,
		})
	}

	p.Workers = append(p.Workers, assembler.WorkerPlan{Name: "entry", DataCentre: dataCentre, Service: "other", Slots: 1, Connections: 1})

	return p
}

func callDocument() tiller.DocumentSpec {
	return tiller.DocumentSpec{
		Defaults: map[string]int64{tiller.SettingSlowStartMs.String(): 0},
		Services: []tiller.ServiceSpec{{Name: board}, {Name: "other"}},
		Routes: []tiller.RouteSpec{
			{Name: "read", Method: "GET", PathPrefix: "/calls", Service: board, Class: "interactive", Idempotent: true},
			{Name: "submit", Method: "POST", PathPrefix: "/auditions", Service: board, Class: "interactive", AtMostOnce: true},
		},
	}
}

// callBench is a small fleet that serves calls. Entry is the base URL of the node that accepts the calls, and direct holds the base
// URLs of the backend servers.
type callBench struct {
	fleet  *assembler.Fleet
	client *http.Client
	entry  string
	direct []string
}

// startCallBench starts a fleet whose backend servers take the given time for a request, in milliseconds.
func startCallBench(ctx context.Context, serviceMillis int) (*callBench, func() error, error) {
	plan := callPlan()
	plan.ServiceTimeMs = serviceMillis

	s, stop, err := startFleetBench(ctx, plan)
	if err != nil {
		return nil, nil, err
	}

	shown, err := s.client.Show(ctx)
	if err != nil {
		return nil, nil, err
	}

	e, err := editor.NewEdit(callDocument(), tiller.VersionOf(shown.GetVersion()), "measure", "calls")
	if err != nil {
		return nil, nil, err
	}

	if _, err := s.client.Apply(ctx, e); err != nil {
		return nil, nil, err
	}

	b := &callBench{
		fleet: s.fleet, entry: "http://" + string(s.fleet.Nodes()["entry"].Server().CallAddress()),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: capacityPerSecond}},
	}
	for i := range workerCount {
		b.direct = append(b.direct, "http://"+s.fleet.BackendAddress(fmt.Sprintf("board-%d", i)))
	}

	err = waitUntil("keyed calls are served", func() bool {
		_, ok := b.call(ctx, b.entry, http.MethodPost, "/auditions")

		return ok
	})
	time.Sleep(time.Second)

	return b, stop, err
}

// call makes one call; a POST carries an idempotency key. It returns the latency and whether the call was served.
func (b *callBench) call(ctx context.Context, base, method, path string) (time.Duration, bool) {
	r, err := http.NewRequestWithContext(ctx, method, base+path, nil)
	if err != nil {
		return 0, false
	}

	r.Header.Set(standin.HeaderAttempt, uuid.NewString())

	if method == http.MethodPost {
		r.Header.Set(forwarder.HeaderKey, standin.NewKey(dataCentre))
	}

	began := time.Now()

	resp, err := b.client.Do(r)
	if err != nil {
		return 0, false
	}

	defer func() { _ = resp.Body.Close() }()

	_, err = io.Copy(io.Discard, resp.Body)

	return time.Since(began), err == nil && resp.StatusCode == http.StatusOK
}

// callKind is one way to make a call, with its latencies in microseconds and its CPU time in seconds per call.
type callKind struct {
	name, base, method, path string
	latencies                *hdrhistogram.Histogram
	cpu                      float64
}

// measureLatency compares calls through two nodes, with and without an idempotency key, with direct calls. The kinds of call
// alternate, so that other load on the machine affects all of them alike. CPU time is measured in a second pass, one kind at a time.
func measureLatency(ctx context.Context, r *reporter) error {
	b, stop, err := startCallBench(ctx, 0)
	if err != nil {
		return err
	}

	newKind := func(name, base, method, path string) *callKind {
		return &callKind{name: name, base: base, method: method, path: path, latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	}
	direct := newKind("direct", b.direct[0], http.MethodGet, "/calls/1")
	nodes := newKind("nodes", b.entry, http.MethodGet, "/calls/1")
	keyed := newKind("keyed", b.entry, http.MethodPost, "/auditions")

	if err := b.runPass(ctx, latencyPassTime, direct, nodes, keyed); err != nil {
		return err
	}

	for _, q := range []float64{50, 99} {
		at := func(k *callKind) float64 { return float64(k.latencies.ValueAtQuantile(q)) }
		r.report(measurement{Name: fmt.Sprintf("call_us_p%.0f", q), Nodes: 2, Value: at(direct), Unit: "us", Variant: baseline, At: callsPerSecond})
		r.report(measurement{
			Name: fmt.Sprintf("added_us_p%.0f", q), Nodes: 2, Value: at(nodes) - at(direct), Unit: "us", Variant: ours, At: callsPerSecond,
		})
		r.report(measurement{Name: fmt.Sprintf("claim_us_p%.0f", q), Nodes: 3, Value: at(keyed) - at(nodes), Unit: "us", Variant: ours, At: callsPerSecond})
	}

	for _, k := range []*callKind{direct, nodes} {
		used := cpuSeconds()
		if err := b.runPass(ctx, cpuPassTime, k); err != nil {
			return err
		}

		k.cpu = (cpuSeconds() - used) / cpuPassTime.Seconds() / callsPerSecond
	}

	const micros = 1e6

	r.report(measurement{Name: "cpu_us_per_call", Nodes: 2, Value: micros * (nodes.cpu - direct.cpu), Unit: "us", Variant: ours, At: callsPerSecond})

	return stop()
}

// runPass makes calls of each of the given kinds, at the rate callsPerSecond per kind, for the given time. The kinds alternate.
func (b *callBench) runPass(ctx context.Context, passTime time.Duration, kinds ...*callKind) error {
	ticker := time.NewTicker(time.Second / callsPerSecond / time.Duration(len(kinds)))
	defer ticker.Stop()

	for range int(passTime.Seconds()) * callsPerSecond {
		for _, k := range kinds {
			<-ticker.C

			latency, ok := b.call(ctx, k.base, k.method, k.path)
			if !ok {
				return eris.Errorf("%s call failed", k.name)
			}

			if err := k.latencies.RecordValue(latency.Microseconds()); err != nil {
				return eris.Wrap(err, "record")
			}
		}
	}

	return nil
}

// measureGoodput measures goodput for loads up to several times the capacity, through the nodes and, as the baseline, directly at the
// backend servers.
func measureGoodput(ctx context.Context, r *reporter) error {
	for _, variant := range []string{ours, baseline} {
		b, stop, err := startCallBench(ctx, serviceTimeMs)
		if err != nil {
			return err
		}

		for _, load := range []float64{0.5, 1, 2, 3, 5} {
			r.report(measurement{
				Name: "goodput_per_second", Nodes: workerCount, Value: b.measureGoodputAt(ctx, variant, load), Unit: "calls/s within 300 ms",
				Variant: variant, At: load,
			})
		}

		if err := stop(); err != nil {
			return err
		}
	}

	return nil
}

// measureGoodputAt returns the calls per second that were served in time. Load is a multiple of the capacity.
func (b *callBench) measureGoodputAt(ctx context.Context, variant string, load float64) float64 {
	var (
		good atomic.Int64
		wait sync.WaitGroup
		next atomic.Int64
	)

	began := time.Now()
	perTick := load * capacityPerSecond / 1000

	due := 0.0
	for tick := time.NewTicker(time.Millisecond); time.Since(began) < goodputTime; <-tick.C {
		for due += perTick; due >= 1; due-- {
			wait.Go(func() {
				if b.callInTime(ctx, variant, &next) {
					good.Add(1)
				}
			})
		}
	}

	wait.Wait()

	return float64(good.Load()) / goodputTime.Seconds()
}

// callInTime reports whether a call was served before its deadline. The baseline uses the backend servers round-robin and retries at
// once, without a retry budget.
func (b *callBench) callInTime(ctx context.Context, variant string, next *atomic.Int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()

	if variant == ours {
		_, ok := b.call(ctx, b.entry, http.MethodGet, "/calls/1")

		return ok
	}

	for range blindRetries + 1 {
		if _, ok := b.call(ctx, b.direct[next.Add(1)%workerCount], http.MethodGet, "/calls/1"); ok {
			return true
		}
	}

	return false
}
