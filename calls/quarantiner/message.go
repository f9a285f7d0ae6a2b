package quarantiner

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// MaxSentRecords bounds the crash records in a message; the latest are sent.
	MaxSentRecords = 500

	// maxMergedStrikes bounds the strikes that a record of another process counts for.
	maxMergedStrikes = 100
)

// Encode returns the record for a message.
func (c CrashRecord) Encode(now tiller.Millis) *wire.CrashRecord {
	return &wire.CrashRecord{Digest: []byte(c.digest), Route: c.route, Strikes: uint32(c.strikes), Age: int64(max(now-c.at, 0))}
}

// Encode returns the latest records for a message.
func (r *Registry) Encode(now tiller.Millis) []*wire.CrashRecord {
	known := r.List()
	known = known[max(0, len(known)-MaxSentRecords):]

	out := make([]*wire.CrashRecord, 0, len(known))
	for _, c := range known {
		out = append(out, c.Encode(now))
	}

	return out
}

// CrashedAt returns the time of the last crash in a record of another process.
func CrashedAt(now tiller.Millis, c *wire.CrashRecord) tiller.Millis {
	return now - max(tiller.Millis(c.GetAge()), 0)
}

// Merge adopts a record of another process if it counts more strikes.
func (r *Registry) Merge(now tiller.Millis, c *wire.CrashRecord) {
	r.RaiseStrikes(CrashedAt(now, c), Digest(c.GetDigest()), c.GetRoute(), int(min(c.GetStrikes(), maxMergedStrikes)))
}

// Record returns the crash record of a request, the zero value if it has none.
func (r *Registry) Record(d Digest) CrashRecord {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.records[d]
}
