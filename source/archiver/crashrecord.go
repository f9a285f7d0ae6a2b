package archiver

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// maxDigestBytes bounds the digest of a crash record.
	maxDigestBytes = 64
	// minRenewal is how much later a crash must be than the stored one to renew a record without adding strikes, so that several nodes that report
	// the same crash do not.
	minRenewal = tiller.Minute
)

// MergeCrashRecords adds crash records where they count more strikes or later crashes, and deletes those without strikes. It returns what is to be
// made durable, nil if nothing has changed.
func (c *Core) MergeCrashRecords(reading tiller.Millis, records []*wire.CrashRecord) *wire.ArchiveRecord {
	c.advance(reading)

	var changed []*wire.CrashRecord

	for _, r := range records[:min(len(records), quarantiner.MaxSentRecords)] {
		if c.mergeCrashRecord(r) {
			changed = append(changed, r)
		}
	}

	if len(changed) == 0 {
		return nil
	}

	return &wire.ArchiveRecord{CrashRecords: changed}
}

// mergeCrashRecord reports whether a record has changed what is stored.
func (c *Core) mergeCrashRecord(r *wire.CrashRecord) bool {
	if len(r.GetDigest()) == 0 || len(r.GetDigest()) > maxDigestBytes || len(r.GetRoute()) > detector.MaxTextBytes {
		return false
	}

	d := quarantiner.Digest(r.GetDigest())
	if r.GetStrikes() == 0 {
		return c.crashRecords.Clear(d)
	}

	stored := c.crashRecords.Record(d)
	c.crashRecords.Merge(c.now, r)

	if c.crashRecords.Strikes(d) > stored.Strikes() {
		return true
	}

	// The nodes may have forgotten the earlier crashes, and count from zero.
	at := quarantiner.CrashedAt(c.now, r)
	if at < stored.At()+minRenewal {
		return false
	}

	c.crashRecords.AddStrikes(at, d, r.GetRoute(), 0)

	return true
}

// CrashRecords returns the latest crash records for a node that has started.
func (c *Core) CrashRecords(reading tiller.Millis) []*wire.CrashRecord {
	c.advance(reading)

	return c.crashRecords.Encode(c.now)
}
