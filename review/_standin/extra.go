package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// extra lets half of the workers send additional bytes after some of their complete answers: a refusal that names no request. It reports
// whether TWICE or REFUSED is broken.
func extra(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	const (
		span = 40 * time.Second
		// share is the share of the answers that are followed by additional bytes.
		share = 0.02
		// maxDelay is how long after the answer the additional bytes come at most.
		maxDelay = 40 * time.Millisecond
		bytes    = "HTTP/1.1 503 Service Unavailable\r\nSycamoretiller-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	)

	var (
		mu      sync.Mutex
		ran     = map[string][]string{}
		spoilt  atomic.Int64
		faulty  = map[*machine]bool{}
		playing atomic.Bool
	)

	for i, m := range f.sides {
		faulty[m] = i%2 == 0
	}

	onRun = func(w *worker, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()

		id := r.Header.Get("Sycamoretiller-Attempt-Id")
		ran[id] = append(ran[id], w.machine.name)

		return false
	}

	afterAnswer = func(w *worker, c *lockedConn) {
		if !trouble || !playing.Load() || !faulty[w.machine] || rand.Float64() >= share {
			return
		}

		spoilt.Add(1)

		go func() {
			time.Sleep(rand.N(maxDelay))
			f.record.printf("additional bytes of the worker on %s", w.machine.name)

			// The connection may have been closed.
			_, _ = c.Write([]byte(bytes))
		}()
	}

	if err := f.start(ctx, configuration()); err != nil {
		return false, err
	}

	playing.Store(true)

	usual, cancel := context.WithCancel(ctx)
	defer cancel()

	t := newTraffic(f.record)
	t.begin(usual, f, 8)
	wait(ctx, span)
	cancel()
	t.report()

	mu.Lock()
	defer mu.Unlock()

	twice, refused := 0, 0

	for id, got := range t.results {
		where := ran[id]

		if len(where) > 1 {
			twice++

			f.record.note("TWICE: %s, which may run once at most, ran on %v and was answered %s", id, where, got)
		}

		if got.err == nil && !got.signed && promises(got.status) && len(where) > 0 {
			refused++

			f.record.note("REFUSED: %s was answered %s and ran on %v", id, got, where)
		}
	}

	f.record.note("%d answers were followed by additional bytes; of %d requests that may run once at most, %d ran more than once and %d were refused though they ran",
		spoilt.Load(), len(t.results), twice, refused)

	return twice+refused > 0, nil
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
