package controller

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// tokenBucket limits the rate and the burst of work.
type tokenBucket struct {
	perSecond int64
	burst     int64
	// milliTokens counts thousandths of a token, so that perSecond is also the refill in each millisecond.
	milliTokens int64
	updatedAt   tiller.Millis
}

const milliPerToken = 1000

func newTokenBucket(perSecond, burst int64) tokenBucket {
	return tokenBucket{perSecond: perSecond, burst: burst, milliTokens: burst * milliPerToken}
}

// take consumes tokens and reports whether there were enough.
func (b *tokenBucket) take(now tiller.Millis, tokens int64) bool {
	if now > b.updatedAt {
		b.milliTokens = min(b.burst*milliPerToken, b.milliTokens+int64(now-b.updatedAt)*b.perSecond)
		b.updatedAt = now
	}

	if b.milliTokens < tokens*milliPerToken {
		return false
	}

	b.milliTokens -= tokens * milliPerToken

	return true
}
