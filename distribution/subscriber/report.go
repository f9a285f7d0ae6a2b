package subscriber

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// report tells the lowest-ranked node which version is in force here.
func (c *Core) report() {
	c.reportAt = c.now + reportPeriod

	r := &wire.Report{
		Node: c.name, Version: c.holder.Version().Wire(), Refused: c.refused.Wire(), Confirmed: c.Confirmed(), ClaimEpoch: c.claimEpoch,
	}
	c.reports[c.name] = reported{version: c.holder.Version(), at: c.now, claimEpoch: c.claimEpoch}

	for _, e := range c.view.Peers[:min(RelaysPerDataCentre, len(c.view.Peers))] {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Report{Report: r}})
	}
}

// summarize sends the controllers one report for the whole data centre.
func (c *Core) summarize() {
	c.summaryAt = c.now + pullPeriod
	r := c.Summary()

	for _, to := range c.controllers {
		c.send(to, &wire.Envelope{Body: &wire.Envelope_DataCentreReport{DataCentreReport: r}})
	}
}

// Summary aggregates the reports of the data centre.
func (c *Core) Summary() *wire.DataCentreReport {
	r := &wire.DataCentreReport{
		DataCentre: string(c.dataCentre), Nodes: uint32(len(c.view.Peers)), Unreachable: uint32(c.view.Unreachable), Reporter: c.name,
	}

	for _, e := range c.view.Peers {
		c.account(r, e)
	}

	return r
}

func (c *Core) account(r *wire.DataCentreReport, e *wire.NodeEntry) {
	if len(r.GetClaimCandidates()) < maxCandidates {
		r.ClaimCandidates = append(r.ClaimCandidates, claimer.Identity(e.GetName(), e.GetIncarnation(), tiller.Address(e.GetAddress())))
	}

	said, ok := c.reports[e.GetName()]
	if !ok || c.now >= said.at+reportTimeout {
		addLaggard(r, e.GetName()+": no report")

		return
	}

	r.ClaimEpoch = max(r.GetClaimEpoch(), said.claimEpoch)
	countVersion(r, said.version)

	if c.holder.Version().NewerThan(said.version) {
		addLaggard(r, e.GetName()+": "+said.version.String())
	}
}

func addLaggard(r *wire.DataCentreReport, text string) {
	if len(r.GetLaggards()) < maxLaggards {
		r.Laggards = append(r.Laggards, text)
	}
}

func countVersion(r *wire.DataCentreReport, v tiller.Version) {
	i := slices.IndexFunc(r.GetCounts(), func(n *wire.VersionCount) bool { return tiller.VersionOf(n.GetVersion()) == v })
	if i >= 0 {
		r.Counts[i].Nodes++
	} else if len(r.GetCounts()) < maxVersionKinds {
		r.Counts = append(r.Counts, &wire.VersionCount{Version: v.Wire(), Nodes: 1})
	}
}
