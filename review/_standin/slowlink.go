package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowLink lets a tenth of the filings come over slow links: the client needs a second for the request, longer than the route's timeout and
// shorter than its own deadline. It reports whether DENIED is broken.
func slowLink(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	const (
		span = 25 * time.Second
		// bodyBytes is the size of a filing in this case, and parts the number of packets in which a slow client sends it.
		bodyBytes = 24_000
		parts     = 20
		upload    = time.Second
	)

	if err := f.start(ctx, configuration()); err != nil {
		return false, err
	}

	usual, cancel := context.WithCancel(ctx)
	defer cancel()

	t := newTraffic(f.record)
	t.begin(usual, f, 4)

	var (
		mu       sync.Mutex
		denied   int
		uploads  int
		answers  = map[string]int{}
		body     = strings.Repeat("x", bodyBytes)
		partTime = time.Duration(0)
	)

	if trouble {
		partTime = upload / parts
	}

	for _, m := range f.sides {
		t.wg.Go(func() {
			for wait(usual, time.Duration(500+rand.IntN(500))*time.Millisecond) {
				id, path := newID(), fmt.Sprintf("%s%x", prefixFiling, rand.Uint32())
				f.record.printf("sent %s POST %s at %s, %d bytes in %d parts, %v apart", id, path, m.name, bodyBytes, parts, partTime)

				got := send(m, request{
					id: id, method: http.MethodPost, path: path, body: body, deadlineMs: routes["r-filing"].deadlineMs, parts: parts, pause: partTime,
				})
				f.record.printf("answered %s at %s: %s", id, m.name, got)

				mu.Lock()

				uploads++
				answers[got.String()]++

				if got.err == nil && !got.signed && denies(got.status) {
					denied++
				}
				mu.Unlock()
			}
		})
	}

	wait(ctx, span)
	cancel()
	t.report()

	all := uploads
	for _, n := range t.counts {
		all += n
	}

	f.record.note("filings of %d bytes by answer: %v", bodyBytes, answers)
	f.record.note("%d of %d requests were ended with a 3xx or 4xx of the system; 5 and one in 500 are allowed", denied, all)

	return float64(denied) > 5+float64(all)/500, nil
}

// denies reports whether a status of the system's own counts for DENIED.
func denies(status int) bool {
	return status >= 300 && status < 500 && !promises(status)
}
