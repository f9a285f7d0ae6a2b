package sycamoretiller

import (
	"errors"
	"fmt"
)

//go:generate enumer -type=Verdict -trimprefix=Verdict -transform=snake

// Verdict states whether a request may have run on a backend server.
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

// Reason states why a call was refused or failed.
type Reason int

// The reasons of refused and failed calls.
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

// WithRetryAfter returns a copy that advises the caller how long to wait before a retry.
func (e *CallError) WithRetryAfter(after Millis) *CallError {
	c := *e
	c.retryAfter = after

	return &c
}

// WithRetries returns a copy with the number of retries already made for the call, by this process and downstream.
func (e *CallError) WithRetries(retries int) *CallError {
	c := *e
	c.retries = retries

	return &c
}

// WithStrikes returns a copy with the number of backend servers that the request is known to have crashed.
func (e *CallError) WithStrikes(strikes int) *CallError {
	c := *e
	c.strikes = strikes

	return &c
}

// WithUntried returns a copy which states that the call was not sent to any backend server.
func (e *CallError) WithUntried() *CallError {
	c := *e
	c.untried = true

	return &c
}

// Error formats the reason, the verdict and the detail.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.reason, e.verdict, e.detail)
}

// Verdict returns whether the request may have run.
func (e *CallError) Verdict() Verdict { return e.verdict }

// Reason returns why the call was refused or failed.
func (e *CallError) Reason() Reason { return e.reason }

// Detail returns the human-readable detail.
func (e *CallError) Detail() string { return e.detail }

// RetryAfter returns how long the caller should wait before a retry, zero if unknown.
func (e *CallError) RetryAfter() Millis { return e.retryAfter }

// Retries returns the number of retries already made for the call.
func (e *CallError) Retries() int { return e.retries }

// Strikes returns the number of backend servers that the request is known to have crashed.
func (e *CallError) Strikes() int { return e.strikes }

// Untried reports whether the call was refused before it was sent to any backend server.
func (e *CallError) Untried() bool { return e.untried }

// VerdictOf returns the verdict of a CallError; after any other error the request may have run.
func VerdictOf(err error) Verdict {
	if e, ok := errors.AsType[*CallError](err); ok {
		return e.verdict
	}

	return VerdictMayHaveRun
}
