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
	knowsProcess := len(p.GetEntries()) > 0 && c.knowsProcess(p.GetEntries()[0])
	c.mergeAll(p.GetEntries())

	if !knowsProcess {
		c.out.Started = append(c.out.Started, from)
		c.pushAllTables(from)
	} else {
		c.compareDigests(from, p.GetDigests())
	}

	known := c.newerThan(p.GetEntries())

	switch {
	case p.GetOnBehalfOf() != "" && p.GetTarget() != c.self.GetName():
		c.relayProbe(p)
	case p.GetNonce() != 0 && p.GetTarget() == c.self.GetName():
		c.ack(from, p.GetNonce(), p.GetTarget(), known...)
	case len(known) > 0:
		c.ack(from, 0, "", known...)
	}
}

// knowsProcess reports whether an entry of the sender's present process, or of a later one, was known before.
func (c *Core) knowsProcess(e *wire.NodeEntry) bool {
	known := c.table.entry(e.GetName())

	return known != nil && known.GetIncarnation() >= e.GetIncarnation()
}

// newerThan returns this node's entry of the sender if it is newer than the sender's own, which comes first in a probe.
func (c *Core) newerThan(entries []*wire.NodeEntry) []*wire.NodeEntry {
	if len(entries) == 0 {
		return nil
	}

	known := c.table.entry(entries[0].GetName())
	if known == nil || !newer(known, entries[0]) {
		return nil
	}

	return []*wire.NodeEntry{known}
}

// relayProbe probes a target on behalf of a peer.
func (c *Core) relayProbe(p *wire.Probe) {
	target := c.table.entry(p.GetTarget())
	if target == nil {
		return
	}

	nonce := c.random.Uint64() | 1
	c.relayed[nonce] = relayedProbe{requester: p.GetOnBehalfOf(), nonce: p.GetNonce(), at: c.now}
	c.sendProbe(target.GetAddress(), nonce, p.GetTarget(), "")
}

// ack acknowledges a probe. Further entries are those that the receiver needs besides the usual ones.
func (c *Core) ack(to string, nonce uint64, target string, further ...*wire.NodeEntry) {
	a := &wire.ProbeAck{Nonce: nonce, Target: target, Entries: c.piggyback(), Offer: c.advertisement, Digests: c.sampleDigests()}
	a.Entries = append(a.Entries, further...)

	// The receiver needs the entry that suspects it or declares it dead, so that it can refute it.
	for _, e := range c.localPeers() {
		if e.GetAddress() == to && e.GetLiveness() != wire.Liveness_LIVENESS_ALIVE {
			a.Entries = append(a.Entries, e)
		}
	}

	if e := c.goneEntryAt(to); e != nil {
		a.Entries = append(a.Entries, e)
	}

	c.send(to, &wire.Envelope{Body: &wire.Envelope_ProbeAck{ProbeAck: a}})
}

// goneEntryAt returns the tombstone of a node of this data centre at an address, or nil.
func (c *Core) goneEntryAt(address string) *wire.NodeEntry {
	for _, name := range c.table.namesByDataCentre[c.self.GetDataCentre()] {
		if e := c.table.entry(name); e.GetAddress() == address && gone(e) {
			return e
		}
	}

	return nil
}

func (c *Core) onAck(from string, a *wire.ProbeAck) {
	c.mergeAll(a.GetEntries())
	c.compareDigests(from, a.GetDigests())
	c.confirmCopy(a.GetNonce(), a.GetTarget())

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

// merge adopts an entry that is newer than the known one. An entry of this node is refuted instead. One that no node can have issued is
// ignored.
func (c *Core) merge(e *wire.NodeEntry) {
	if err := c.checkEntry(e); err != nil {
		c.refuseEntry(e, err)

		return
	}

	if e.GetName() == c.self.GetName() {
		c.refute(e)
		c.restore(e)

		return
	}

	old := c.table.entry(e.GetName())
	if old == nil && gone(e) {
		c.putTombstone(e)

		return
	}

	if old != nil && !newer(e, old) {
		return
	}

	c.put(e)
	c.remind(e)
	c.emitChange(old, e)
}

// putTombstone stores the tombstone of an unknown node, so that no older entry revives the node.
func (c *Core) putTombstone(e *wire.NodeEntry) {
	c.table.put(e, c.now)
}

// refute raises this node's own entry above a newer one that a peer has of it.
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

// emitChange records how an adopted entry differs from the previous one.
func (c *Core) emitChange(old, e *wire.NodeEntry) {
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

// pushAllTables sends the tables of all data centres to a node that was unknown here.
func (c *Core) pushAllTables(to string) {
	for _, dc := range c.table.dataCentres() {
		c.pushTable(to, dc, true)
	}
}

// compareDigests pushes the tables of the data centres whose digests differ, at most one push in tablePushPeriod for each data centre.
func (c *Core) compareDigests(from string, digests []*wire.TableDigest) {
	for _, d := range digests {
		dc := d.GetDataCentre()
		if d.GetHash() == c.table.digests[dc] || c.now < c.nextPushAt[dc] {
			continue
		}

		c.nextPushAt[dc] = c.now + tablePushPeriod + c.jitter(tablePushPeriod)
		c.pushTable(from, dc, true)
	}
}

// pushTable sends a data centre's table in chunks. If a reply is wanted, the last chunk asks for it.
func (c *Core) pushTable(to, dc string, reply bool) {
	entries := c.table.inDataCentre(dc)

	for i, e := range entries {
		entries[i] = c.entryFor(to, e)
	}

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

// entryFor returns an entry as it is sent to an address. The node of the entry itself gets the withdrawals that it has to take back, in the
// message by which it recovers.
func (c *Core) entryFor(to string, e *wire.NodeEntry) *wire.NodeEntry {
	if e.GetAddress() != to {
		return e
	}

	return c.table.records[e.GetName()].withCarried()
}

// onTablePush merges a table and replies with the entries that the sender lacks or has older.
func (c *Core) onTablePush(from string, p *wire.TablePush) {
	c.mergeAll(p.GetEntries())

	if p.GetDataCentre() == c.self.GetDataCentre() {
		c.contacted = true
	}

	if !p.GetReply() {
		return
	}

	received := make(map[string]*wire.NodeEntry, len(p.GetEntries()))
	for _, e := range p.GetEntries() {
		received[e.GetName()] = e
	}

	var missing []*wire.NodeEntry

	for _, e := range c.table.inDataCentre(p.GetDataCentre()) {
		own := c.entryFor(from, e)
		if t := received[e.GetName()]; t == nil || newer(e, t) || own != e {
			missing = append(missing, own)
		}
	}

	if len(missing) > 0 {
		c.send(from, &wire.Envelope{Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
			Entries: missing, DataCentre: p.GetDataCentre(),
		}}})
	}
}
