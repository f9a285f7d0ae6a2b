package sycamoretiller

// Ratchet makes a monotone time from a clock that may jump backwards.
type Ratchet struct {
	last   Millis
	offset Millis
}

// Advance returns the time of a reading; after a backward jump time goes on from where it was.
func (r *Ratchet) Advance(reading Millis) Millis {
	now := reading + r.offset
	if now < r.last {
		r.offset += r.last - now
		now = r.last
	}

	r.last = now

	return now
}

// Last returns the time of the latest reading.
func (r *Ratchet) Last() Millis { return r.last }
