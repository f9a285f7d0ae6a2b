package main

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/assembler"
	"gitlab.com/sycamoretiller/sycamoretiller/fleet/standin"
)

// shiftTraffic takes a worker out of use by an exception and checks that calls go elsewhere.
func (s *scenario) shiftTraffic(ctx context.Context) error {
	worker := tiller.Worker(s.fleet.Plan().ShiftWorker)

	time.Sleep(settleTime)

	if s.fleet.Ledger().Received(worker) == 0 {
		return eris.Errorf("%s received no calls before the edit", worker)
	}

	if err := s.edit(ctx, "take "+string(worker)+" out of use", func(d *tiller.DocumentSpec) {
		d.Exceptions = append(d.Exceptions, tiller.ExceptionSpec{
			Name: "out-of-use", Scope: tiller.ScopeSpec{Worker: string(worker)}, Setting: tiller.SettingTrafficPercent.String(),
			Value: 0, Reason: "its disk is replaced this afternoon",
		})
	}); err != nil {
		return err
	}

	before := s.settledCalls(worker)

	time.Sleep(settleTime)

	after := s.fleet.Ledger().Received(worker)
	s.say("shift        %s received %d calls in %s after the edit", worker, after-before, settleTime)

	if after != before {
		s.tally.Breach("%s received %d calls although the exception takes it out of use", worker, after-before)
	}

	return s.edit(ctx, "put "+string(worker)+" back", func(d *tiller.DocumentSpec) {
		d.Exceptions = slices.DeleteFunc(d.Exceptions, func(e tiller.ExceptionSpec) bool { return e.Name == "out-of-use" })
	})
}

// settledCalls returns how many calls a worker has received once those in flight have ended.
func (s *scenario) settledCalls(w tiller.Worker) int {
	time.Sleep(settleTime / 4)

	return s.fleet.Ledger().Received(w)
}

func (s *scenario) drainWorker(context.Context) error {
	worker := tiller.Worker(s.fleet.Plan().DrainWorker)
	s.fleet.Backend(string(worker)).Drain()
	time.Sleep(drainBound)

	before := s.fleet.Ledger().Received(worker)

	time.Sleep(settleTime)

	late := s.fleet.Ledger().Received(worker) - before
	s.say("drain        %s received %d calls later than %s after it began to drain", worker, late, drainBound)

	if late != 0 {
		s.tally.Breach("%s received %d calls while draining", worker, late)
	}

	return nil
}

// crashingRequest sends a request that kills each server that runs it, again and again.
func (s *scenario) crashingRequest(context.Context) error {
	crashes := func() int64 {
		total := int64(0)
		for _, w := range s.fleet.Plan().Workers {
			total += s.fleet.Backend(w.Name).Crashes()
		}

		return total
	}

	before := crashes()
	last := ""

	for range crashResends {
		last = s.sendCrash()
		time.Sleep(settleTime)
	}

	s.say("crash        a crashing request sent %d times killed %d servers and ended as %s", crashResends, crashes()-before, last)

	if crashes()-before > crashBound {
		s.tally.Breach("a crashing request killed %d servers", crashes()-before)
	}

	if last != tiller.ReasonQuarantined.String() {
		s.tally.Breach("a crashing request was not refused but ended as %q", last)
	}

	return nil
}

// restartNode stops a node gracefully, starts it again and waits until it holds the version in force.
func (s *scenario) restartNode(ctx context.Context) error {
	w := s.fleet.Plan().Workers[len(s.fleet.Plan().Workers)-1]
	s.callers.Aim(s.targetsWithout(w.Name))
	time.Sleep(settleTime / 2)

	node := s.fleet.Nodes()[w.Name]
	version := node.Server().Version()

	if err := node.Stop(); err != nil {
		return err
	}

	s.mu.Lock()
	delete(s.versions, w.Name)
	err := s.fleet.StartNode(ctx, w)
	s.mu.Unlock()

	if err != nil {
		return err
	}

	began := time.Now()
	caughtUp := func() bool { return !version.NewerThan(s.fleet.Nodes()[w.Name].Server().Version()) }

	if err := s.until(convergenceBound, w.Name+" catches up", caughtUp); err != nil {
		return err
	}

	s.say("restart      node of %s stopped gracefully and held %s again after %d ms", w.Name, version, time.Since(began).Milliseconds())
	time.Sleep(settleTime)
	s.callers.Aim(s.fleet.Targets())

	return nil
}

func (s *scenario) targetsWithout(worker string) []standin.Target {
	address := s.fleet.Nodes()[worker].Server().CallAddress()

	return slices.DeleteFunc(s.fleet.Targets(), func(o standin.Target) bool { return o.Address == address })
}

func lengthenQueue(d *tiller.DocumentSpec) { d.Defaults[tiller.SettingQueueLength.String()]++ }

// loseLeader kills the leading controller, edits through the others and brings it back.
func (s *scenario) loseLeader(ctx context.Context) error {
	i := slices.IndexFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool { return c.Server().Status().GetCurrent() })
	if i < 0 {
		return eris.New("no controller leads")
	}

	began := time.Now()
	if err := s.fleet.Controllers()[i].Kill(); err != nil {
		return err
	}

	if err := s.until(readyBound, "another controller leads", func() bool {
		return slices.ContainsFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool {
			return c != s.fleet.Controllers()[i] && c.Server().Status().GetCurrent()
		})
	}); err != nil {
		return err
	}

	s.say("failover     another controller led %d ms after the leader was killed", time.Since(began).Milliseconds())

	if err := s.edit(ctx, "edit after the leader's death", lengthenQueue); err != nil {
		return err
	}

	return s.fleet.StartController(ctx, i)
}

// cutDataCentre cuts one data centre off, edits outside, checks that both sides serve, and heals.
func (s *scenario) cutDataCentre(ctx context.Context) error {
	dc := s.fleet.Plan().CutDataCentre
	inside := func() int {
		total := 0

		for _, w := range s.fleet.Plan().Workers {
			if w.DataCentre == dc {
				total += s.fleet.Ledger().Received(tiller.Worker(w.Name))
			}
		}

		return total
	}

	s.fleet.Cut(dc)
	time.Sleep(settleTime)

	before := inside()
	err := s.edit(ctx, "edit while "+dc+" is cut off", lengthenQueue)

	time.Sleep(cutTime)

	served := inside() - before

	s.fleet.Cut("")

	if err != nil {
		return err
	}

	began := time.Now()

	shown, err := s.client.Show(ctx)
	if err != nil {
		return err
	}

	version := tiller.VersionOf(shown.GetVersion())
	if err := s.until(convergenceBound, dc+" converges after the cut", func() bool { return s.fleet.InForce(version) }); err != nil {
		return err
	}

	s.say("cut          %s served %d calls by itself and held %s %d ms after the cut healed", dc, served, version, time.Since(began).Milliseconds())

	if served == 0 {
		s.tally.Breach("%s served nothing while it was cut off", dc)
	}

	time.Sleep(settleTime)

	return nil
}
