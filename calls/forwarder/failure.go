package forwarder

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// callFailure converts a failed exchange into a call error. The request counts as not run only if no byte of it was sent.
func callFailure(ctx context.Context, failed *exchanger.ExchangeError) *tiller.CallError {
	verdict := tiller.VerdictMayHaveRun
	if !failed.Sent() {
		verdict = tiller.VerdictNotRun
	}

	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return tiller.NewCallError(verdict, tiller.ReasonDeadline, "no answer before the deadline")
	case ctx.Err() != nil:
		return tiller.NewCallError(verdict, tiller.ReasonCancelled, "the caller gave up")
	case !failed.Sent():
		return tiller.NewCallError(verdict, tiller.ReasonUnreachable, eris.Cause(failed).Error()).WithUntried()
	default:
		return tiller.NewCallError(verdict, tiller.ReasonBackendFailed, "the connection broke before the answer: "+eris.Cause(failed).Error())
	}
}
