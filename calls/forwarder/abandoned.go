package forwarder

import (
	"context"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

const (
	// abandonedLifetime is how long after the end of a call its request may still run on the backend server and crash it.
	abandonedLifetime = 2 * tiller.Second
	// maxAbandoned bounds the requests that are remembered.
	maxAbandoned = 256
)

// abandonedRun is a request whose call ended, by the caller or the deadline, before the backend server had answered. The server may run it on.
type abandonedRun struct {
	start  string
	crash  uint64
	digest quarantiner.Digest
	route  string
	at     tiller.Millis
}

// abandonedRuns remembers the latest abandoned runs. It is safe for concurrent use.
type abandonedRuns struct {
	mu   sync.Mutex
	runs []abandonedRun
}

func (a *abandonedRuns) add(r abandonedRun) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.runs = append(a.runs, r)
	a.runs = a.runs[max(0, len(a.runs)-maxAbandoned):]
}

// take removes and returns the runs that a crash of the given start of the server has ended, which was last known to run at a time.
func (a *abandonedRuns) take(aliveAt tiller.Millis, start string) []abandonedRun {
	a.mu.Lock()
	defer a.mu.Unlock()

	var (
		out  []abandonedRun
		keep = a.runs[:0]
	)

	for _, r := range a.runs {
		switch {
		case aliveAt >= r.at+abandonedLifetime:
		case r.start == start:
			out = append(out, r)
		default:
			keep = append(keep, r)
		}
	}

	clear(a.runs[len(keep):])
	a.runs = keep

	return out
}

// abandon remembers a request that was sent to the backend server and whose call has ended.
func (f *Forwarder) abandon(q *request, target Target, crash uint64) {
	f.abandoned.add(abandonedRun{start: target.start, crash: crash, digest: q.digest, route: q.route, at: f.Clock.Now()})
}

// ReportRestart records that another start of the backend server has taken the place of a target that was last known to run at a time. Unless the
// target was leaving, it has crashed.
func (f *Forwarder) ReportRestart(previous Target, aliveAt tiller.Millis) {
	f.blameAbandoned(previous, aliveAt, f.crashes.lastOf(previous.start))
}

// blameAbandoned counts a crash of the backend server, which was last known to run at a time, against the requests that it may have been running
// although their calls had ended. Those that would break in a crash of a greater number than the last one were sent to a server that has
// taken the target's place. It does not wait until other nodes have acknowledged the reports, since no caller waits for them.
func (f *Forwarder) blameAbandoned(target Target, aliveAt tiller.Millis, last uint64) {
	if target.leaving() {
		return
	}

	done, cancel := context.WithCancel(context.Background())
	cancel()

	for _, r := range f.abandoned.take(aliveAt, target.start) {
		if r.crash > last {
			continue
		}

		f.crashes.record(r.crash)
		f.CrashReporter.ReportCrash(done, r.crash, r.digest, r.route)
	}
}
