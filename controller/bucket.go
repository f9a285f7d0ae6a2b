package controller

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// bucket admits a bounded rate of pulls with a bounded burst.
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

func (b *bucket) take(now tiller.Millis) bool {
	if now > b.at {
		b.milli = min(b.burst*milliPerToken, b.milli+int64(now-b.at)*b.perSecond)
		b.at = now
	}

	if b.milli < milliPerToken {
		return false
	}

	b.milli -= milliPerToken

	return true
}
