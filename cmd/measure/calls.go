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
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	missedVersions = 500

	callsPerSecond = 145
	latencySpan    = 20 * time.Second
	cpuSpan        = 8 * time.Second
	maxMicros      = 10_000_000
	digits         = 3

	goodputSpan  = 4 * time.Second
	slots        = 10
	serviceMs    = 10
	workers      = 2
	capacity     = workers * slots * 1000 / serviceMs
	callDeadline = 300 * time.Millisecond
	blindRetries = 3
	callTimeout  = 2 * time.Second
	servedDC     = "dc-00"
	board        = "board"
)

// measureCatchUp compares the difference after many missed versions with the whole document.
func measureCatchUp(_ context.Context, r *reporter) error {
	source, behind := holder.New(32), holder.New(0)

	for i := range missedVersions + 1 {
		items, err := encoder.Encode(document(i))
		if err != nil {
			return err
		}

		v := tiller.NewVersion(1, uint64(i)+2, encoder.Hash(items))
		if err := source.Set(v, items); err != nil {
			return err
		}

		if i == 0 {
			if err := behind.Set(v, items); err != nil {
				return err
			}
		}
	}

	pull := &wire.Pull{Have: behind.Version().Wire(), ItemDigests: behind.Digests()}
	r.report(line{
		Name: "catch_up_bytes", Nodes: 1, Value: float64(proto.Size(pull) + proto.Size(source.Answer(pull))), Unit: "B", Variant: ours, At: missedVersions,
	})

	whole := &wire.Pull{Whole: true}
	wholeBytes := float64(proto.Size(whole) + proto.Size(source.Answer(whole)))
	r.report(line{Name: "catch_up_bytes", Nodes: 1, Value: wholeBytes, Unit: "B", Variant: baseline, At: missedVersions})

	return nil
}

// callPlan is one data centre with two workers of one service and a third node that only takes calls in.
func callPlan() assembler.Plan {
	p := assembler.Plan{DataCentres: []string{servedDC}, ServiceTimeMs: serviceMs}
	for i := range workers {
		p.Workers = append(p.Workers, assembler.WorkerPlan{
			Name: fmt.Sprintf("board-%d", i), DataCentre: servedDC, Service: board, Slots: slots, Connections: 130,
		})
	}

	p.Workers = append(p.Workers, assembler.WorkerPlan{Name: "entry", DataCentre: servedDC, Service: "other", Slots: 1, Connections: 1})

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

// callBench is a small fleet that serves calls.
type callBench struct {
	fleet  *assembler.Fleet
	client *http.Client
	entry  string
	direct []string
}

func startCalls(ctx context.Context, serviceMillis int) (*callBench, func() error, error) {
	plan := callPlan()
	plan.ServiceTimeMs = serviceMillis

	s, stop, err := startScale(ctx, plan)
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
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: capacity}},
	}
	for i := range workers {
		b.direct = append(b.direct, "http://"+s.fleet.BackendAddress(fmt.Sprintf("board-%d", i)))
	}

	err = until("keyed calls are served", func() bool {
		_, ok := b.call(ctx, b.entry, http.MethodPost, "/auditions")

		return ok
	})
	time.Sleep(time.Second)

	return b, stop, err
}

// call sends one call and reports how long it took and whether it was answered.
func (b *callBench) call(ctx context.Context, base, method, path string) (time.Duration, bool) {
	r, err := http.NewRequestWithContext(ctx, method, base+path, nil)
	if err != nil {
		return 0, false
	}

	r.Header.Set(standin.HeaderSend, uuid.NewString())

	if method == http.MethodPost {
		r.Header.Set(forwarder.HeaderKey, standin.NewKey(servedDC))
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

// kind is one way to make a call.
type kind struct {
	name, base, method, path string
	times                    *hdrhistogram.Histogram
	cpu                      float64
}

// measureLatency compares calls through two nodes, plain and keyed, with direct ones. The kinds take turns, so that noise
// of the machine meets all of them; processor time is taken in a second pass, one kind at a time.
func measureLatency(ctx context.Context, r *reporter) error {
	b, stop, err := startCalls(ctx, 0)
	if err != nil {
		return err
	}

	newKind := func(name, base, method, path string) *kind {
		return &kind{name: name, base: base, method: method, path: path, times: hdrhistogram.New(1, maxMicros, digits)}
	}
	direct := newKind("direct", b.direct[0], http.MethodGet, "/calls/1")
	nodes := newKind("nodes", b.entry, http.MethodGet, "/calls/1")
	keyed := newKind("keyed", b.entry, http.MethodPost, "/auditions")

	if err := b.pass(ctx, latencySpan, direct, nodes, keyed); err != nil {
		return err
	}

	for _, q := range []float64{50, 99} {
		at := func(k *kind) float64 { return float64(k.times.ValueAtQuantile(q)) }
		r.report(line{Name: fmt.Sprintf("call_us_p%.0f", q), Nodes: 2, Value: at(direct), Unit: "us", Variant: baseline, At: callsPerSecond})
		r.report(line{Name: fmt.Sprintf("added_us_p%.0f", q), Nodes: 2, Value: at(nodes) - at(direct), Unit: "us", Variant: ours, At: callsPerSecond})
		r.report(line{Name: fmt.Sprintf("claim_us_p%.0f", q), Nodes: 3, Value: at(keyed) - at(nodes), Unit: "us", Variant: ours, At: callsPerSecond})
	}

	for _, k := range []*kind{direct, nodes} {
		used := processorSeconds()
		if err := b.pass(ctx, cpuSpan, k); err != nil {
			return err
		}

		k.cpu = (processorSeconds() - used) / cpuSpan.Seconds() / callsPerSecond
	}

	const micros = 1e6

	r.report(line{Name: "cpu_us_per_call", Nodes: 2, Value: micros * (nodes.cpu - direct.cpu), Unit: "us", Variant: ours, At: callsPerSecond})

	return stop()
}

// pass makes calls of each kind in turn, each kind at the target rate.
func (b *callBench) pass(ctx context.Context, span time.Duration, kinds ...*kind) error {
	ticker := time.NewTicker(time.Second / callsPerSecond / time.Duration(len(kinds)))
	defer ticker.Stop()

	for range int(span.Seconds()) * callsPerSecond {
		for _, k := range kinds {
			<-ticker.C

			took, ok := b.call(ctx, k.base, k.method, k.path)
			if !ok {
				return eris.Errorf("%s call failed", k.name)
			}

			if err := k.times.RecordValue(took.Microseconds()); err != nil {
				return eris.Wrap(err, "record")
			}
		}
	}

	return nil
}

// measureGoodput offers more load than there is capacity, through the nodes and straight to the servers.
func measureGoodput(ctx context.Context, r *reporter) error {
	for _, variant := range []string{ours, baseline} {
		b, stop, err := startCalls(ctx, serviceMs)
		if err != nil {
			return err
		}

		for _, load := range []float64{0.5, 1, 2, 3, 5} {
			r.report(line{
				Name: "goodput_per_second", Nodes: workers, Value: b.goodput(ctx, variant, load), Unit: "calls/s within 300 ms", Variant: variant, At: load,
			})
		}

		if err := stop(); err != nil {
			return err
		}
	}

	return nil
}

func (b *callBench) goodput(ctx context.Context, variant string, load float64) float64 {
	var (
		good atomic.Int64
		wait sync.WaitGroup
		turn atomic.Int64
	)

	began := time.Now()
	perTick := load * capacity / 1000

	due := 0.0
	for tick := time.NewTicker(time.Millisecond); time.Since(began) < goodputSpan; <-tick.C {
		for due += perTick; due >= 1; due-- {
			wait.Go(func() {
				if b.inTime(ctx, variant, &turn) {
					good.Add(1)
				}
			})
		}
	}

	wait.Wait()

	return float64(good.Load()) / goodputSpan.Seconds()
}

// inTime reports whether a call was answered before its deadline; the baseline goes round the servers and retries blindly.
func (b *callBench) inTime(ctx context.Context, variant string, turn *atomic.Int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()

	if variant == ours {
		_, ok := b.call(ctx, b.entry, http.MethodGet, "/calls/1")

		return ok
	}

	for range blindRetries + 1 {
		if _, ok := b.call(ctx, b.direct[turn.Add(1)%workers], http.MethodGet, "/calls/1"); ok {
			return true
		}
	}

	return false
}
