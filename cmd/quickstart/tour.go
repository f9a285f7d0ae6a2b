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
	"gitlab.com/sycamoretiller/sycamoretiller/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/renderer"
	"gitlab.com/sycamoretiller/sycamoretiller/standin"
	"gitlab.com/sycamoretiller/sycamoretiller/transporter"
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

// tour is the run of the quickstart.
type tour struct {
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

func newTour(f *assembler.Fleet, document tiller.DocumentSpec, out io.Writer, timeline string) *tour {
	t := &tour{
		fleet: f, document: document, out: out, timeline: timeline, tally: standin.NewTally(f.Ledger()),
		client: editor.New(transporter.Addresses(f.ControllerAddresses())), versions: map[string]tiller.Version{},
	}

	return t
}

func (t *tour) say(format string, args ...any) {
	// Losing a line of the report changes nothing about the run.
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

func (t *tour) run(ctx context.Context) error {
	began := time.Now()

	if err := t.fleet.Start(ctx); err != nil {
		return err
	}

	err := t.steps(ctx)
	if err != nil {
		t.tally.Breach("%s", err)
	}

	if err := errors.Join(t.writeTimeline(ctx), t.fleet.Stop()); err != nil {
		t.tally.Breach("%s", err)
	}

	return t.verdict(time.Since(began))
}

func (t *tour) steps(ctx context.Context) error {
	if err := t.firstDocument(ctx); err != nil {
		return err
	}

	calling, stop := context.WithCancel(ctx)
	defer stop()

	t.callers = standin.NewCallers(t.fleet.Plan().Scripts, t.fleet.Targets(), t.tally)

	var callers sync.WaitGroup
	for range callerCount {
		callers.Go(func() { t.callers.Run(calling, callerPause) })
	}

	go t.watchVersions(calling)

	for _, step := range []func(context.Context) error{
		t.shiftTraffic, t.drainWorker, t.crashingRequest, t.restartNode, t.loseLeader, t.cutDataCentre,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}

	stop()
	callers.Wait()

	return nil
}

func (t *tour) firstDocument(ctx context.Context) error {
	if err := t.until(readyBound, "the controllers elect a leader", func() bool {
		s, err := t.client.Status(ctx)

		return err == nil && s.GetCurrent()
	}); err != nil {
		return err
	}

	if err := t.edit(ctx, "first document", func(*tiller.DocumentSpec) {}); err != nil {
		return err
	}

	if err := t.until(readyBound, "all workers are ready and claim groups are placed", func() bool { return t.routable(ctx) }); err != nil {
		return err
	}

	t.say("fleet        %d controllers, %d nodes in %d data centres", len(t.fleet.Controllers()), len(t.fleet.Nodes()), len(t.fleet.Plan().DataCentres))

	return nil
}

// routable reports whether every node knows every worker as ready and every claim group.
func (t *tour) routable(ctx context.Context) bool {
	for _, n := range t.fleet.Nodes() {
		r, err := t.client.Inspector(n.Server().Address()).Inspect(ctx, &wire.InspectRequest{})
		if err != nil || len(r.GetPlacements().GetPlacements()) < len(t.fleet.Plan().DataCentres) {
			return false
		}

		ready := 0

		for _, e := range r.GetEntries() {
			if e.GetState() == wire.BackendState_BACKEND_STATE_READY {
				ready++
			}
		}

		if ready < len(t.fleet.Plan().Workers) {
			return false
		}
	}

	return true
}

func (t *tour) until(bound time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(pollPeriod) {
		if ok() {
			return nil
		}
	}

	return eris.Errorf("within %s it did not happen that %s", bound, what)
}

// edit changes the document and waits until it is in force on every reachable node.
func (t *tour) edit(ctx context.Context, reason string, change func(*tiller.DocumentSpec)) error {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()

	shown, err := t.client.Show(ctx)
	if err != nil {
		return err
	}

	change(&t.document)

	before := tiller.VersionOf(shown.GetVersion())

	e, err := editor.NewEdit(t.document, before, author, reason)
	if err != nil {
		return err
	}

	sent := t.fleet.ControlBytes()
	began := time.Now()

	r, err := t.client.Apply(ctx, e)
	if err != nil {
		return err
	}

	if !r.GetOutcome().GetAccepted() {
		return eris.Errorf("edit %q was not accepted: %s %v", reason, r.GetAdvice(), r.GetFaults())
	}

	accepted := time.Since(began)
	version := tiller.VersionOf(r.GetOutcome().GetVersion())

	inForce := func() bool { return t.fleet.InForce(version) }
	if err := t.until(convergenceBound, "version "+version.String()+" is in force everywhere", inForce); err != nil {
		return err
	}

	t.say("edit         %-34s %s -> %s  accepted in %d ms, in force on %d nodes in %d ms, %d control bytes meanwhile",
		reason, before, version, accepted.Milliseconds(), t.reachable(), time.Since(began).Milliseconds(), t.fleet.ControlBytes()-sent)

	return nil
}

func (t *tour) reachable() int {
	n := 0

	for _, node := range t.fleet.Nodes() {
		if !t.fleet.IsCut(node.Plan().DataCentre) {
			n++
		}
	}

	return n
}

// watchVersions checks that no node ever moves to an older version.
func (t *tour) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()

		for name, n := range t.fleet.Nodes() {
			v := n.Server().Version()
			if t.versions[name].NewerThan(v) && !v.IsZero() {
				t.tally.Breach("%s moved back from %s to %s", name, t.versions[name], v)
			}

			t.versions[name] = v
		}

		t.mu.Unlock()
		time.Sleep(pollPeriod)
	}
}

func (t *tour) writeTimeline(ctx context.Context) error {
	addresses := make([]tiller.Address, 0, len(t.fleet.Nodes()))
	for _, n := range t.fleet.Nodes() {
		addresses = append(addresses, n.Server().Address())
	}

	lines, dropped := t.client.Timelines(ctx, addresses)
	events := renderer.Merge(renderer.Filter{}, lines...)
	t.say("time line    %d events of %d processes", len(events), len(lines))

	if t.timeline == "" {
		return nil
	}

	f, err := os.Create(t.timeline)
	if err != nil {
		return eris.Wrap(err, "create time line")
	}

	return errors.Join(renderer.HTML(f, events, dropped), f.Close())
}

func (t *tour) verdict(took time.Duration) error {
	broken := t.tally.Check()
	sent, answered := t.tally.Keys()

	t.say("served       %v", t.tally.Served())
	t.say("refused      %v", t.tally.Refused())
	t.say("keyed        %d requests, %d answered, %d ran twice", sent, answered, t.ranTwice(broken))
	t.say("took         %s", took.Round(time.Second))

	for _, b := range broken {
		t.say("BROKEN       %s", b)
	}

	if len(broken) > 0 {
		return launcher.Exitf(launcher.ExitFailed, "%d promises were broken", len(broken))
	}

	t.say("promises     kept")

	return nil
}

func (t *tour) ranTwice(broken []string) int {
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
