package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/renderer"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// convergenceBound is the target time for a change to be in force on every node.
	convergenceBound = 16 * time.Second
	// drainBound is the time after which a draining worker must not receive new calls.
	drainBound = 3 * time.Second
	// crashBound is the maximum number of backend servers that one request may crash.
	crashBound = 2

	readyTimeout  = 30 * time.Second
	callerCount   = 24
	callPause     = 15 * time.Millisecond
	pollPeriod    = 10 * time.Millisecond
	settleTime    = 2 * time.Second
	partitionTime = 8 * time.Second
	editTimeout   = 20 * time.Second
	author        = "quickstart"
	crashAttempts = 4
)

// scenario is one run of the quickstart. Versions holds the last version seen on each node, guarded by mu.
type scenario struct {
	fleet    *assembler.Fleet
	document tiller.DocumentSpec
	out      io.Writer
	timeline string
	client   *editor.Client
	tally    *standin.Tally
	callers  *standin.Callers
	mu       sync.Mutex
	versions map[string]tiller.Version
}

func newScenario(f *assembler.Fleet, document tiller.DocumentSpec, out io.Writer, timeline string) *scenario {
	s := &scenario{
		fleet: f, document: document, out: out, timeline: timeline, tally: standin.NewTally(f.RunLog()),
		client: editor.New(transporter.Addresses(f.ControllerAddresses())), versions: map[string]tiller.Version{},
	}

	return s
}

// printf prints one line of the report.
func (s *scenario) printf(format string, args ...any) {
	// A failed write does not affect the run.
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *scenario) run(ctx context.Context) error {
	began := time.Now()

	if err := s.fleet.Start(ctx); err != nil {
		return err
	}

	err := s.steps(ctx)
	if err != nil {
		s.tally.AddViolation("%s", err)
	}

	if err := errors.Join(s.writeTimeline(ctx), s.fleet.Stop()); err != nil {
		s.tally.AddViolation("%s", err)
	}

	return s.summarize(time.Since(began))
}

func (s *scenario) steps(ctx context.Context) error {
	if err := s.applyFirstDocument(ctx); err != nil {
		return err
	}

	calling, stop := context.WithCancel(ctx)
	defer stop()

	s.callers = standin.NewCallers(s.fleet.Plan().CallKinds, s.fleet.Targets(), s.tally)

	var callers sync.WaitGroup
	for range callerCount {
		callers.Go(func() { s.callers.Run(calling, callPause) })
	}

	go s.watchVersions(calling)

	for _, step := range []func(context.Context) error{
		s.shiftTraffic, s.drainWorker, s.repeatCrashingRequest, s.restartNode, s.killLeader, s.partitionDataCentre,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}

	stop()
	callers.Wait()

	return nil
}

func (s *scenario) applyFirstDocument(ctx context.Context) error {
	if err := s.waitUntil(readyTimeout, "the controllers elect a leader", func() bool {
		status, err := s.client.Status(ctx)

		return err == nil && status.GetCurrent()
	}); err != nil {
		return err
	}

	if err := s.edit(ctx, "first document", func(*tiller.DocumentSpec) {}); err != nil {
		return err
	}

	if err := s.waitUntil(readyTimeout, "all workers are ready and claim groups are placed", func() bool { return s.routable(ctx) }); err != nil {
		return err
	}

	s.printf("fleet        %d controllers, %d nodes in %d data centres",
		len(s.fleet.Controllers()), len(s.fleet.Nodes()), len(s.fleet.Plan().DataCentres))

	return nil
}

// routable reports whether every node lists all workers as ready and knows all claim groups.
func (s *scenario) routable(ctx context.Context) bool {
	for _, n := range s.fleet.Nodes() {
		r, err := s.client.Inspector(n.Server().Address()).Inspect(ctx, &wire.InspectRequest{})
		if err != nil || len(r.GetPlacements().GetPlacements()) < len(s.fleet.Plan().DataCentres) {
			return false
		}

		ready := 0

		for _, e := range r.GetEntries() {
			if e.GetState() == wire.BackendState_BACKEND_STATE_READY {
				ready++
			}
		}

		if ready < len(s.fleet.Plan().Workers) {
			return false
		}
	}

	return true
}

// waitUntil polls a condition and returns an error if it is not met within the bound.
func (s *scenario) waitUntil(bound time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(pollPeriod) {
		if ok() {
			return nil
		}
	}

	return eris.Errorf("within %s it did not happen that %s", bound, what)
}

// edit applies a change of the document and waits until it is in force on every reachable node.
func (s *scenario) edit(ctx context.Context, reason string, change func(*tiller.DocumentSpec)) error {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()

	shown, err := s.client.Show(ctx)
	if err != nil {
		return err
	}

	change(&s.document)

	before := tiller.VersionOf(shown.GetVersion())

	e, err := editor.NewEdit(s.document, before, author, reason)
	if err != nil {
		return err
	}

	sent := s.fleet.NodeSentBytes()
	began := time.Now()

	r, err := s.client.Apply(ctx, e)
	if err != nil {
		return err
	}

	if !r.GetOutcome().GetAccepted() {
		return eris.Errorf("edit %q was not accepted: %s %v", reason, r.GetAdvice(), r.GetFaults())
	}

	accepted := time.Since(began)
	version := tiller.VersionOf(r.GetOutcome().GetVersion())

	inForce := func() bool { return s.fleet.InForce(version) }
	if err := s.waitUntil(convergenceBound, "version "+version.String()+" is in force everywhere", inForce); err != nil {
		return err
	}

	s.printf("edit         %-34s %s -> %s  accepted in %d ms, in force on %d nodes in %d ms, %d control bytes meanwhile",
		reason, before, version, accepted.Milliseconds(), s.reachable(), time.Since(began).Milliseconds(), s.fleet.NodeSentBytes()-sent)

	return nil
}

// reachable returns the number of nodes outside the partitioned data centre.
func (s *scenario) reachable() int {
	n := 0

	for _, node := range s.fleet.Nodes() {
		if !s.fleet.IsPartitioned(node.Plan().DataCentre) {
			n++
		}
	}

	return n
}

// watchVersions checks continuously that no node returns to an older version. A node without any version is not a violation.
func (s *scenario) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()

		for name, n := range s.fleet.Nodes() {
			v := n.Server().Version()
			if s.versions[name].NewerThan(v) && !v.IsZero() {
				s.tally.AddViolation("%s moved back from %s to %s", name, s.versions[name], v)
			}

			s.versions[name] = v
		}

		s.mu.Unlock()
		time.Sleep(pollPeriod)
	}
}

func (s *scenario) writeTimeline(ctx context.Context) error {
	addresses := make([]tiller.Address, 0, len(s.fleet.Nodes()))
	for _, n := range s.fleet.Nodes() {
		addresses = append(addresses, n.Server().Address())
	}

	lines, dropped := s.client.Timelines(ctx, addresses)
	events := renderer.Merge(renderer.Filter{}, lines...)
	s.printf("time line    %d events of %d processes", len(events), len(lines))

	if s.timeline == "" {
		return nil
	}

	f, err := os.Create(s.timeline)
	if err != nil {
		return eris.Wrap(err, "create timeline")
	}

	return errors.Join(renderer.HTML(f, events, dropped), f.Close())
}

// summarize prints the results and returns an error if a guarantee was broken.
func (s *scenario) summarize(elapsed time.Duration) error {
	cut := s.tally.Refused()[standin.ReasonConnection]
	if cut > 0 {
		s.tally.AddViolation("%d calls were cut", cut)
	}

	violations := s.tally.Check()
	sent, answered := s.tally.Keys()

	s.printf("served       %v", s.tally.Served())
	s.printf("refused      %v", s.tally.Refused())
	s.printf("keyed        %d requests, %d answered, %d ran twice", sent, answered, s.countRepeatedRuns(violations))
	s.printf("cut          %d calls without an answer", cut)
	s.printf("took         %s", elapsed.Round(time.Second))

	for _, v := range violations {
		s.printf("BROKEN       %s", v)
	}

	if len(violations) > 0 {
		return launcher.Exitf(launcher.ExitFailed, "%d promises were broken", len(violations))
	}

	s.printf("promises     kept")

	return nil
}

// countRepeatedRuns returns how many of the violations are keyed requests that ran more than once.
func (s *scenario) countRepeatedRuns(violations []string) int {
	n := 0

	for _, v := range violations {
		var (
			key  string
			runs int
		)

		if c, err := fmt.Sscanf(v, "key %s ran %d times", &key, &runs); err == nil && c == 2 && runs > 1 {
			n++
		}
	}

	return n
}
