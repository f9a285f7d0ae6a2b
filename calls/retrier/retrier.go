// Package retrier decides whether a failed attempt may be repeated, under a budget per node and one along the chain.
package retrier

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// maxUntried bounds the further gates that one call asks after refusals that cost no server anything.
const maxUntried = 2

// Call is one call with its attempts at one node.
type Call struct {
	idempotent bool
	attempts   int
	made       int
	chainLeft  int
	spent      int
	untried    int
	spend      func() bool
}

// NewCall returns a call that may make a number of attempts; the chain allows the given number of retries in all, and spend takes
// each one from a budget or reports that nothing is left.
func NewCall(idempotent bool, attempts, chainLeft int, spend func() bool) *Call {
	return &Call{idempotent: idempotent, attempts: attempts, chainLeft: chainLeft, spend: spend}
}

// Begin counts an attempt.
func (c *Call) Begin() { c.made++ }

// Undo takes the last attempt back, since it asked no server.
func (c *Call) Undo() { c.made-- }

// Made returns the number of attempts that were offered to a server.
func (c *Call) Made() int { return c.made }

// Charge subtracts retries that were made further down the chain.
func (c *Call) Charge(retries int) {
	c.spent += retries
	c.chainLeft -= retries
}

// ChainLeft returns the retries that the chain still allows.
func (c *Call) ChainLeft() int { return max(c.chainLeft, 0) }

// Spent returns the retries made by this call and further down.
func (c *Call) Spent() int { return c.spent }

// Retry reports whether another attempt may be made after an error, and charges it.
func (c *Call) Retry(err *tiller.CallError) bool {
	if !c.repeatable(err) {
		return false
	}

	// A gate that refuses by itself has asked no server: another one may have room.
	if err.Untried() && err.Verdict() == tiller.VerdictNotRun && c.untried < maxUntried {
		c.untried++
		c.made--

		return true
	}

	if c.made >= c.attempts {
		return false
	}

	// A worker that leaves has done no work for the call, so that trying the next one multiplies nothing.
	if err.Verdict() == tiller.VerdictNotRun && err.Reason() == tiller.ReasonDraining {
		return true
	}

	if c.chainLeft <= 0 || !c.spend() {
		return false
	}

	c.Charge(1)

	return true
}

func (c *Call) repeatable(err *tiller.CallError) bool {
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
