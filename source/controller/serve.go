package controller

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// join asks the other controllers to take in this one until it is a member.
func (c *Core) join() {
	if c.now < c.joinAt {
		return
	}

	c.joinAt = c.now + joinPeriod

	// A member that hears no leader may have been removed while it was away.
	if c.log.Cluster() != "" && c.log.Leader() != "" {
		return
	}

	for _, p := range c.joinTargets() {
		c.send(p, &wire.Envelope{Cluster: c.log.Cluster(), Body: &wire.Envelope_Join{Join: &wire.Join{Member: c.member}}})
	}
}

// joinTargets returns the configured controllers and those of the log.
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
		c.run(replicator.Receive{Envelope: e})
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
	d := c.holder.Answer(p)
	if !c.bucket.take(c.now, costOf(d)) {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Busy{Busy: &wire.Busy{RetryAfter: int64(busyRetry)}}})

		return
	}

	c.relays[from] = relay{dataCentre: p.GetDataCentre(), seenAt: c.now}

	if d != nil {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: d}})
	}

	if p.GetPlacementRevision() < c.state.Placements().GetRevision() {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_ClaimPlacements{ClaimPlacements: c.state.Placements()}})
	}

	offer := c.offer()
	offer.Peers = c.introductions(from)
	c.send(from, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: offer}})
}

// introductions returns a few relays of every data centre, so that nodes that know nobody find each other.
func (c *Core) introductions(asker string) []string {
	told := map[string]int{}

	var out []string

	for _, address := range sortedKeys(c.relays) {
		r := c.relays[address]
		if address == asker || c.now >= r.seenAt+relayMemory || told[r.dataCentre] >= maxPeersTold ||
			(told[r.dataCentre] == 0 && len(told) >= maxDataCentresTold) {
			continue
		}

		told[r.dataCentre]++
		out = append(out, address)
	}

	return out
}

func costOf(d *wire.Difference) int64 {
	if d.GetWhole() {
		return wholeCost
	}

	return pullCost
}

func (c *Core) offer() *wire.Offer {
	controllers := make([]string, 0, len(c.log.Members()))
	for _, m := range c.log.Members() {
		controllers = append(controllers, m.GetAddress())
	}

	return &wire.Offer{
		Controllers: controllers,
		Version:     c.holder.Version().Wire(), Confirmed: c.Current(c.now), Leader: string(c.log.Leader()),
		PlacementRevision: c.state.Placements().GetRevision(),
	}
}

// offerRelays tells the relays that pulled lately of a new version. The leader sends them the last changes where they are small, which saves
// a round trip and reaches relays whose own messages are lost.
func (c *Core) offerRelays() {
	var pushed *wire.Difference
	if c.log.Leader() == tiller.Address(c.member.GetAddress()) {
		pushed = c.holder.Latest(subscriber.MaxPushedBytes)
	}

	for _, address := range sortedKeys(c.relays) {
		r := c.relays[address]
		if c.now >= r.seenAt+relayMemory {
			delete(c.relays, address)

			continue
		}

		r.offers = maxOffers

		if pushed == nil {
			c.offerTo(address, r)

			continue
		}

		r.offerAt = c.now + offerPeriod
		c.relays[address] = r
		c.send(address, &wire.Envelope{Body: &wire.Envelope_Difference{Difference: pushed}})
	}
}

// repeatOffers offers the newest version again to relays that have not pulled since.
func (c *Core) repeatOffers() {
	for _, address := range sortedKeys(c.relays) {
		if r := c.relays[address]; r.offers > 0 && c.now >= r.offerAt {
			c.offerTo(address, r)
		}
	}
}

func (c *Core) offerTo(address string, r relay) {
	r.offers--
	r.offerAt = c.now + offerPeriod
	c.relays[address] = r
	c.send(address, &wire.Envelope{Body: &wire.Envelope_Offer{Offer: c.offer()}})
}
