package sycamoretiller

import (
	"errors"
	"fmt"
)

//go:generate enumer -type=Verdict -trimprefix=Verdict -transform=snake

// Verdict says whether a request may have run on a backend server.
type Verdict int

// The verdicts.
const (
	// VerdictMayHaveRun means that the outcome is unknown.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun means that the request did not run and never will.
	VerdictNotRun
	// VerdictRan means that the request ran.
	VerdictRan
)

//go:generate enumer -type=Reason -trimprefix=Reason -transform=snake

// Reason says why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	ReasonNoRoute Reason = iota
	ReasonNoBackend
	ReasonOverload
	ReasonDeadline
	ReasonDraining
	ReasonBackendFailed
	ReasonUnreachable
	ReasonQuarantined
	ReasonKeyMissing
	ReasonKeyInvalid
	ReasonKeyReused
	ReasonKeyFenced
	ReasonInProgress
	ReasonClaimUnavailable
	ReasonAnswerTruncated
	ReasonAnswerTooLarge
	ReasonRequestTooLarge
	ReasonCancelled
	ReasonNotReady
	ReasonRequestMalformed
	ReasonNoSlot
)

// CallError is a refused or failed call.
type CallError struct {
	verdict    Verdict
	reason     Reason
	detail     string
	retryAfter Millis
	retries    int
	strikes    int
	untried    bool
}

// NewCallError returns an error with the verdict on the request.
func NewCallError(verdict Verdict, reason Reason, detail string) *CallError {
	return &CallError{verdict: verdict, reason: reason, detail: detail}
}

// WithRetryAfter returns a copy that advises when to try again.
func (e *CallError) WithRetryAfter(after Millis) *CallError {
	c := *e
	c.retryAfter = after

	return &c
}

// WithRetries returns a copy that tells how many retries were already made for the call, here and further down.
func (e *CallError) WithRetries(retries int) *CallError {
	c := *e
	c.retries = retries

	return &c
}

// WithStrikes returns a copy that tells how many backend servers the request is known to have crashed.
func (e *CallError) WithStrikes(strikes int) *CallError {
	c := *e
	c.strikes = strikes

	return &c
}

// WithUntried returns a copy that says that no backend server was asked.
func (e *CallError) WithUntried() *CallError {
	c := *e
	c.untried = true

	return &c
}

// Error formats the refusal.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.reason, e.verdict, e.detail)
}

// Verdict returns whether the request may have run.
func (e *CallError) Verdict() Verdict { return e.verdict }

// Reason returns why the call failed.
func (e *CallError) Reason() Reason { return e.reason }

// Detail returns the text for people.
func (e *CallError) Detail() string { return e.detail }

// RetryAfter returns how long the caller should wait, zero if unknown.
func (e *CallError) RetryAfter() Millis { return e.retryAfter }

// Retries returns how many retries were already made for the call.
func (e *CallError) Retries() int { return e.retries }

// Strikes returns how many backend servers the request is known to have crashed.
func (e *CallError) Strikes() int { return e.strikes }

// Untried reports whether the call was refused before any backend server was asked.
func (e *CallError) Untried() bool { return e.untried }

// VerdictOf returns the verdict that an error carries; an unknown error may have run.
func VerdictOf(err error) Verdict {
	if e, ok := errors.AsType[*CallError](err); ok {
		return e.verdict
	}

	return VerdictMayHaveRun
}
