package main

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/standin"
)

// shiftTraffic takes a worker out of use by an exception and checks that calls go elsewhere.
func (t *tour) shiftTraffic(ctx context.Context) error {
	worker := tiller.Worker(t.fleet.Plan().ShiftWorker)

	time.Sleep(settleTime)

	if t.fleet.Ledger().Received(worker) == 0 {
		return eris.Errorf("%s received no calls before the edit", worker)
	}

	if err := t.edit(ctx, "take "+string(worker)+" out of use", func(d *tiller.DocumentSpec) {
		d.Exceptions = append(d.Exceptions, tiller.ExceptionSpec{
			Name: "out-of-use", Scope: tiller.ScopeSpec{Worker: string(worker)}, Setting: tiller.SettingTrafficPercent.String(),
			Value: 0, Reason: "its disk is replaced this afternoon",
		})
	}); err != nil {
		return err
	}

	before := t.settledCalls(worker)

	time.Sleep(settleTime)

	after := t.fleet.Ledger().Received(worker)
	t.say("shift        %s received %d calls in %s after the edit", worker, after-before, settleTime)

	if after != before {
		t.tally.Breach("%s received %d calls although the exception takes it out of use", worker, after-before)
	}

	return t.edit(ctx, "put "+string(worker)+" back", func(d *tiller.DocumentSpec) {
		d.Exceptions = slices.DeleteFunc(d.Exceptions, func(e tiller.ExceptionSpec) bool { return e.Name == "out-of-use" })
	})
}

// settledCalls returns how many calls a worker has received once those in flight have ended.
func (t *tour) settledCalls(w tiller.Worker) int {
	time.Sleep(settleTime / 4)

	return t.fleet.Ledger().Received(w)
}

func (t *tour) drainWorker(context.Context) error {
	worker := tiller.Worker(t.fleet.Plan().DrainWorker)
	t.fleet.Backend(string(worker)).Drain()
	time.Sleep(drainBound)

	before := t.fleet.Ledger().Received(worker)

	time.Sleep(settleTime)

	late := t.fleet.Ledger().Received(worker) - before
	t.say("drain        %s received %d calls later than %s after it began to drain", worker, late, drainBound)

	if late != 0 {
		t.tally.Breach("%s received %d calls while draining", worker, late)
	}

	return nil
}

// crashingRequest sends a request that kills each server that runs it, again and again.
func (t *tour) crashingRequest(context.Context) error {
	crashes := func() int64 {
		total := int64(0)
		for _, w := range t.fleet.Plan().Workers {
			total += t.fleet.Backend(w.Name).Crashes()
		}

		return total
	}

	before := crashes()
	last := ""

	for range crashResends {
		last = t.sendCrash()
		time.Sleep(settleTime)
	}

	t.say("crash        a crashing request sent %d times killed %d servers and ended as %s", crashResends, crashes()-before, last)

	if crashes()-before > crashBound {
		t.tally.Breach("a crashing request killed %d servers", crashes()-before)
	}

	if last != tiller.ReasonQuarantined.String() {
		t.tally.Breach("a crashing request was not refused but ended as %q", last)
	}

	return nil
}

// restartNode stops a node gracefully, starts it again and waits until it holds the version in force.
func (t *tour) restartNode(ctx context.Context) error {
	w := t.fleet.Plan().Workers[len(t.fleet.Plan().Workers)-1]
	t.callers.Aim(t.targetsWithout(w.Name))
	time.Sleep(settleTime / 2)

	node := t.fleet.Nodes()[w.Name]
	version := node.Server().Version()

	if err := node.Stop(); err != nil {
		return err
	}

	t.mu.Lock()
	delete(t.versions, w.Name)
	err := t.fleet.StartNode(ctx, w)
	t.mu.Unlock()

	if err != nil {
		return err
	}

	began := time.Now()
	caughtUp := func() bool { return !version.NewerThan(t.fleet.Nodes()[w.Name].Server().Version()) }

	if err := t.until(convergenceBound, w.Name+" catches up", caughtUp); err != nil {
		return err
	}

	t.say("restart      node of %s stopped gracefully and held %s again after %d ms", w.Name, version, time.Since(began).Milliseconds())
	time.Sleep(settleTime)
	t.callers.Aim(t.fleet.Targets())

	return nil
}

func (t *tour) targetsWithout(worker string) []standin.Target {
	address := t.fleet.Nodes()[worker].Server().CallAddress()

	return slices.DeleteFunc(t.fleet.Targets(), func(o standin.Target) bool { return o.Address == address })
}

func lengthenQueue(d *tiller.DocumentSpec) { d.Defaults[tiller.SettingQueueLength.String()]++ }

// loseLeader kills the leading controller, edits through the others and brings it back.
func (t *tour) loseLeader(ctx context.Context) error {
	i := slices.IndexFunc(t.fleet.Controllers(), func(c *assembler.Controller) bool { return c.Server().Status().GetCurrent() })
	if i < 0 {
		return eris.New("no controller leads")
	}

	began := time.Now()
	if err := t.fleet.Controllers()[i].Kill(); err != nil {
		return err
	}

	if err := t.until(readyBound, "another controller leads", func() bool {
		return slices.ContainsFunc(t.fleet.Controllers(), func(c *assembler.Controller) bool {
			return c != t.fleet.Controllers()[i] && c.Server().Status().GetCurrent()
		})
	}); err != nil {
		return err
	}

	t.say("failover     another controller led %d ms after the leader was killed", time.Since(began).Milliseconds())

	if err := t.edit(ctx, "edit after the leader's death", lengthenQueue); err != nil {
		return err
	}

	return t.fleet.StartController(ctx, i)
}

// cutDataCentre cuts one data centre off, edits outside, checks that both sides serve, and heals.
func (t *tour) cutDataCentre(ctx context.Context) error {
	dc := t.fleet.Plan().CutDataCentre
	inside := func() int {
		total := 0

		for _, w := range t.fleet.Plan().Workers {
			if w.DataCentre == dc {
				total += t.fleet.Ledger().Received(tiller.Worker(w.Name))
			}
		}

		return total
	}

	t.fleet.Cut(dc)
	time.Sleep(settleTime)

	before := inside()
	err := t.edit(ctx, "edit while "+dc+" is cut off", lengthenQueue)

	time.Sleep(cutTime)

	served := inside() - before

	t.fleet.Cut("")

	if err != nil {
		return err
	}

	began := time.Now()

	shown, err := t.client.Show(ctx)
	if err != nil {
		return err
	}

	version := tiller.VersionOf(shown.GetVersion())
	if err := t.until(convergenceBound, dc+" converges after the cut", func() bool { return t.fleet.InForce(version) }); err != nil {
		return err
	}

	t.say("cut          %s served %d calls by itself and held %s %d ms after the cut healed", dc, served, version, time.Since(began).Milliseconds())

	if served == 0 {
		t.tally.Breach("%s served nothing while it was cut off", dc)
	}

	time.Sleep(settleTime)

	return nil
}
