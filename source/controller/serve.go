package controller

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// join asks the other controllers to add this one until it is a member.
func (c *Core) join() {
	if c.now < c.nextJoinAt {
		return
	}

	c.nextJoinAt = c.now + joinPeriod

	// A member without a known leader may have been removed while it was unreachable.
	if c.log.Cluster() != "" && c.log.Leader() != "" {
		return
	}

	for _, p := range c.joinTargets() {
		c.send(p, &wire.Envelope{Cluster: c.log.Cluster(), Body: &wire.Envelope_Join{Join: &wire.Join{Member: c.member}}})
	}
}

// joinTargets returns the addresses of the configured controllers and of the members in the log.
func (c *Core) joinTargets() []string {
	out := tiller.NewSet[string]()
	for _, p := range c.peers {
		out.Add(string(p))
	}

	for _, m := range c.log.Members() {
		out.Add(m.GetAddress())
	}

	return out.Sorted()
}

func (c *Core) receive(e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Pull:
		c.onPull(e.GetFrom(), b.Pull)
	case *wire.Envelope_DataCentreReport:
		c.onReport(b.DataCentreReport)
	default:
		c.stepLog(replicator.Receive{Envelope: e})
	}
}

func (c *Core) onReport(r *wire.DataCentreReport) {
	if r.GetDataCentre() == "" {
		return
	}

	stored, ok := proto.Clone(r).(*wire.DataCentreReport)
	if !ok {
		return
	}

	stored.At = int64(c.now)
	next := &report{DataCentreReport: stored, stableSince: c.now}

	if old := c.reports[r.GetDataCentre()]; old != nil && slices.Equal(old.GetClaimCandidates(), r.GetClaimCandidates()) {
		next.stableSince = old.stableSince
	}

	c.reports[r.GetDataCentre()] = next
}

func (c *Core) onPull(from string, p *wire.Pull) {
	d := c.store.Answer(p)
	if !c.pullBudget.take(c.now, costOf(d)) {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Busy{Busy: &wire.Busy{RetryAfter: int64(busyRetryAfter)}}})

		return
	}

	c.relays[from] = relay{dataCentre: p.GetDataCentre(), seenAt: c.now}

	if d != nil {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	if p.GetPlacementRevision() < c.state.Placements().GetRevision() {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimPlacements{ClaimPlacements: c.state.Placements()}})
	}

	advertisement := c.advertisement()
	advertisement.Peers = c.discoveryPeers(from)
	c.send(from, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: advertisement}})
}

// discoveryPeers returns a few relays of each data centre, for at most maxIntroducedDataCentres of them, so that nodes without peers discover
// each other.
func (c *Core) discoveryPeers(requester string) []string {
	introduced := map[string]int{}

	var out []string

	for _, address := range sortedKeys(c.relays) {
		r := c.relays[address]
		if address == requester || c.now >= r.seenAt+relayExpiry || introduced[r.dataCentre] >= maxIntroducedPeers ||
			(introduced[r.dataCentre] == 0 && len(introduced) >= maxIntroducedDataCentres) {
			continue
		}

		introduced[r.dataCentre]++
		out = append(out, address)
	}

	return out
}

func costOf(d *wire.Difference) int64 {
	if d.GetWhole() {
		return fullVersionCost
	}

	return pullCost
}

func (c *Core) advertisement() *wire.Offer {
	controllers := make([]string, 0, len(c.log.Members()))
	for _, m := range c.log.Members() {
		controllers = append(controllers, m.GetAddress())
	}

	return &wire.Offer{
		Controllers: controllers,
		Version:     c.store.Version().Wire(), Confirmed: c.HoldsLease(c.now), Leader: string(c.log.Leader()),
		PlacementRevision: c.state.Placements().GetRevision(),
	}
}

// advertiseToRelays advertises a new version to the relays that pulled recently. The leader pushes the latest difference instead
// if it is small, which saves a round trip and reaches relays whose own messages are lost.
func (c *Core) advertiseToRelays() {
	var pushed *wire.Difference
	if c.log.Leader() == tiller.Address(c.member.GetAddress()) {
		pushed = c.store.LatestDifference(subscriber.MaxPushedBytes)
	}

	for _, address := range sortedKeys(c.relays) {
		r := c.relays[address]
		if c.now >= r.seenAt+relayExpiry {
			delete(c.relays, address)

			continue
		}

		r.advertisementsLeft = maxAdvertisements

		if pushed == nil {
			c.advertiseTo(address, r)

			continue
		}

		r.nextAdvertisementAt = c.now + advertisePeriod
		c.relays[address] = r
		c.send(address, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: pushed}})
	}
}

// repeatAdvertisements advertises the latest version again to relays that have not pulled since.
func (c *Core) repeatAdvertisements() {
	for _, address := range sortedKeys(c.relays) {
		if r := c.relays[address]; r.advertisementsLeft > 0 && c.now >= r.nextAdvertisementAt {
			c.advertiseTo(address, r)
		}
	}
}

func (c *Core) advertiseTo(address string, r relay) {
	r.advertisementsLeft--
	r.nextAdvertisementAt = c.now + advertisePeriod
	c.relays[address] = r
	c.send(address, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.advertisement()}})
}
