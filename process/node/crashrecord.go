package node

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// maxSentCrashRecords bounds the crash records that are sent to a process that has started; the latest are sent.
	maxSentCrashRecords = 500
	// maxRestoredStrikes bounds the strikes that a record of another node counts for.
	maxRestoredStrikes = 100
)

// sendCrashRecords tells a process that has started which requests have crashed backend servers: it knows none.
func (c *Core) sendCrashRecords(to string) {
	known := c.crashRecords.List()
	known = known[max(0, len(known)-maxSentCrashRecords):]

	if len(known) == 0 {
		return
	}

	records := make([]*wire.CrashRecord, 0, len(known))
	for _, r := range known {
		records = append(records, &wire.CrashRecord{
			Digest: []byte(r.Digest()), Route: r.Route(), Strikes: uint32(r.Strikes()), Age: int64(max(c.now-r.At(), 0)),
		})
	}

	// A datagram may be lost, and this message is sent once.
	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.config.Address), To: to, Stream: true,
		Body: &wire.Envelope_CrashRecords{CrashRecords: &wire.CrashRecords{Records: records}},
	})
}

// receiveCrashRecords adopts the crash records of a peer where it counts more strikes.
func (c *Core) receiveCrashRecords(m *wire.CrashRecords) {
	for _, r := range m.GetRecords() {
		at := c.now - max(tiller.Millis(r.GetAge()), 0)
		c.crashRecords.RaiseStrikes(at, quarantiner.Digest(r.GetDigest()), r.GetRoute(), int(min(r.GetStrikes(), maxRestoredStrikes)))
	}
}
