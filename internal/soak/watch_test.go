package soak_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	editPause = 150 * time.Millisecond
	pollPause = 50 * time.Millisecond
	// pollTimeout limits the wait for a paused process.
	pollTimeout = 500 * time.Millisecond
	// convergenceBound is the time within which an accepted configuration must be in force on every node.
	convergenceBound = 16 * time.Second
)

// operators edits the configuration and records the acknowledged versions.
type operators struct {
	fleet *fleet

	mu sync.Mutex
	// latest is the latest version acknowledged to any operator.
	latest tiller.Version
	// contents holds the timeout in the document of each acknowledged version.
	contents map[tiller.Version]int64
	next     int64
	accepted int
	unknown  int
}

func newOperators(f *fleet) *operators {
	return &operators{fleet: f, contents: map[tiller.Version]int64{}, next: 1000}
}

// run applies edits until the context ends. Several calls may run concurrently, so that their edits conflict.
func (o *operators) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.edit(ctx)
		time.Sleep(editPause)
	}
}

// edit changes the latest document, applies the change and records the outcome.
func (o *operators) edit(ctx context.Context) {
	shown, err := o.fleet.client.Show(ctx)
	if err != nil {
		return
	}

	o.mu.Lock()
	o.next++
	content := o.next
	o.mu.Unlock()

	e, err := editor.NewEdit(document(content), tiller.VersionOf(shown.GetVersion()), "soak", "change number of the run")
	if err != nil {
		o.fleet.tally.AddViolation("edit: %s", err)

		return
	}

	reply, err := o.fleet.client.Apply(ctx, e)

	switch {
	case err != nil || reply.GetOutcome() == nil:
		o.mu.Lock()
		o.unknown++
		o.mu.Unlock()
	case reply.GetOutcome().GetAccepted():
		o.acknowledge(tiller.VersionOf(reply.GetOutcome().GetVersion()), content)
		o.resend(ctx, e, reply)
	}
}

func (o *operators) acknowledge(v tiller.Version, content int64) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if other, known := o.contents[v]; known && other != content {
		o.fleet.tally.AddViolation("version %s was acknowledged with two different contents, %d and %d", v, other, content)
	}

	o.contents[v] = content
	o.accepted++

	if v.NewerThan(o.latest) {
		o.latest = v
	}
}

// resend applies an accepted edit again, as an operator does who has not received the answer. The outcome must be the same.
func (o *operators) resend(ctx context.Context, e *wire.Edit, first *wire.ApplyReply) {
	again, err := o.fleet.client.Apply(ctx, e)
	if err != nil || again.GetOutcome() == nil {
		return
	}

	if !again.GetOutcome().GetAccepted() || tiller.VersionOf(again.GetOutcome().GetVersion()) != tiller.VersionOf(first.GetOutcome().GetVersion()) {
		o.fleet.tally.AddViolation("an accepted edit was resent and got %v instead of %v", again.GetOutcome(), first.GetOutcome())
	}
}

func (o *operators) acknowledged() tiller.Version {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.latest
}

// pollControllers requests the latest document from one controller after another until the context ends. A confirmed answer must not be
// older than a version acknowledged before the request.
func (o *operators) pollControllers(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}

	for i := 0; ctx.Err() == nil; i++ {
		before := o.acknowledged()
		dc := i%dataCentres + 1
		controller := wire.NewOperatorProtobufClient("http://"+bindHost(dc, controllerOctet)+":"+controlPort, client)

		r, err := controller.Show(ctx, &wire.ShowRequest{Confirm: true})
		if err == nil && r.GetCurrent() && before.NewerThan(tiller.VersionOf(r.GetVersion())) {
			o.fleet.tally.AddViolation("controller-%d showed %s as confirmed after %s was acknowledged", dc, tiller.VersionOf(r.GetVersion()), before)
		}

		time.Sleep(pollPause)
	}
}

// watch polls the version in force on each node until the context ends. Between restarts of a node it must not decrease.
func (f *fleet) watch(ctx context.Context) {
	for i, p := range f.nodes {
		f.wait.Go(func() {
			var (
				last  tiller.Version
				start int
			)

			for ; ctx.Err() == nil; time.Sleep(pollPause) {
				before := p.currentStart()
				v, _, err := f.inForce(ctx, i)

				if err != nil || before == 0 || p.currentStart() != before {
					continue
				}

				if start == before && last.NewerThan(v) {
					f.tally.AddViolation("version of %s went back from %s to %s", p.name, last, v)
				}

				last, start = v, before
			}
		})
	}
}

// inForce returns the version in force on a node and the timeout in its document.
func (f *fleet) inForce(ctx context.Context, i int) (tiller.Version, int64, error) {
	dc, octet := nodePosition(i)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)

	defer cancel()

	r, err := f.client.Inspector(tiller.Address(bindHost(dc, octet)+":"+controlPort)).Inspect(ctx, &wire.InspectRequest{})
	if err != nil {
		return tiller.Version{}, 0, err
	}

	return tiller.VersionOf(r.GetVersion()), timeoutOf(r.GetItems()), nil
}

// waitForConvergence waits until the version of every node is at least the latest acknowledged one, and records a violation for each node
// that takes longer than convergenceBound.
func (o *operators) waitForConvergence(ctx context.Context) {
	want := o.acknowledged()
	end := time.Now().Add(convergenceBound)

	for i, p := range o.fleet.nodes {
		for {
			v, content, err := o.fleet.inForce(ctx, i)
			if err == nil && !want.NewerThan(v) {
				o.checkContent(p.name, v, content)

				break
			}

			if time.Now().After(end) {
				o.fleet.tally.AddViolation("%s is at version %s %s after the last fault; latest acknowledged is %s (last error: %v)",
					p.name, v, convergenceBound, want, err)

				break
			}

			time.Sleep(pollPause)
		}
	}
}

// checkContent records a violation if the content of a version differs from the acknowledged one.
func (o *operators) checkContent(name string, v tiller.Version, content int64) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if want, known := o.contents[v]; known && want != content {
		o.fleet.tally.AddViolation("%s has content %d for version %s; acknowledged was %d", name, content, v, want)
	}
}
