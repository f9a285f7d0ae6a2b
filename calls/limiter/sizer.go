package limiter

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

const (
	shedWeight = 16
	// shedAlarm is the share of shed requests that starts a trial with fewer requests at once.
	shedAlarm = 0.3
	// shedGain is by how much the share must fall in a trial for the lower limit to stay.
	shedGain = 0.2
	// trialLength is the number of requests that end during a trial before it is judged; the first ones started before it.
	trialLength = 32
	trialWarmUp = 8
	// trialDivisor makes room enough that a server which is only too full sheds nothing.
	trialDivisor = 4
	// trialPause is the time after a trial without gain before the next one.
	trialPause = 10 * tiller.Second
)

// sizer finds how many requests a server takes at once when it sheds some: it tries a quarter. If the server then sheds less
// it was too full, and the limit grows again from there; if not, it sheds for other reasons and keeps all its slots.
type sizer struct {
	rate       float64
	baseline   float64
	trialRate  float64
	trialCount int
	trying     bool
	sized      bool
	pauseUntil tiller.Millis
}

// note takes the end of a request that ran beside others and returns the limit from now on.
func (s *sizer) note(now tiller.Millis, shed, full bool, limit, slots int) int {
	sample := 0.0
	if shed {
		sample = 1
	}

	s.rate += (sample - s.rate) / shedWeight

	switch {
	case s.trying:
		return s.try(now, sample, limit, slots)
	case s.sized && shed && full:
		return max(limit-1, minLimit)
	case !s.sized && shed && s.rate > shedAlarm && now >= s.pauseUntil:
		s.trying = true
		s.trialCount, s.trialRate = 0, 0
		s.baseline = s.rate

		return max(limit/trialDivisor, minLimit)
	default:
		return limit
	}
}

// try counts the requests of a trial and judges it at its end.
func (s *sizer) try(now tiller.Millis, sample float64, limit, slots int) int {
	s.trialCount++
	if s.trialCount > trialWarmUp {
		s.trialRate += sample / (trialLength - trialWarmUp)
	}

	if s.trialCount < trialLength {
		return limit
	}

	s.trying = false
	s.rate = s.trialRate

	if s.trialRate < s.baseline-shedGain {
		s.sized = true

		return limit
	}

	s.pauseUntil = now + trialPause

	return slots
}

// grown notes that the limit reached the stated slots again.
func (s *sizer) grown() { s.sized = false }
