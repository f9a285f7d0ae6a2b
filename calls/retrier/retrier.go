// Package retrier decides whether a failed attempt may be repeated, under a budget per node and one along the chain.
package retrier

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	milliPerRetry   = 1000
	milliPerPercent = milliPerRetry / 100
	maxSavedRetries = 20
	minSavedRetries = 3
	// maxUntried bounds the further gates that one call asks after refusals that cost no server anything.
	maxUntried = 2
)

// Budget saves a share of a retry with each call and spends a whole one with each retry. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	milli int64
}

// NewBudget returns a budget with a small reserve.
func NewBudget() *Budget {
	return &Budget{milli: minSavedRetries * milliPerRetry}
}

// Save adds a call's share.
func (b *Budget) Save(percent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.milli = min(b.milli+percent*milliPerPercent, maxSavedRetries*milliPerRetry)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.milli < milliPerRetry {
		return false
	}

	b.milli -= milliPerRetry

	return true
}

// Call is one call with its attempts at one node.
type Call struct {
	idempotent bool
	attempts   int
	made       int
	chainLeft  int
	spent      int
	untried    int
	budget     *Budget
}

// NewCall returns a call that may make a number of attempts; the chain allows the given number of retries in all.
func NewCall(idempotent bool, attempts, chainLeft int, budget *Budget) *Call {
	return &Call{idempotent: idempotent, attempts: attempts, chainLeft: chainLeft, budget: budget}
}

// Begin counts an attempt.
func (c *Call) Begin() { c.made++ }

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

	if c.chainLeft <= 0 || !c.budget.Spend() {
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
