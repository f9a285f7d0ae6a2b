package limiter

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

const (
	// shedRateWeight is the number of requests that the moving average of the shed rate spans.
	shedRateWeight = 16
	// trialThreshold is the shed rate above which a trial with a lower limit starts.
	trialThreshold = 0.3
	// minImprovement is by how much the shed rate must fall during a trial for the lower limit to be kept.
	minImprovement = 0.2
	// trialLength is the number of requests that end during a trial before it is evaluated.
	trialLength = 32
	// trialWarmUp is the number of first requests that are not counted, as they started before the trial.
	trialWarmUp = 8
	// trialDivisor lowers the limit far enough that a server which sheds only because it is full sheds nothing.
	trialDivisor = 4
	// trialCooldown is the time between an unsuccessful trial and the next one.
	trialCooldown = 10 * tiller.Second
)

// limitTrial finds the concurrency limit of a server that sheds requests. It tries a quarter of the current limit: if the server then
// sheds fewer requests, it was overloaded, and the limit grows again from there; otherwise the server sheds for other reasons, and
// the limit returns to the declared slots.
type limitTrial struct {
	// shedRate is a moving average; baselineRate is its value at the start of the trial, trialRate the shed rate during the trial.
	shedRate     float64
	baselineRate float64
	trialRate    float64
	trialCount   int
	active       bool
	// reduced is set after a successful trial, until the limit has grown to the declared slots again.
	reduced       bool
	cooldownUntil tiller.Millis
}

// record counts the end of a request and returns the new limit. full means that all slots were in use when the request started.
func (t *limitTrial) record(now tiller.Millis, shed, full bool, limit, slots int) int {
	sample := 0.0
	if shed {
		sample = 1
	}

	t.shedRate += (sample - t.shedRate) / shedRateWeight

	switch {
	case t.active:
		return t.recordInTrial(now, sample, limit, slots)
	case t.reduced && shed && full:
		return max(limit-1, minLimit)
	case !t.reduced && shed && t.shedRate > trialThreshold && now >= t.cooldownUntil:
		t.active = true
		t.trialCount, t.trialRate = 0, 0
		t.baselineRate = t.shedRate

		return max(limit/trialDivisor, minLimit)
	default:
		return limit
	}
}

// recordInTrial counts a request that ended during a trial and evaluates the trial at its end.
func (t *limitTrial) recordInTrial(now tiller.Millis, sample float64, limit, slots int) int {
	t.trialCount++
	if t.trialCount > trialWarmUp {
		t.trialRate += sample / (trialLength - trialWarmUp)
	}

	if t.trialCount < trialLength {
		return limit
	}

	t.active = false
	t.shedRate = t.trialRate

	if t.trialRate < t.baselineRate-minImprovement {
		t.reduced = true

		return limit
	}

	t.cooldownUntil = now + trialCooldown

	return slots
}

// limitRestored must be called when the limit has reached the declared slots again.
func (t *limitTrial) limitRestored() { t.reduced = false }
