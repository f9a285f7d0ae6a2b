package detector

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) receive(e *wire.Envelope) {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Probe:
		c.onProbe(e.GetFrom(), b.Probe)
	case *wire.Envelope_ProbeAck:
		c.onAck(e.GetFrom(), b.ProbeAck)
	case *wire.Envelope_TablePush:
		c.onTablePush(e.GetFrom(), b.TablePush)
	default:
	}
}

func (c *Core) onProbe(from string, p *wire.Probe) {
	known := len(p.GetEntries()) > 0 && c.table.entry(p.GetEntries()[0].GetName()) != nil
	c.mergeAll(p.GetEntries())

	if !known {
		c.pushAll(from)
	} else {
		c.compareDigests(from, p.GetDigests())
	}

	switch {
	case p.GetOnBehalfOf() != "" && p.GetTarget() != c.self.GetName():
		c.relayProbe(p)
	case p.GetNonce() != 0 && p.GetTarget() == c.self.GetName():
		c.ack(from, p.GetNonce(), p.GetTarget())
	case len(p.GetEntries()) > 0 && c.remembersNewer(p.GetEntries()[0]):
		c.ack(from, 0, "")
	}
}

// remembersNewer reports whether this node knows a later state of a sender than the sender itself.
func (c *Core) remembersNewer(e *wire.NodeEntry) bool {
	known := c.table.entry(e.GetName())

	return known != nil && newer(known, e)
}

func (c *Core) relayProbe(p *wire.Probe) {
	target := c.table.entry(p.GetTarget())
	if target == nil {
		return
	}

	nonce := c.random.Uint64() | 1
	c.relayed[nonce] = relayed{requester: p.GetOnBehalfOf(), nonce: p.GetNonce(), at: c.now}
	c.sendProbe(target.GetAddress(), nonce, p.GetTarget(), "")
}

func (c *Core) ack(to string, nonce uint64, target string) {
	a := &wire.ProbeAck{Nonce: nonce, Target: target, Entries: c.piggyback(), Offer: c.offer, Digests: c.someDigests()}

	// The other side must hear what is said of it, or it could not refute.
	for _, e := range c.localAlive() {
		if e.GetAddress() == to && e.GetLiveness() != wire.Liveness_LIVENESS_ALIVE {
			a.Entries = append(a.Entries, e)
		}
	}

	if e := c.goneAt(to); e != nil {
		a.Entries = append(a.Entries, e)
	}

	c.send(to, &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: a}})
}

func (c *Core) goneAt(address string) *wire.NodeEntry {
	for _, name := range c.table.names[c.self.GetDataCentre()] {
		if e := c.table.entry(name); e.GetAddress() == address && gone(e) {
			return e
		}
	}

	return nil
}

func (c *Core) onAck(from string, a *wire.ProbeAck) {
	c.mergeAll(a.GetEntries())
	c.compareDigests(from, a.GetDigests())

	if c.probing.active && a.GetNonce() == c.probing.nonce && a.GetTarget() == c.probing.target {
		c.probing.active = false
		c.out.RoundTrip = max(c.now-c.probing.sentAt, 1)
	}

	if r, ok := c.relayed[a.GetNonce()]; ok {
		delete(c.relayed, a.GetNonce())
		c.ack(r.requester, r.nonce, a.GetTarget())
	}
}

func (c *Core) mergeAll(entries []*wire.NodeEntry) {
	for _, e := range entries {
		c.merge(e)
	}
}

// merge takes an entry that is newer than the known one; what others say of this node is refuted.
func (c *Core) merge(e *wire.NodeEntry) {
	if e.GetName() == "" || e.GetDataCentre() == "" {
		return
	}

	if e.GetName() == c.self.GetName() {
		c.refute(e)

		return
	}

	old := c.table.entry(e.GetName())
	if old == nil && gone(e) {
		c.remember(e)

		return
	}

	if old != nil && !newer(e, old) {
		return
	}

	c.put(e)
	c.report(old, e)
}

// remember keeps a tombstone of an unknown node, so that no older entry brings it back.
func (c *Core) remember(e *wire.NodeEntry) {
	c.table.put(e, c.now)
}

func (c *Core) refute(e *wire.NodeEntry) {
	if !newer(e, c.self) || c.self.GetLiveness() == wire.Liveness_LIVENESS_LEFT {
		return
	}

	c.changeSelf(func(own *wire.NodeEntry) {
		if e.GetIncarnation() > own.GetIncarnation() {
			own.Incarnation = e.GetIncarnation() + 1
			own.Sequence = 0
		}

		own.Sequence = max(own.GetSequence(), e.GetSequence()+1)
	})
}

func (c *Core) report(old, e *wire.NodeEntry) {
	cause := tiller.WithCause(e.GetName())

	switch {
	case gone(e):
		c.emit(tiller.EventDied, e.GetName()+" is "+livenessName(e), cause)
	case old == nil || gone(old):
		c.emit(tiller.EventJoined, e.GetName()+" is known", cause)
	case e.GetState() != old.GetState() && e.GetState() == wire.BackendState_BACKEND_STATE_DRAINING:
		c.emit(tiller.EventDrained, "backend server of "+e.GetName()+" drains", cause)
	}
}

func livenessName(e *wire.NodeEntry) string {
	if e.GetLiveness() == wire.Liveness_LIVENESS_LEFT {
		return "gone after leaving"
	}

	return "dead"
}

// pushAll sends every table to a node that is new here.
func (c *Core) pushAll(to string) {
	for _, dc := range c.table.dataCentres() {
		c.pushTable(to, dc, true)
	}
}

// compareDigests pushes the table of a data centre whose digest differs.
func (c *Core) compareDigests(from string, digests []*wire.TableDigest) {
	for _, d := range digests {
		dc := d.GetDataCentre()
		if d.GetHash() == c.table.digests[dc] || c.now < c.pushedAt[dc] {
			continue
		}

		c.pushedAt[dc] = c.now + tablePushPeriod + c.jitter(tablePushPeriod)
		c.pushTable(from, dc, true)
	}
}

func (c *Core) pushTable(to, dc string, reply bool) {
	entries := c.table.inDataCentre(dc)

	for len(entries) > 0 || reply {
		n := min(len(entries), maxEntriesPerPush)
		c.send(to, &wire.Envelope{Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
			Entries: entries[:n], DataCentre: dc, Reply: reply && n == len(entries),
		}}})

		entries = entries[n:]
		if len(entries) == 0 {
			return
		}
	}
}

// onTablePush merges a table and sends back what the sender lacks.
func (c *Core) onTablePush(from string, p *wire.TablePush) {
	c.mergeAll(p.GetEntries())

	if !p.GetReply() {
		return
	}

	theirs := make(map[string]*wire.NodeEntry, len(p.GetEntries()))
	for _, e := range p.GetEntries() {
		theirs[e.GetName()] = e
	}

	var missing []*wire.NodeEntry

	for _, e := range c.table.inDataCentre(p.GetDataCentre()) {
		if t := theirs[e.GetName()]; t == nil || newer(e, t) {
			missing = append(missing, e)
		}
	}

	if len(missing) > 0 {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
			Entries: missing, DataCentre: p.GetDataCentre(),
		}}})
	}
}
