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

// shiftTraffic takes a worker out of use with an exception and checks that it receives no more calls.
func (s *scenario) shiftTraffic(ctx context.Context) error {
	worker := tiller.Worker(s.fleet.Plan().ShiftedWorker)

	time.Sleep(settleTime)

	if s.fleet.RunLog().Received(worker) == 0 {
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

	after := s.fleet.RunLog().Received(worker)
	s.printf("shift        %s received %d calls in %s after the edit", worker, after-before, settleTime)

	if after != before {
		s.tally.AddViolation("%s received %d calls although the exception takes it out of use", worker, after-before)
	}

	return s.edit(ctx, "put "+string(worker)+" back", func(d *tiller.DocumentSpec) {
		d.Exceptions = slices.DeleteFunc(d.Exceptions, func(e tiller.ExceptionSpec) bool { return e.Name == "out-of-use" })
	})
}

// settledCalls returns how many calls a worker has received, after a wait for the calls in flight.
func (s *scenario) settledCalls(w tiller.Worker) int {
	time.Sleep(settleTime / 4)

	return s.fleet.RunLog().Received(w)
}

// drainWorker drains a worker and checks that it receives no calls once drainBound has passed.
func (s *scenario) drainWorker(context.Context) error {
	worker := tiller.Worker(s.fleet.Plan().DrainedWorker)
	s.fleet.Backend(string(worker)).Drain()
	time.Sleep(drainBound)

	before := s.fleet.RunLog().Received(worker)

	time.Sleep(settleTime)

	lateCalls := s.fleet.RunLog().Received(worker) - before
	s.printf("drain        %s received %d calls later than %s after it began to drain", worker, lateCalls, drainBound)

	if lateCalls != 0 {
		s.tally.AddViolation("%s received %d calls while draining", worker, lateCalls)
	}

	return nil
}

// repeatCrashingRequest repeats a request that crashes every backend server that runs it, and checks that the request is quarantined
// before it has crashed more than crashBound servers.
func (s *scenario) repeatCrashingRequest(context.Context) error {
	crashes := func() int64 {
		total := int64(0)
		for _, w := range s.fleet.Plan().Workers {
			total += s.fleet.Backend(w.Name).Crashes()
		}

		return total
	}

	before := crashes()
	last := ""

	for range crashAttempts {
		last = s.sendCrash()
		time.Sleep(settleTime)
	}

	s.printf("crash        a crashing request sent %d times killed %d servers and ended as %s", crashAttempts, crashes()-before, last)

	if crashes()-before > crashBound {
		s.tally.AddViolation("a crashing request killed %d servers", crashes()-before)
	}

	if last != tiller.ReasonQuarantined.String() {
		s.tally.AddViolation("a crashing request was not refused but ended as %q", last)
	}

	return nil
}

// restartNode stops a node gracefully, starts it again and waits until it has caught up with the version that it had before.
func (s *scenario) restartNode(ctx context.Context) error {
	w := s.fleet.Plan().Workers[len(s.fleet.Plan().Workers)-1]
	s.callers.SetTargets(s.targetsWithout(w.Name))
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

	if err := s.waitUntil(convergenceBound, w.Name+" catches up", caughtUp); err != nil {
		return err
	}

	s.printf("restart      node of %s stopped gracefully and held %s again after %d ms", w.Name, version, time.Since(began).Milliseconds())
	time.Sleep(settleTime)
	s.callers.SetTargets(s.fleet.Targets())

	return nil
}

func (s *scenario) targetsWithout(worker string) []standin.Target {
	address := s.fleet.Nodes()[worker].Server().CallAddress()

	return slices.DeleteFunc(s.fleet.Targets(), func(t standin.Target) bool { return t.Address == address })
}

// lengthenQueue is a harmless change that makes a new version.
func lengthenQueue(d *tiller.DocumentSpec) { d.Defaults[tiller.SettingQueueLength.String()]++ }

// killLeader kills the leader, checks that another controller takes over and accepts an edit, and starts the killed controller again.
func (s *scenario) killLeader(ctx context.Context) error {
	i := slices.IndexFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool { return c.Server().Status().GetCurrent() })
	if i < 0 {
		return eris.New("no controller leads")
	}

	began := time.Now()
	if err := s.fleet.Controllers()[i].Kill(); err != nil {
		return err
	}

	if err := s.waitUntil(readyTimeout, "another controller leads", func() bool {
		return slices.ContainsFunc(s.fleet.Controllers(), func(c *assembler.Controller) bool {
			return c != s.fleet.Controllers()[i] && c.Server().Status().GetCurrent()
		})
	}); err != nil {
		return err
	}

	s.printf("failover     another controller led %d ms after the leader was killed", time.Since(began).Milliseconds())

	if err := s.edit(ctx, "edit after the leader's death", lengthenQueue); err != nil {
		return err
	}

	return s.fleet.StartController(ctx, i)
}

// partitionDataCentre separates one data centre from the others, applies an edit outside, checks that the separated data centre still
// serves calls, heals the partition and waits until the data centre converges.
func (s *scenario) partitionDataCentre(ctx context.Context) error {
	dc := s.fleet.Plan().PartitionedDataCentre
	inside := func() int {
		total := 0

		for _, w := range s.fleet.Plan().Workers {
			if w.DataCentre == dc {
				total += s.fleet.RunLog().Received(tiller.Worker(w.Name))
			}
		}

		return total
	}

	s.fleet.Partition(dc)
	time.Sleep(settleTime)

	before := inside()
	err := s.edit(ctx, "edit while "+dc+" is cut off", lengthenQueue)

	time.Sleep(partitionTime)

	served := inside() - before

	s.fleet.Partition("")

	if err != nil {
		return err
	}

	began := time.Now()

	shown, err := s.client.Show(ctx)
	if err != nil {
		return err
	}

	version := tiller.VersionOf(shown.GetVersion())
	if err := s.waitUntil(convergenceBound, dc+" converges after the cut", func() bool { return s.fleet.InForce(version) }); err != nil {
		return err
	}

	s.printf("cut          %s served %d calls by itself and held %s %d ms after the cut healed", dc, served, version, time.Since(began).Milliseconds())

	if served == 0 {
		s.tally.AddViolation("%s served nothing while it was cut off", dc)
	}

	time.Sleep(settleTime)

	return nil
}
