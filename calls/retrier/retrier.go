// Package retrier decides whether a failed attempt may be retried, within a retry budget per node and service and a limit per chain of
// calls.
package retrier

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// maxUntriedRefusals bounds the uncounted attempts of a call. An attempt is not counted if it failed before a backend server was
// contacted, such as by a refusal of a worker's limiter, since it cost the backend servers nothing.
const maxUntriedRefusals = 2

// Call counts the attempts and retries of one call at one node. It is not safe for concurrent use.
type Call struct {
	idempotent      bool
	maxAttempts     int
	attempts        int
	retriesLeft     int
	retries         int
	untriedRefusals int
	consume         func() bool
}

// NewCall returns a call that may make at most maxAttempts attempts. retriesLeft is the number of retries that the chain of calls still
// allows, and consume takes one retry from a budget or reports that none is left.
func NewCall(idempotent bool, maxAttempts, retriesLeft int, consume func() bool) *Call {
	return &Call{idempotent: idempotent, maxAttempts: maxAttempts, retriesLeft: retriesLeft, consume: consume}
}

// Begin counts a new attempt.
func (c *Call) Begin() { c.attempts++ }

// Undo removes the last attempt from the count, because no backend server was asked.
func (c *Call) Undo() { c.attempts-- }

// Attempts returns the number of attempts that count towards the limit.
func (c *Call) Attempts() int { return c.attempts }

// Charge adds retries, such as those made further down the chain, and subtracts them from the allowance of the chain.
func (c *Call) Charge(retries int) {
	c.retries += retries
	c.retriesLeft -= retries
}

// RetriesLeft returns the number of retries that the chain still allows.
func (c *Call) RetriesLeft() int { return max(c.retriesLeft, 0) }

// Retries returns the number of retries made by this call and further down the chain.
func (c *Call) Retries() int { return c.retries }

// AllowRetry reports whether another attempt may be made after an error. It charges the retry, except after a refusal by a draining
// worker and after the first maxUntriedRefusals attempts that reached no backend server.
func (c *Call) AllowRetry(err *tiller.CallError) bool {
	if !c.retryable(err) {
		return false
	}

	// No backend server was contacted, such as when the worker's limiter refused the request; another worker may have a free slot.
	if err.Untried() && err.Verdict() == tiller.VerdictNotRun && c.untriedRefusals < maxUntriedRefusals {
		c.untriedRefusals++
		c.attempts--

		return true
	}

	if c.attempts >= c.maxAttempts {
		return false
	}

	// A draining worker has done no work for the call, so the retry does not amplify load and is not charged.
	if err.Verdict() == tiller.VerdictNotRun && err.Reason() == tiller.ReasonDraining {
		return true
	}

	if c.retriesLeft <= 0 || !c.consume() {
		return false
	}

	c.Charge(1)

	return true
}

// retryable reports whether a retry after the error is safe and can succeed, regardless of the limits.
func (c *Call) retryable(err *tiller.CallError) bool {
	switch err.Reason() {
	case tiller.ReasonNoRoute, tiller.ReasonQuarantined, tiller.ReasonKeyMissing, tiller.ReasonKeyInvalid, tiller.ReasonKeyReused,
		tiller.ReasonKeyFenced, tiller.ReasonInProgress, tiller.ReasonClaimUnavailable, tiller.ReasonCancelled,
		tiller.ReasonRequestTooLarge, tiller.ReasonAnswerTooLarge, tiller.ReasonDeadline:
		return false
	default:
	}

	switch err.Verdict() {
	case tiller.VerdictNotRun:
		return true
	case tiller.VerdictMayHaveRun:
		return c.idempotent
	default:
		return false
	}
}
