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
	// pollTimeout gives up on a process that is paused.
	pollTimeout = 500 * time.Millisecond
	// convergenceBound is the target for an accepted configuration to be in force on every node.
	convergenceBound = 16 * time.Second
)

// operators edits the configuration and remembers what was acknowledged.
type operators struct {
	fleet *fleet

	mu sync.Mutex
	// newest is the newest version that was acknowledged to anybody.
	newest tiller.Version
	// contents are the timeouts of the acknowledged versions.
	contents map[tiller.Version]int64
	next     int64
	accepted int
	unknown  int
}

func newOperators(f *fleet) *operators {
	return &operators{fleet: f, contents: map[tiller.Version]int64{}, next: 1000}
}

// run edits until the context ends; several run at once and race.
func (o *operators) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.edit(ctx)
		time.Sleep(editPause)
	}
}

// edit changes the newest version and sends the change until its outcome is known.
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
		o.fleet.tally.Breach("edit: %s", err)

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
		o.fleet.tally.Breach("version %s was acknowledged for two contents, %d and %d", v, other, content)
	}

	o.contents[v] = content
	o.accepted++

	if v.NewerThan(o.newest) {
		o.newest = v
	}
}

// resend sends an accepted edit once more, as an operator does who has lost the answer.
func (o *operators) resend(ctx context.Context, e *wire.Edit, first *wire.ApplyReply) {
	again, err := o.fleet.client.Apply(ctx, e)
	if err != nil || again.GetOutcome() == nil {
		return
	}

	if !again.GetOutcome().GetAccepted() || tiller.VersionOf(again.GetOutcome().GetVersion()) != tiller.VersionOf(first.GetOutcome().GetVersion()) {
		o.fleet.tally.Breach("an accepted edit that was sent again got %v after %v", again.GetOutcome(), first.GetOutcome())
	}
}

func (o *operators) acknowledged() tiller.Version {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.newest
}

// read asks controllers for the newest document until the context ends; a confirmed answer must hold all that was acknowledged.
func (o *operators) read(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}

	for i := 0; ctx.Err() == nil; i++ {
		before := o.acknowledged()
		dc := i%dataCentres + 1
		controller := wire.NewOperatorProtobufClient("http://"+bound(dc, controllerSlot)+":"+controlPort, client)

		r, err := controller.Show(ctx, &wire.ShowRequest{Confirm: true})
		if err == nil && r.GetCurrent() && before.NewerThan(tiller.VersionOf(r.GetVersion())) {
			o.fleet.tally.Breach("controller-%d showed %s as confirmed after %s was acknowledged", dc, tiller.VersionOf(r.GetVersion()), before)
		}

		time.Sleep(pollPause)
	}
}

// watch polls the version in force on each node until the context ends; within one start it never goes back.
func (f *fleet) watch(ctx context.Context) {
	for i, p := range f.nodes {
		f.wait.Go(func() {
			var (
				last  tiller.Version
				start int
			)

			for ; ctx.Err() == nil; time.Sleep(pollPause) {
				before := p.alive()
				v, _, err := f.inForce(ctx, i)

				if err != nil || before == 0 || p.alive() != before {
					continue
				}

				if start == before && last.NewerThan(v) {
					f.tally.Breach("%s went back from %s to %s", p.name, last, v)
				}

				last, start = v, before
			}
		})
	}
}

// inForce returns the version of a node with the content that tells it apart.
func (f *fleet) inForce(ctx context.Context, i int) (tiller.Version, int64, error) {
	dc, slot := place(i)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)

	defer cancel()

	r, err := f.client.Inspector(tiller.Address(bound(dc, slot)+":"+controlPort)).Inspect(ctx, &wire.InspectRequest{})
	if err != nil {
		return tiller.Version{}, 0, err
	}

	return tiller.VersionOf(r.GetVersion()), timeoutOf(r.GetItems()), nil
}

// settle waits until every node holds one version that is not older than all that was acknowledged.
func (o *operators) settle(ctx context.Context) {
	want := o.acknowledged()
	end := time.Now().Add(convergenceBound)

	for i, p := range o.fleet.nodes {
		for {
			v, content, err := o.fleet.inForce(ctx, i)
			if err == nil && !want.NewerThan(v) {
				o.compare(p.name, v, content)

				break
			}

			if time.Now().After(end) {
				o.fleet.tally.Breach("%s holds %s %s after the last fault, acknowledged was %s (%v)", p.name, v, convergenceBound, want, err)

				break
			}

			time.Sleep(pollPause)
		}
	}
}

// compare makes sure that a version holds what was acknowledged under it.
func (o *operators) compare(name string, v tiller.Version, content int64) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if want, known := o.contents[v]; known && want != content {
		o.fleet.tally.Breach("%s holds %d as %s, acknowledged was %d", name, content, v, want)
	}
}
