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
	serviceCount          = 83
	routesPerService      = 2
	dataCentreCount       = 11
	smallFleetNodes       = 20
	smallFleetDataCentres = 4
	editCount             = 20
	settleTime            = 30 * time.Second
	idleTime              = 10 * time.Second
	busyTime              = 15 * time.Second
	busyFactor            = 100
	editsPerDay           = 3900
	dayLength             = 24 * time.Hour
	maxWait               = 60 * time.Second
	pollInterval          = time.Millisecond
	baselinePeriod        = time.Second
	// httpOverheadBytes is the assumed size of the HTTP headers of one poll of the baseline.
	httpOverheadBytes = 400
	kilo              = 1000
)

// document returns a document of the target size. Different values of change give different documents.
func document(change int) tiller.DocumentSpec {
	d := tiller.DocumentSpec{Defaults: map[string]int64{tiller.SettingQueueLength.String(): int64(change % kilo)}}

	for i := range serviceCount {
		name := fmt.Sprintf("service-%02d", i)
		d.Services = append(d.Services, tiller.ServiceSpec{Name: name, Description: "one of the services at target size"})

		for j := range routesPerService {
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

// scalePlan returns the plan of a fleet with n nodes that serve no calls.
func scalePlan(n int) assembler.Plan {
	p := assembler.Plan{}

	centres := dataCentreCount
	if n < smallFleetNodes {
		centres = smallFleetDataCentres
	}

	for i := range centres {
		p.DataCentres = append(p.DataCentres, fmt.Sprintf("dc-%02d", i))
	}

	for i := range n {
		p.Workers = append(p.Workers, assembler.WorkerPlan{
			Name: fmt.Sprintf("w%d", i), DataCentre: p.DataCentres[i%centres], Service: fmt.Sprintf("service-%02d", i%serviceCount),
			Slots: 10, Connections: 130,
		})
	}

	return p
}

// fleetBench is a running fleet that is measured. Change counts the edits.
type fleetBench struct {
	fleet  *assembler.Fleet
	client *editor.Client
	change int
}

// startFleetBench starts a fleet with a first document and returns a function that stops it.
func startFleetBench(ctx context.Context, plan assembler.Plan) (*fleetBench, func() error, error) {
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, nil, eris.Wrap(err, "create folder")
	}

	f := assembler.New(plan, folder)
	if err := f.Start(ctx); err != nil {
		return nil, nil, err
	}

	s := &fleetBench{fleet: f, client: editor.New(transporter.Addresses(f.ControllerAddresses()))}
	stop := func() error {
		err := f.Stop()
		_ = os.RemoveAll(folder)

		return err
	}

	if err := waitUntil("a controller leads", func() bool {
		st, err := s.client.Status(ctx)

		return err == nil && st.GetCurrent()
	}); err != nil {
		return nil, nil, err
	}

	_, err = s.edit(ctx)

	return s, stop, err
}

// waitUntil polls a condition and returns an error if it is not met within maxWait.
func waitUntil(what string, ok func() bool) error {
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}

	return eris.Errorf("timed out after %s waiting until %s", maxWait, what)
}

// edit applies one edit and returns the time until it was in force on every node.
func (s *fleetBench) edit(ctx context.Context) (time.Duration, error) {
	version, began, err := s.apply(ctx)
	if err != nil {
		return 0, err
	}

	err = waitUntil("the edit is in force", func() bool { return s.fleet.InForce(version) })

	return time.Since(began), err
}

// apply sends one edit and returns the accepted version and when the edit was sent.
func (s *fleetBench) apply(ctx context.Context) (tiller.Version, time.Time, error) {
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

// measureScale measures a fleet of n nodes at rest and under edits.
func measureScale(ctx context.Context, r *reporter, n int) error {
	before := residentMB()

	s, stop, err := startFleetBench(ctx, scalePlan(n))
	if err != nil {
		return err
	}

	// Membership must converge before traffic is counted.
	time.Sleep(settleTime)

	report := func(name string, value float64, unit string) {
		r.report(measurement{Name: name, Nodes: n, Value: value, Unit: unit, Variant: ours})
	}

	s.measureIdle(report, n)

	if err := s.measureConvergence(ctx, report); err != nil {
		return err
	}

	if err := s.measureBusy(ctx, report, n); err != nil {
		return err
	}

	report("resident_mb_per_node", (residentMB()-before)/float64(n), "MB")

	if err := s.measurePolling(ctx, r, n); err != nil {
		return err
	}

	return stop()
}

// reportFunc reports one result of this system.
type reportFunc func(name string, value float64, unit string)

func (s *fleetBench) measureIdle(report reportFunc, n int) {
	sent, source, cpu := s.fleet.NodeSentBytes(), s.fleet.ControllerSentBytes(), cpuSeconds()

	time.Sleep(idleTime)

	span := idleTime.Seconds()
	report("rest_control_bytes_per_second_per_node", float64(s.fleet.NodeSentBytes()-sent)/span/float64(n), "B/s")
	report("rest_source_bytes_per_second", float64(s.fleet.ControllerSentBytes()-source)/span, "B/s")
	report("rest_cpu_percent_per_node", 100*(cpuSeconds()-cpu)/span/float64(n), "% of a core")
}

func (s *fleetBench) measureConvergence(ctx context.Context, report reportFunc) error {
	sent, source := s.fleet.NodeSentBytes(), s.fleet.ControllerSentBytes()

	var times []time.Duration

	for range editCount {
		took, err := s.edit(ctx)
		if err != nil {
			return err
		}

		times = append(times, took)
	}

	slices.Sort(times)
	report("convergence_ms_p50", millis(times[len(times)/2]), "ms")
	report("convergence_ms_max", millis(times[len(times)-1]), "ms")
	report("node_bytes_per_change", float64(s.fleet.NodeSentBytes()-sent)/editCount, "B in all")
	report("source_bytes_per_change", float64(s.fleet.ControllerSentBytes()-source)/editCount, "B")

	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / kilo }

// measureBusy measures the fleet under busyFactor times the target rate of edits.
func (s *fleetBench) measureBusy(ctx context.Context, report reportFunc, n int) error {
	sent, cpu, began := s.fleet.NodeSentBytes(), cpuSeconds(), time.Now()
	ticker := time.NewTicker(dayLength / (editsPerDay * busyFactor))

	defer ticker.Stop()

	for time.Since(began) < busyTime {
		if _, _, err := s.apply(ctx); err != nil {
			return err
		}

		<-ticker.C
	}

	span := time.Since(began).Seconds()
	report("busy_control_bytes_per_second_per_node", float64(s.fleet.NodeSentBytes()-sent)/span/float64(n), "B/s")
	report("busy_cpu_percent_per_node", 100*(cpuSeconds()-cpu)/span/float64(n), "% of a core")

	return nil
}

// measurePolling measures the baseline, in which every node polls the leader for the complete document once per period.
func (s *fleetBench) measurePolling(ctx context.Context, r *reporter, n int) error {
	var (
		mu       sync.Mutex
		bytes    int
		versions = make([]tiller.Version, n)
		wait     sync.WaitGroup
	)

	polling, stop := context.WithCancel(ctx)
	for i := range n {
		wait.Go(func() {
			time.Sleep(baselinePeriod * time.Duration(i) / time.Duration(n))

			for polling.Err() == nil {
				if shown, err := s.client.Show(polling); err == nil {
					mu.Lock()
					bytes += proto.Size(&wire.ShowReply{Version: shown.GetVersion(), Items: shown.GetItems()}) + httpOverheadBytes
					versions[i] = tiller.VersionOf(shown.GetVersion())
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
	err = firstError(err, waitUntil("every polling node has the edit", func() bool {
		mu.Lock()
		defer mu.Unlock()

		return !slices.ContainsFunc(versions, version.NewerThan)
	}))
	took := time.Since(edited)

	time.Sleep(2 * baselinePeriod)
	mu.Lock()
	r.report(measurement{Name: "convergence_ms_max", Nodes: n, Value: millis(took), Unit: "ms", Variant: baseline})
	r.report(measurement{
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

const failoverCount = 5

// measureFailover kills the leader several times and measures the time until another controller leads.
func measureFailover(ctx context.Context, r *reporter) error {
	s, stop, err := startFleetBench(ctx, scalePlan(1))
	if err != nil {
		return err
	}

	var times []time.Duration

	for range failoverCount {
		leads := func() int {
			return slices.IndexFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool { return c.Server().Status().GetCurrent() })
		}

		if err := waitUntil("a controller leads", func() bool { return leads() >= 0 }); err != nil {
			return err
		}

		time.Sleep(2 * time.Second)

		old, began := leads(), time.Now()
		if err := s.fleet.Controllers()[old].Kill(); err != nil {
			return err
		}

		if err := waitUntil("another leads", func() bool { return leads() >= 0 && leads() != old }); err != nil {
			return err
		}

		times = append(times, time.Since(began))

		if err := s.fleet.StartController(ctx, old); err != nil {
			return err
		}
	}

	slices.Sort(times)
	r.report(measurement{Name: "failover_ms_p50", Nodes: 3, Value: millis(times[failoverCount/2]), Unit: "ms", Variant: ours})
	r.report(measurement{Name: "failover_ms_max", Nodes: 3, Value: millis(times[failoverCount-1]), Unit: "ms", Variant: ours})

	return stop()
}
