package detector

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// probeNext probes the next node of a shuffled round over the data centre.
func (c *Core) probeNext() {
	for len(c.order) > 0 {
		name := c.order[0]
		c.order = c.order[1:]

		if e := c.table.entry(name); e != nil && !gone(e) {
			c.probing = probe{nonce: c.random.Uint64() | 1, target: name, sentAt: c.now, active: true}
			c.sendProbe(e.GetAddress(), c.probing.nonce, name, "")

			return
		}
	}

	for _, e := range c.sample(c.localAlive(), len(c.table.records)) {
		c.order = append(c.order, e.GetName())
	}
}

// checkProbe asks others to probe a silent node and suspects it when they do not reach it either.
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

// probeIndirectly asks others to probe a silent node, and probes it over a stream: on a full link a datagram is dropped where a stream
// only waits. The node is told what is said of it, so that it can refute.
func (c *Core) probeIndirectly(p *probe) {
	if target := c.table.entry(p.target); target != nil {
		e := c.newProbe(p.nonce, p.target, "")
		e.Entries = append(e.Entries, target)
		c.send(target.GetAddress(), &wire.Envelope{Stream: true, Body: &wire.Envelope_Probe{Probe: e}})
	}

	helpers := slices.DeleteFunc(c.localAlive(), func(e *wire.NodeEntry) bool { return e.GetName() == p.target })
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

// expire declares suspects dead and forgets old tombstones.
func (c *Core) expire() {
	for _, e := range c.Entries() {
		r := c.table.records[e.GetName()]

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

// probeSeed contacts a configured address, which heals a split in which both sides gave up on each other.
func (c *Core) probeSeed() {
	if len(c.seeds) > 0 {
		seed := c.seeds[c.random.IntN(len(c.seeds))]
		c.sendProbe(string(seed), 0, "", "")
	}
}

// probeRemote exchanges table digests with a node of another data centre.
func (c *Core) probeRemote() {
	others := slices.DeleteFunc(c.table.dataCentres(), func(dc string) bool { return dc == c.self.GetDataCentre() })
	if len(others) == 0 {
		return
	}

	dc := others[c.random.IntN(len(others))]
	nodes := slices.DeleteFunc(c.table.inDataCentre(dc), gone)

	for _, e := range c.sample(nodes, 1) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// probeGone contacts a node believed dead, in case a partition has healed.
func (c *Core) probeGone() {
	dead := slices.DeleteFunc(c.Entries(), func(e *wire.NodeEntry) bool {
		return e.GetLiveness() != wire.Liveness_LIVENESS_DEAD
	})
	for _, e := range c.sample(dead, 1) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}
}

// gossip pushes fresh entries without waiting for the next probe.
func (c *Core) gossip() {
	c.pendingNew = false

	for _, e := range c.sample(c.localAlive(), gossipFanOut) {
		c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
	}

	if c.SelfRank() < relaysPerDC {
		c.gossipRemote()
	}
}

// gossipRemote pushes fresh entries to one node of every other data centre.
func (c *Core) gossipRemote() {
	for _, dc := range c.table.dataCentres() {
		if dc == c.self.GetDataCentre() {
			continue
		}

		nodes := slices.DeleteFunc(c.table.inDataCentre(dc), gone)
		for _, e := range c.sample(nodes, 1) {
			c.sendProbe(e.GetAddress(), 0, e.GetName(), "")
		}
	}
}

// sendProbe asks for an acknowledgement; a zero nonce only carries entries and digests.
func (c *Core) sendProbe(to string, nonce uint64, target, onBehalf string) {
	c.send(to, &wire.Envelope{Body: &wire.Envelope_Probe{Probe: c.newProbe(nonce, target, onBehalf)}})
}

func (c *Core) newProbe(nonce uint64, target, onBehalf string) *wire.Probe {
	return &wire.Probe{
		Nonce: nonce, Target: target, OnBehalfOf: onBehalf, Entries: c.piggyback(), Digests: c.someDigests(), Offer: c.offer,
	}
}

// piggyback returns the node's own entry and the freshest queued ones.
func (c *Core) piggyback() []*wire.NodeEntry {
	out := []*wire.NodeEntry{c.self}
	keep := c.queue[:0:0]

	for _, name := range c.queue {
		r := c.table.records[name]
		if r == nil {
			continue
		}

		if len(out) <= maxPiggyback && name != c.self.GetName() {
			out = append(out, r.entry)
			r.sends++
		}

		if name == c.self.GetName() {
			r.sends++
		}

		if r.sends < maxSends {
			keep = append(keep, name)
		}
	}

	slices.SortStableFunc(keep, func(a, b string) int { return c.table.records[a].sends - c.table.records[b].sends })
	c.queue = keep

	return out
}

// someDigests returns the digest of the own data centre's table and of one other.
func (c *Core) someDigests() []*wire.TableDigest {
	own := c.self.GetDataCentre()
	out := []*wire.TableDigest{{DataCentre: own, Hash: c.table.digests[own]}}

	others := slices.DeleteFunc(c.table.dataCentres(), func(dc string) bool { return dc == own })
	if len(others) > 0 {
		dc := others[c.random.IntN(len(others))]
		out = append(out, &wire.TableDigest{DataCentre: dc, Hash: c.table.digests[dc]})
	}

	return out
}
