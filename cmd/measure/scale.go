package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	services       = 83
	routesEach     = 2
	dataCentres    = 11
	smallFleet     = 20
	smallCentres   = 4
	edits          = 20
	settleSpan     = 30 * time.Second
	restSpan       = 10 * time.Second
	busySpan       = 15 * time.Second
	busyFactor     = 100
	editsPerDay    = 3900
	dayLength      = 24 * time.Hour
	bound          = 60 * time.Second
	poll           = time.Millisecond
	baselinePeriod = time.Second
	httpOverhead   = 400
	kilo           = 1000
)

// document returns a document of the target size; the change makes it differ.
func document(change int) tiller.DocumentSpec {
	d := tiller.DocumentSpec{Defaults: map[string]int64{tiller.SettingQueueLength.String(): int64(change % kilo)}}

	for i := range services {
		name := fmt.Sprintf("service-%02d", i)
		d.Services = append(d.Services, tiller.ServiceSpec{Name: name, Description: "one of the services at target size"})

		for j := range routesEach {
			d.Routes = append(d.Routes, tiller.RouteSpec{
				Name: fmt.Sprintf("%s-route-%d", name, j), Method: "GET", PathPrefix: fmt.Sprintf("/%s/%d", name, j), Service: name,
				Class: tiller.ClassInteractive.String(), Idempotent: true,
			})
		}
	}

	for i := range 20 {
		d.Exceptions = append(d.Exceptions, tiller.ExceptionSpec{
			Name: fmt.Sprintf("exception-%d", i), Scope: tiller.ScopeSpec{Worker: fmt.Sprintf("w%d", i)},
			Setting: tiller.SettingQueueLength.String(), Value: int64(change+i) % kilo, Reason: "this worker has little memory",
		})
	}

	return d
}

// scalePlan returns a fleet without backend servers' load.
func scalePlan(n int) assembler.Plan {
	p := assembler.Plan{}

	centres := dataCentres
	if n < smallFleet {
		centres = smallCentres
	}

	for i := range centres {
		p.DataCentres = append(p.DataCentres, fmt.Sprintf("dc-%02d", i))
	}

	for i := range n {
		p.Workers = append(p.Workers, assembler.WorkerPlan{
			Name: fmt.Sprintf("w%d", i), DataCentre: p.DataCentres[i%centres], Service: fmt.Sprintf("service-%02d", i%services), Slots: 10, Connections: 130,
		})
	}

	return p
}

// scale is a running fleet under measurement.
type scale struct {
	fleet  *assembler.Fleet
	client *editor.Client
	change int
}

func startScale(ctx context.Context, plan assembler.Plan) (*scale, func() error, error) {
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, nil, eris.Wrap(err, "create folder")
	}

	f := assembler.New(plan, folder)
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}

	s := &scale{fleet: f, client: editor.New(transporter.Addresses(f.ControllerAddresses()))}
	stop := func() error {
		err := f.Stop()
		_ = os.RemoveAll(folder)

		return err
	}

	if err := until("a controller leads", func() bool {
		st, err := s.client.Status(ctx)

		return err == nil && st.GetCurrent()
	}); err != nil {
		return nil, nil, err
	}

	_, err = s.edit(ctx)

	return s, stop, err
}

func until(what string, ok func() bool) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return nil
		}
	}

	return eris.Errorf("it did not happen in %s that %s", bound, what)
}

// edit makes one change and returns how long it took to be in force everywhere.
func (s *scale) edit(ctx context.Context) (time.Duration, error) {
	version, began, err := s.apply(ctx)
	if err != nil {
		return 0, err
	}

	err = until("the edit is in force", func() bool { return s.fleet.InForce(version) })

	return time.Since(began), err
}

func (s *scale) apply(ctx context.Context) (tiller.Version, time.Time, error) {
	s.change++

	shown, err := s.client.Show(ctx)
	if err != nil {
		return tiller.Version{}, time.Time{}, err
	}

	e, err := editor.NewEdit(document(s.change), tiller.VersionOf(shown.GetVersion()), "measure", "measurement")
	if err != nil {
		return tiller.Version{}, time.Time{}, err
	}

	began := time.Now()

	r, err := s.client.Apply(ctx, e)
	if err != nil {
		return tiller.Version{}, began, err
	}

	if !r.GetOutcome().GetAccepted() {
		return tiller.Version{}, began, eris.Errorf("edit was not accepted: %s", r.GetAdvice())
	}

	return tiller.VersionOf(r.GetOutcome().GetVersion()), began, nil
}

func measureScale(ctx context.Context, r *reporter, n int) error {
	before := residentMB()

	s, stop, err := startScale(ctx, scalePlan(n))
	if err != nil {
		return err
	}

	// The membership settles before anything is counted.
	time.Sleep(settleSpan)

	figure := func(name string, value float64, unit string) {
		r.report(line{Name: name, Nodes: n, Value: value, Unit: unit, Variant: ours})
	}

	s.atRest(figure, n)

	if err := s.converge(ctx, figure); err != nil {
		return err
	}

	if err := s.busy(ctx, figure, n); err != nil {
		return err
	}

	figure("resident_mb_per_node", (residentMB()-before)/float64(n), "MB")

	if err := s.pollingBaseline(ctx, r, n); err != nil {
		return err
	}

	return stop()
}

type figureFunc func(name string, value float64, unit string)

func (s *scale) atRest(figure figureFunc, n int) {
	sent, source, cpu := s.fleet.ControlBytes(), s.fleet.SourceBytes(), processorSeconds()

	time.Sleep(restSpan)

	span := restSpan.Seconds()
	figure("rest_control_bytes_per_second_per_node", float64(s.fleet.ControlBytes()-sent)/span/float64(n), "B/s")
	figure("rest_source_bytes_per_second", float64(s.fleet.SourceBytes()-source)/span, "B/s")
	figure("rest_cpu_percent_per_node", 100*(processorSeconds()-cpu)/span/float64(n), "% of a core")
}

func (s *scale) converge(ctx context.Context, figure figureFunc) error {
	sent, source := s.fleet.ControlBytes(), s.fleet.SourceBytes()

	var times []time.Duration

	for range edits {
		took, err := s.edit(ctx)
		if err != nil {
			return err
		}

		times = append(times, took)
	}

	slices.Sort(times)
	figure("convergence_ms_p50", millis(times[len(times)/2]), "ms")
	figure("convergence_ms_max", millis(times[len(times)-1]), "ms")
	figure("node_bytes_per_change", float64(s.fleet.ControlBytes()-sent)/edits, "B in all")
	figure("source_bytes_per_change", float64(s.fleet.SourceBytes()-source)/edits, "B")

	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / kilo }

// busy edits at a hundred times the target rate.
func (s *scale) busy(ctx context.Context, figure figureFunc, n int) error {
	sent, cpu, began := s.fleet.ControlBytes(), processorSeconds(), time.Now()
	ticker := time.NewTicker(dayLength / (editsPerDay * busyFactor))

	defer ticker.Stop()

	for time.Since(began) < busySpan {
		if _, _, err := s.apply(ctx); err != nil {
			return err
		}

		<-ticker.C
	}

	span := time.Since(began).Seconds()
	figure("busy_control_bytes_per_second_per_node", float64(s.fleet.ControlBytes()-sent)/span/float64(n), "B/s")
	figure("busy_cpu_percent_per_node", 100*(processorSeconds()-cpu)/span/float64(n), "% of a core")

	return nil
}

// pollingBaseline lets every node ask the leader for the whole document once a period.
func (s *scale) pollingBaseline(ctx context.Context, r *reporter, n int) error {
	var (
		mu    sync.Mutex
		bytes int
		held  = make([]tiller.Version, n)
		wait  sync.WaitGroup
	)

	polling, stop := context.WithCancel(ctx)
	for i := range n {
		wait.Go(func() {
			time.Sleep(baselinePeriod * time.Duration(i) / time.Duration(n))

			for polling.Err() == nil {
				if shown, err := s.client.Show(polling); err == nil {
					mu.Lock()
					bytes += proto.Size(&wire.ShowReply{Version: shown.GetVersion(), Items: shown.GetItems()}) + httpOverhead
					held[i] = tiller.VersionOf(shown.GetVersion())
					mu.Unlock()
				}

				time.Sleep(baselinePeriod)
			}
		})
	}

	time.Sleep(2 * baselinePeriod)

	mu.Lock()
	bytes = 0
	mu.Unlock()

	began := time.Now()
	version, edited, err := s.apply(ctx)
	err = firstError(err, until("every polling node has the edit", func() bool {
		mu.Lock()
		defer mu.Unlock()

		return !slices.ContainsFunc(held, version.NewerThan)
	}))
	took := time.Since(edited)

	time.Sleep(2 * baselinePeriod)
	mu.Lock()
	r.report(line{Name: "convergence_ms_max", Nodes: n, Value: millis(took), Unit: "ms", Variant: baseline})
	r.report(line{
		Name: "rest_source_bytes_per_second", Nodes: n, Value: float64(bytes) / time.Since(began).Seconds(), Unit: "B/s", Variant: baseline,
	})
	mu.Unlock()
	stop()
	wait.Wait()

	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}

const failovers = 5

// measureFailover kills the leader several times.
func measureFailover(ctx context.Context, r *reporter) error {
	s, stop, err := startScale(ctx, scalePlan(1))
	if err != nil {
		return err
	}

	var times []time.Duration

	for range failovers {
		leads := func() int {
			return slices.IndexFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool { return c.Server().Status().GetCurrent() })
		}

		if err := until("a controller leads", func() bool { return leads() >= 0 }); err != nil {
			return err
		}

		time.Sleep(2 * time.Second)

		old, began := leads(), time.Now()
		if err := s.fleet.Controllers()[old].Kill(); err != nil {
			return err
		}

		if err := until("another leads", func() bool { return leads() >= 0 && leads() != old }); err != nil {
			return err
		}

		times = append(times, time.Since(began))

		if err := s.fleet.StartController(ctx, old); err != nil {
			return err
		}
	}

	slices.Sort(times)
	r.report(line{Name: "failover_ms_p50", Nodes: 3, Value: millis(times[failovers/2]), Unit: "ms", Variant: ours})
	r.report(line{Name: "failover_ms_max", Nodes: 3, Value: millis(times[failovers-1]), Unit: "ms", Variant: ours})

	return stop()
}
