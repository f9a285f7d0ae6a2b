package forwarder

import (
	"context"
	"fmt"
	"sync/atomic"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// crashCounter numbers the crashes of the backend server, so that copies of a request that broke in the same crash are reported as one. It is
// safe for concurrent use.
type crashCounter struct{ known atomic.Uint64 }

// next returns the number of the crash in which a request would break that is sent now: a crash breaks every request in flight, so that no
// request outlives one.
func (c *crashCounter) next() uint64 { return c.known.Load() + 1 }

// record records that a request broke in the crash of the given number.
func (c *crashCounter) record(number uint64) { c.known.CompareAndSwap(number-1, number) }

// backendFailure converts a failed exchange with the backend server into a call error. If the server crashed, the crash is reported to
// the data centre before the caller gets the error.
func (f *Forwarder) backendFailure(
	ctx context.Context, q *request, target Target, failed *exchanger.ExchangeError, crash uint64,
) *tiller.CallError {
	if failed.Refused() {
		f.BackendServer.ReportRefused()
		f.blameAbandoned(target, f.Clock.Now())

		return notRun(tiller.ReasonNoBackend, fmt.Sprintf("the backend server of %s refuses connections", f.Name)).WithUntried()
	}

	err := callFailure(ctx, failed)

	switch {
	case failed.Sent() && ctx.Err() != nil:
		f.abandon(q, target, crash)
	case failed.Broken() && f.backendCrashed(ctx, target):
		f.crashes.record(crash)
		f.CrashReporter.ReportCrash(context.WithoutCancel(ctx), crash, q.digest, q.route)

		// Without a confirmation the server may have closed this connection only.
		if f.ConfirmCrashes {
			f.blameAbandoned(target, f.Clock.Now())
		}
	}

	return err.WithStrikes(f.CrashRecords.Strikes(q.digest))
}

// backendCrashed reports whether a broken connection counts as a crash of the backend server.
func (f *Forwarder) backendCrashed(ctx context.Context, target Target) bool {
	if !f.ConfirmCrashes {
		return true
	}

	if !f.BackendExchanger.Refuses(ctx, target.address) {
		return false
	}

	f.BackendServer.ReportRefused()

	return true
}
