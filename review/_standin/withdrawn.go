package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// withdrawn lets a worker deregister first and serve on for some seconds before it exits, while the process on its machine is killed right
// after the acknowledgement and one heartbeat from before arrives seconds late. It reports whether DRAIN is broken.
func withdrawn(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	const (
		before = 6 * time.Second
		// killAfter is how long after the acknowledgement the process is killed.
		killAfter = 2 * time.Millisecond
		// late is how long after it was sent the last heartbeat arrives.
		late = 3500 * time.Millisecond
		// serves is how long the worker serves after the acknowledgement.
		serves = 9 * time.Second
		after  = 4 * time.Second
	)

	type reached struct {
		at time.Time
		id string
	}

	var (
		mu       sync.Mutex
		leaving  *worker
		arrivals []reached
	)

	onRun = func(w *worker, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()

		if w == leaving {
			arrivals = append(arrivals, reached{at: time.Now(), id: r.Header.Get("Sycamoretiller-Attempt-Id")})
		}

		return false
	}

	if err := f.start(ctx, configuration()); err != nil {
		return false, err
	}

	usual, cancel := context.WithCancel(ctx)
	defer cancel()

	t := newTraffic(f.record)
	t.begin(usual, f, 4)
	wait(ctx, before)

	m := f.sides[0]
	w := m.worker.Load()
	// The last heartbeat is sent before the worker deregisters, and is held up on its way.
	w.quiet()
	heldUp, sentAt := w.heartbeat(), time.Now()
	f.record.note("%.1f s: the worker on %s sends a heartbeat that is held up", f.record.seconds(sentAt), m.name)

	body, err := json.Marshal(map[string]any{"born": w.born})
	if err != nil {
		return false, err
	}

	status, err := w.call("deregister", body)
	if err != nil || status/100 != 2 {
		return false, err
	}

	ackedAt := time.Now()

	mu.Lock()
	leaving = w
	mu.Unlock()

	f.record.note("%.1f s: its deregistration is acknowledged with %d", f.record.seconds(ackedAt), status)

	if trouble {
		wait(ctx, killAfter)
		m.kill()
		f.record.note("%.1f s: the process on %s is killed", f.record.seconds(time.Now()), m.name)

		if err := m.restart(); err != nil {
			return false, err
		}

		f.record.note("%.1f s: it is started again", f.record.seconds(time.Now()))
	}

	wait(ctx, time.Until(sentAt.Add(late)))
	status, err = w.call("heartbeat", heldUp)
	f.record.note("%.1f s: the heartbeat that was held up arrives: %d %v", f.record.seconds(time.Now()), status, err)

	wait(ctx, time.Until(ackedAt.Add(serves)))
	w.end()
	f.record.note("%.1f s: the worker exits", f.record.seconds(time.Now()))
	wait(ctx, after)
	cancel()
	t.report()

	mu.Lock()
	defer mu.Unlock()

	counted := 0

	for _, a := range arrivals {
		if a.at.Sub(ackedAt) <= drainBound {
			continue
		}

		touch := m.touchAt(a.at)
		if touch {
			counted++
		}

		f.record.printf("request %s reached the worker %.3f s after the acknowledgement; its machine in touch: %t", a.id, a.at.Sub(ackedAt).Seconds(), touch)
	}

	f.record.note("%d requests reached the worker after its deregistration, %d of them later than `drain` and by machines in touch",
		len(arrivals), counted)

	return counted > 0, nil
}
