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
	// convergenceBound is the target for a change to be in force everywhere.
	convergenceBound = 16 * time.Second
	// drainBound is when a leaving worker must receive no new work.
	drainBound = 3 * time.Second
	// crashBound is how many servers one request may crash.
	crashBound = 2

	readyBound   = 30 * time.Second
	callerCount  = 24
	callerPause  = 15 * time.Millisecond
	pollPeriod   = 10 * time.Millisecond
	settleTime   = 2 * time.Second
	cutTime      = 8 * time.Second
	editTimeout  = 20 * time.Second
	author       = "quickstart"
	crashResends = 4
)

// scenario is the run of the quickstart.
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
		fleet: f, document: document, out: out, timeline: timeline, tally: standin.NewTally(f.Ledger()),
		client: editor.New(transporter.Addresses(f.ControllerAddresses())), versions: map[string]tiller.Version{},
	}

	return s
}

func (s *scenario) say(format string, args ...any) {
	// Losing a line of the report changes nothing about the run.
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *scenario) run(ctx context.Context) error {
	began := time.Now()

	if err := s.fleet.Start(ctx); err != nil {
		return err
	}

	err := s.steps(ctx)
	if err != nil {
		s.tally.Breach("%s", err)
	}

	if err := errors.Join(s.writeTimeline(ctx), s.fleet.Stop()); err != nil {
		s.tally.Breach("%s", err)
	}

	return s.verdict(time.Since(began))
}

func (s *scenario) steps(ctx context.Context) error {
	if err := s.firstDocument(ctx); err != nil {
		return err
	}

	calling, stop := context.WithCancel(ctx)
	defer stop()

	s.callers = standin.NewCallers(s.fleet.Plan().Scripts, s.fleet.Targets(), s.tally)

	var callers sync.WaitGroup
	for range callerCount {
		callers.Go(func() { s.callers.Run(calling, callerPause) })
	}

	go s.watchVersions(calling)

	for _, step := range []func(context.Context) error{
		s.shiftTraffic, s.drainWorker, s.crashingRequest, s.restartNode, s.loseLeader, s.cutDataCentre,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}

	stop()
	callers.Wait()

	return nil
}

func (s *scenario) firstDocument(ctx context.Context) error {
	if err := s.until(readyBound, "the controllers elect a leader", func() bool {
		status, err := s.client.Status(ctx)

		return err == nil && status.GetCurrent()
	}); err != nil {
		return err
	}

	if err := s.edit(ctx, "first document", func(*tiller.DocumentSpec) {}); err != nil {
		return err
	}

	if err := s.until(readyBound, "all workers are ready and claim groups are placed", func() bool { return s.routable(ctx) }); err != nil {
		return err
	}

	s.say("fleet        %d controllers, %d nodes in %d data centres", len(s.fleet.Controllers()), len(s.fleet.Nodes()), len(s.fleet.Plan().DataCentres))

	return nil
}

// routable reports whether every node knows every worker as ready and every claim group.
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

func (s *scenario) until(bound time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(pollPeriod) {
		if ok() {
			return nil
		}
	}

	return eris.Errorf("within %s it did not happen that %s", bound, what)
}

// edit changes the document and waits until it is in force on every reachable node.
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

	sent := s.fleet.ControlBytes()
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
	if err := s.until(convergenceBound, "version "+version.String()+" is in force everywhere", inForce); err != nil {
		return err
	}

	s.say("edit         %-34s %s -> %s  accepted in %d ms, in force on %d nodes in %d ms, %d control bytes meanwhile",
		reason, before, version, accepted.Milliseconds(), s.reachable(), time.Since(began).Milliseconds(), s.fleet.ControlBytes()-sent)

	return nil
}

func (s *scenario) reachable() int {
	n := 0

	for _, node := range s.fleet.Nodes() {
		if !s.fleet.IsCut(node.Plan().DataCentre) {
			n++
		}
	}

	return n
}

// watchVersions checks that no node ever moves to an older version.
func (s *scenario) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()

		for name, n := range s.fleet.Nodes() {
			v := n.Server().Version()
			if s.versions[name].NewerThan(v) && !v.IsZero() {
				s.tally.Breach("%s moved back from %s to %s", name, s.versions[name], v)
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
	s.say("time line    %d events of %d processes", len(events), len(lines))

	if s.timeline == "" {
		return nil
	}

	f, err := os.Create(s.timeline)
	if err != nil {
		return eris.Wrap(err, "create time line")
	}

	return errors.Join(renderer.HTML(f, events, dropped), f.Close())
}

func (s *scenario) verdict(took time.Duration) error {
	cut := s.tally.Refused()[standin.ReasonConnection]
	if cut > 0 {
		s.tally.Breach("%d calls were cut", cut)
	}

	broken := s.tally.Check()
	sent, answered := s.tally.Keys()

	s.say("served       %v", s.tally.Served())
	s.say("refused      %v", s.tally.Refused())
	s.say("keyed        %d requests, %d answered, %d ran twice", sent, answered, s.ranTwice(broken))
	s.say("cut          %d calls without an answer", cut)
	s.say("took         %s", took.Round(time.Second))

	for _, b := range broken {
		s.say("BROKEN       %s", b)
	}

	if len(broken) > 0 {
		return launcher.Exitf(launcher.ExitFailed, "%d promises were broken", len(broken))
	}

	s.say("promises     kept")

	return nil
}

func (s *scenario) ranTwice(broken []string) int {
	n := 0

	for _, b := range broken {
		var (
			key  string
			runs int
		)

		if c, err := fmt.Sscanf(b, "key %s ran %d times", &key, &runs); err == nil && c == 2 && runs > 1 {
			n++
		}
	}

	return n
}
