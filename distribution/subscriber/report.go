package subscriber

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/claimer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// sendReport reports the version in force to the relays; the lowest-ranked one summarizes the reports for the controllers.
func (c *Core) sendReport() {
	c.reportAt = c.now + reportPeriod

	r := &wire.Report{
		Node: c.name, Version: c.store.Version().Wire(), Refused: c.rejected.Wire(), Confirmed: c.Confirmed(), ClaimEpoch: c.claimEpoch,
	}
	c.reports[c.name] = nodeReport{version: c.store.Version(), at: c.now, claimEpoch: c.claimEpoch}

	for _, e := range c.view.Peers[:min(RelaysPerDataCentre, len(c.view.Peers))] {
		c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_Report{Report: r}})
	}
}

// sendSummary sends the controllers one report for the data centre.
func (c *Core) sendSummary() {
	c.summaryAt = c.now + pullPeriod
	r := c.Summary()

	for _, to := range c.controllers {
		c.send(to, &wire.Envelope{Body: &wire.Envelope_DataCentreReport{DataCentreReport: r}})
	}
}

// Summary aggregates the latest reports of the data centre's nodes. Nodes with an older version than this one, or without a recent
// report, are listed as laggards.
func (c *Core) Summary() *wire.DataCentreReport {
	r := &wire.DataCentreReport{
		DataCentre: string(c.dataCentre), Nodes: uint32(len(c.view.Peers)), Unreachable: uint32(c.view.Unreachable), Reporter: c.name,
	}

	for _, e := range c.view.Peers {
		c.addToSummary(r, e)
	}

	return r
}

// addToSummary adds one node and its latest report to the summary.
func (c *Core) addToSummary(r *wire.DataCentreReport, e *wire.NodeEntry) {
	if len(r.GetClaimCandidates()) < maxClaimCandidates {
		r.ClaimCandidates = append(r.ClaimCandidates, claimer.Identity(e.GetName(), e.GetIncarnation(), tiller.Address(e.GetAddress())))
	}

	latest, ok := c.reports[e.GetName()]
	if !ok || c.now >= latest.at+reportTimeout {
		addLaggard(r, e.GetName()+": no report")

		return
	}

	r.ClaimEpoch = max(r.GetClaimEpoch(), latest.claimEpoch)
	countVersion(r, latest.version)

	if c.store.Version().NewerThan(latest.version) {
		addLaggard(r, e.GetName()+": "+latest.version.String())
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
	} else if len(r.GetCounts()) < maxVersionCounts {
		r.Counts = append(r.Counts, &wire.VersionCount{Version: v.Wire(), Nodes: 1})
	}
}
