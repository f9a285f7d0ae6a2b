package controller

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// bucket admits a bounded rate of work with a bounded burst.
type bucket struct {
	perSecond int64
	burst     int64
	milli     int64
	at        tiller.Millis
}

const milliPerToken = 1000

func newBucket(perSecond, burst int64) bucket {
	return bucket{perSecond: perSecond, burst: burst, milli: burst * milliPerToken}
}

// take spends tokens and reports whether there were enough.
func (b *bucket) take(now tiller.Millis, tokens int64) bool {
	if now > b.at {
		b.milli = min(b.burst*milliPerToken, b.milli+int64(now-b.at)*b.perSecond)
		b.at = now
	}

	if b.milli < tokens*milliPerToken {
		return false
	}

	b.milli -= tokens * milliPerToken

	return true
}
