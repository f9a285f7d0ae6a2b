package forwarder

import (
	"context"
	"fmt"
	"math"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// crashCounter numbers the crashes of the backend server, so that copies of a request that broke in the same crash are reported as one. It is
// safe for concurrent use.
type crashCounter struct {
	mu    sync.Mutex
	known uint64
	// ended is the latest start of the server that is known to have ended, in the crash of the number last.
	ended string
	last  uint64
}

// next returns the number of the crash in which a request would break that is sent now: a crash breaks every request in flight, so that no
// request outlives one.
func (c *crashCounter) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.known + 1
}

// record records that a request broke in the crash of the given number.
func (c *crashCounter) record(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.known == number-1 {
		c.known = number
	}
}

// recordEnd records that a start of the server has ended: what is sent from now on, to the same address, reaches another one.
func (c *crashCounter) recordEnd(start string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if start == "" || start == c.ended {
		return
	}

	c.known++
	c.ended, c.last = start, c.known
}

// lastOf returns the number of the crash in which a start of the server ended, the greatest number if that is not known.
func (c *crashCounter) lastOf(start string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	if start == "" || start != c.ended {
		return math.MaxUint64
	}

	return c.last
}

// backendFailure converts a failed exchange with the backend server into a call error. If the server crashed, the crash is reported to
// the data centre before the caller gets the error.
func (f *Forwarder) backendFailure(
	ctx context.Context, q *request, target Target, failed *exchanger.ExchangeError, crash uint64,
) *tiller.CallError {
	if failed.Refused() {
		f.reportRefused(target)
		f.blameAbandoned(target, f.Clock.Now(), math.MaxUint64)

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
			f.blameAbandoned(target, f.Clock.Now(), math.MaxUint64)
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

	f.reportRefused(target)

	return true
}

// reportRefused records that the backend server's port refuses connections, so that the server has ended.
func (f *Forwarder) reportRefused(target Target) {
	f.BackendServer.ReportRefused()
	f.crashes.recordEnd(target.start)
}
