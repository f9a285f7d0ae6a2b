package detector

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// probeNext probes the next node of a shuffled pass over the data centre.
func (c *Core) probeNext() {
	for len(c.probeOrder) > 0 {
		name := c.probeOrder[0]
		c.probeOrder = c.probeOrder[1:]

		if e := c.table.entry(name); e != nil && !gone(e) {
			c.probing = probe{nonce: c.random.Uint64() | 1, target: name, sentAt: c.now, active: true}
			c.sendProbe(e.GetAddress(), c.probing.nonce, name, "")

			return
		}
	}

	for _, e := range c.sample(c.localPeers(), len(c.table.records)) {
		c.probeOrder = append(c.probeOrder, e.GetName())
	}
}

// checkProbe asks peers to probe an unresponsive node and suspects the node if they do not reach it either.
func (c *Core) checkProbe() {
	p := &c.probing
	if !p.active {
		return
	}

	if !p.indirect && c.now >= p.sentAt+DirectTimeout {
		p.indirect = true
		c.probeIndirectly(p)
	}

	if c.now >= p.sentAt+ProbePeriod-DirectTimeout/3 {
		p.active = false
		c.suspect(p.target)
	}
}

// probeIndirectly asks peers to probe an unresponsive node, and probes it again over a stream, which only waits on a saturated link
// where a datagram is dropped. That probe carries the node's entry, so that the node can refute a suspicion.
func (c *Core) probeIndirectly(p *probe) {
	if target := c.table.entry(p.target); target != nil {
		e := c.newProbe(p.nonce, p.target, "")
		e.Entries = append(e.Entries, target)
		c.send(target.GetAddress(), &wire.Envelope{Stream: true, Body: &wire.Envelope_Probe{Probe: e}})
	}

	helpers := slices.DeleteFunc(c.localPeers(), func(e *wire.NodeEntry) bool { return e.GetName() == p.target })
	for _, h := range c.sample(helpers, indirectProbes) {
		c.sendProbe(h.GetAddress(), p.nonce, p.target, c.self.GetAddress())
	}
}

func (c *Core) suspect(name string) {
	e := c.table.entry(name)
	if e.GetLiveness() != wire.Liveness_LIVENESS_ALIVE || e == nil {
		return
	}

	c.put(withLiveness(e, wire.Liveness_LIVENESS_SUSPECT))
	c.emit(tiller.EventSuspected, name+" does not answer probes", tiller.WithCause(name))
}

// expire declares suspects dead and removes expired tombstones and relayed probes.
func (c *Core) expire() {
	for _, e := range c.Entries() {
		r := c.table.records[e.GetName()]
		c.remind(e)

		switch {
		case e.GetName() == c.self.GetName():
		case gone(e) && c.now >= r.changedAt+TombstoneLifetime:
			c.table.remove(e.GetName())
			c.out.Changed = true
		case e.GetLiveness() == wire.Liveness_LIVENESS_SUSPECT && e.GetDataCentre() == c.self.GetDataCentre() &&
			c.now >= r.changedAt+SuspicionTimeout:
			c.put(withLiveness(e, wire.Liveness_LIVENESS_DEAD))
			c.emit(tiller.EventDied, e.GetName()+" did not refute the suspicion", tiller.WithCause(e.GetName()))
		}
	}

	for nonce, r := range c.relayed {
		if c.now >= r.at+ProbePeriod {
			delete(c.relayed, nonce)
		}
	}
}

// probeSeed probes a configured address, which heals a partition after which each side has declared the other dead.
func (c *Core) probeSeed() {
	if len(c.seeds) > 0 {
		seed := c.seeds[c.random.IntN(len(c.seeds))]
		c.sendProbe(string(seed), 0, "", "")
	}
}

// probeRemote exchanges table digests with a node of another data centre.
func (c *Core) probeRemote() {
	remote := c.remoteDataCentres()
	if len(remote) == 0 {
		return
	}

	dc := remote[c.random.IntN(len(remote))]
	nodes := slices.DeleteFunc(c.table.inDataCentre(dc), gone)

	for _, e := range c.sample(nodes, 1) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// probeDead probes a node that was declared dead, in case a partition has healed.
func (c *Core) probeDead() {
	dead := slices.DeleteFunc(c.Entries(), func(e *wire.NodeEntry) bool {
		return e.GetLiveness() != wire.Liveness_LIVENESS_DEAD
	})
	for _, e := range c.sample(dead, 1) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// gossip sends changed entries to a few peers without waiting for the next probe.
func (c *Core) gossip() {
	c.gossipPending = false

	for _, e := range c.sample(c.localPeers(), gossipFanOut) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}

	if c.SelfRank() < relaysPerDataCentre {
		c.gossipRemote()
	}
}

// gossipRemote sends changed entries to one node of every other data centre.
func (c *Core) gossipRemote() {
	for _, dc := range c.remoteDataCentres() {
		nodes := slices.DeleteFunc(c.table.inDataCentre(dc), gone)
		for _, e := range c.sample(nodes, 1) {
			c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
		}
	}
}

// sendProbe asks for an acknowledgement; a probe with a zero nonce only carries entries and digests.
func (c *Core) sendProbe(to string, nonce uint64, target, onBehalf string) {
	c.send(to, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: c.newProbe(nonce, target, onBehalf)}})
}

func (c *Core) newProbe(nonce uint64, target, onBehalf string) *wire.Probe {
	return &wire.Probe{
		Nonce: nonce, Target: target, OnBehalfOf: onBehalf, Entries: c.piggyback(), Digests: c.sampleDigests(), Offer: c.advertisement,
	}
}

// piggyback returns the node's own entry and the least transmitted entries of the gossip queue, and removes from the queue what has
// been transmitted often enough.
func (c *Core) piggyback() []*wire.NodeEntry {
	out := []*wire.NodeEntry{c.self}
	keep := c.gossipQueue[:0:0]

	for _, name := range c.gossipQueue {
		r := c.table.records[name]
		if r == nil {
			continue
		}

		if len(out) <= maxPiggyback && name != c.self.GetName() {
			out = append(out, r.entry)
			r.transmissions++
		}

		if name == c.self.GetName() {
			r.transmissions++
		}

		if r.transmissions < maxTransmissions {
			keep = append(keep, name)
		}
	}

	slices.SortStableFunc(keep, func(a, b string) int { return c.table.records[a].transmissions - c.table.records[b].transmissions })
	c.gossipQueue = keep

	return out
}

// remoteDataCentres returns the other data centres of which entries are known, ordered by name.
func (c *Core) remoteDataCentres() []string {
	return slices.DeleteFunc(c.table.dataCentres(), func(dc string) bool { return dc == c.self.GetDataCentre() })
}

// sampleDigests returns the digests of the tables of the node's own data centre and of a random other one.
func (c *Core) sampleDigests() []*wire.TableDigest {
	own := c.self.GetDataCentre()
	out := []*wire.TableDigest{{DataCentre: own, Hash: c.table.digests[own]}}

	if remote := c.remoteDataCentres(); len(remote) > 0 {
		dc := remote[c.random.IntN(len(remote))]
		out = append(out, &wire.TableDigest{DataCentre: dc, Hash: c.table.digests[dc]})
	}

	return out
}
