package sycamoretiller

// MonotonicClock derives a monotonic time from the readings of a clock that may jump backwards.
type MonotonicClock struct {
	last   Millis
	offset Millis
}

// Advance returns the monotonic time of a reading; after a backward jump it continues from the time of the previous reading.
func (c *MonotonicClock) Advance(reading Millis) Millis {
	now := reading + c.offset
	if now < c.last {
		c.offset += c.last - now
		now = c.last
	}

	c.last = now

	return now
}

// Last returns the monotonic time of the latest reading.
func (c *MonotonicClock) Last() Millis { return c.last }
