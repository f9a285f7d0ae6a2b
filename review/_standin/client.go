package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host         = "ficu95.example"
	prefixLookup = "/lohu930/"
	prefixFiling = "/pufi791/"
	prefixPull   = "/archive/"
)

// route is a route of the configuration with the deadline of its clients.
type route struct {
	prefix     string
	service    string
	kind       string
	timeoutMs  int
	targetMs   int
	deadlineMs int
	priority   int
}

var routes = map[string]route{
	"r-lookup": {prefixLookup, serviceBook, "idempotent", 1200, 300, 1200, 2},
	"r-filing": {prefixFiling, serviceBook, "non_idempotent", 800, 400, 1500, 1},
	"r-pull":   {prefixPull, serviceArchive, "idempotent", 1200, 600, 2500, 2},
}

// configuration returns the first configuration.
func configuration() []byte {
	rs := map[string]any{}
	for name, r := range routes {
		rs[name] = map[string]any{
			"host": host, "path_prefix": r.prefix, "route_type": r.kind, "timeout": fmt.Sprintf("%dms", r.timeoutMs),
			"target_latency": fmt.Sprintf("%dms", r.targetMs), "priority": r.priority, "service": r.service, "max_attempts": 2,
		}
	}

	services := map[string]any{}
	for _, s := range []string{serviceBook, serviceArchive} {
		services[s] = map[string]any{"health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false}
	}

	out, _ := json.Marshal(map[string]any{
		"version": "r5", "routes": rs, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})

	return out
}

var lastID atomic.Uint64

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)*0x9e3779b97f4a7c15) }

// result is what a client has seen of one request.
type result struct {
	status int
	// signed is set if the answer bears a worker's signature.
	signed bool
	err    error
}

func (r result) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.signed:
		return fmt.Sprintf("%d of a worker", r.status)
	default:
		return fmt.Sprintf("%d of the system", r.status)
	}
}

// request is one attempt of a client.
type request struct {
	id, method, path, body string
	// deadlineMs is the stated deadline, and patienceMs how long the client waits, the deadline if zero.
	deadlineMs, patienceMs int
}

// send sends one request on a new connection to a machine's outbound address, waits for the answer and closes the connection.
func send(m *machine, r request) result {
	end := time.Now().Add(time.Duration(cmp.Or(r.patienceMs, r.deadlineMs)) * time.Millisecond)

	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()

	_ = c.SetDeadline(end)

	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nSycamoretiller-Attempt-Id: %s\r\nSycamoretiller-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.path, host, r.id, r.deadlineMs, len(r.body), r.body)
	if err != nil {
		return result{err: err}
	}

	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	defer answer.Body.Close()

	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return result{err: err}
	}

	return result{status: answer.StatusCode, signed: answer.Header.Get("Sycamoretiller-Response-Signature") != ""}
}

// traffic is the usual traffic of clients on all machines.
type traffic struct {
	record *recorder
	mu     sync.Mutex
	counts map[string]int
	// results are what the clients have seen, by the id of the request, for the requests that may run once at most.
	results map[string]result
	wg      sync.WaitGroup
}

func newTraffic(r *recorder) *traffic {
	return &traffic{record: r, counts: map[string]int{}, results: map[string]result{}}
}

// begin starts clients on every machine. Each sends a request and pauses.
func (t *traffic) begin(ctx context.Context, f *fleet, perMachine int) {
	for _, m := range f.sides {
		for range perMachine {
			t.wg.Go(func() {
				for wait(ctx, time.Duration(100+rand.IntN(300))*time.Millisecond) {
					if !m.out.Load() {
						t.sendOne(m)
					}
				}
			})
		}
	}
}

func (t *traffic) sendOne(m *machine) {
	name := []string{"r-lookup", "r-filing", "r-pull"}[rand.IntN(3)]
	r := routes[name]
	method, body := http.MethodGet, ""

	if r.kind == "non_idempotent" {
		method, body = http.MethodPost, "a finished batch"
	}

	id := newID()
	path := fmt.Sprintf("%s%x", r.prefix, rand.Uint32())
	t.record.printf("sent %s %s %s at %s", id, method, path, m.name)

	got := send(m, request{id: id, method: method, path: path, body: body, deadlineMs: r.deadlineMs})
	t.record.printf("answered %s at %s: %s", id, m.name, got)

	text := got.String()
	if got.err != nil {
		text = "no answer"
	}

	t.mu.Lock()
	t.counts[name+" "+text]++

	if r.kind == "non_idempotent" {
		t.results[id] = got
	}
	t.mu.Unlock()
}

// report waits for the clients and writes the counts of their answers.
func (t *traffic) report() {
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()

	t.record.note("usual traffic by answer: %v", t.counts)
}
