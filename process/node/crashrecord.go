package node

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// liftMemory is how long crash records of a request are ignored after its quarantine was lifted: they may have been sent before.
	liftMemory = 5 * tiller.Second
	// maxLifts bounds the lifts that are remembered.
	maxLifts = 256
)

// lift is a request whose quarantine was lifted.
type lift struct {
	digest quarantiner.Digest
	at     tiller.Millis
}

// forgetCrashes deletes the crash record of a request, whose quarantine is lifted, and reports whether there was one.
func (c *Core) forgetCrashes(d quarantiner.Digest) bool {
	c.lifts = slices.DeleteFunc(c.lifts, func(l lift) bool { return l.digest == d || c.now >= l.at+liftMemory })
	c.lifts = append(c.lifts, lift{digest: d, at: c.now})
	c.lifts = c.lifts[max(0, len(c.lifts)-maxLifts):]

	return c.crashRecords.Clear(d)
}

// recentlyLifted reports whether the quarantine of a request was lifted a short while ago.
func (c *Core) recentlyLifted(d quarantiner.Digest) bool {
	return slices.ContainsFunc(c.lifts, func(l lift) bool { return l.digest == d && c.now < l.at+liftMemory })
}

// sendCrashRecords sends crash records to another process, if there are any.
func (c *Core) sendCrashRecords(to string, records []*wire.CrashRecord) {
	if len(records) == 0 {
		return
	}

	// A datagram may be lost, and this message is sent once.
	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.config.Address), To: to, Stream: true,
		Body: &wire.Envelope_CrashRecords{CrashRecords: &wire.CrashRecords{Records: records}},
	})
}

// storeCrashRecord sends the crash record of a request to the controllers, which store it in case all nodes are killed. One without strikes deletes
// what they have stored.
func (c *Core) storeCrashRecord(d quarantiner.Digest) {
	record := c.crashRecords.Record(d).Encode(c.now)
	record.Digest = []byte(d)

	for _, controller := range c.synchronizer.Controllers() {
		c.sendCrashRecords(controller, []*wire.CrashRecord{record})
	}
}

// receiveCrashRecords adopts the crash records of a peer or a controller where it counts more strikes.
func (c *Core) receiveCrashRecords(m *wire.CrashRecords) {
	for _, r := range m.GetRecords() {
		if !c.recentlyLifted(quarantiner.Digest(r.GetDigest())) {
			c.crashRecords.Merge(c.now, r)
		}
	}
}
