package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a sound application worker: one start of it.
type worker struct {
	machine  *machine
	instance string
	born     int64
	listener net.Listener
	sequence atomic.Uint64
	free     chan struct{}
	conns    sync.Map
	// silent stops the heartbeats.
	silent     chan struct{}
	silentOnce sync.Once
	// onRun is called for each request that begins to run; it reports whether the request crashes the worker.
	onRun func(w *worker, r *http.Request) (crashes bool)
	// afterAnswer is called after each complete answer.
	afterAnswer func(w *worker, c *lockedConn)
}

// lockedConn lets one answer at a time be written to a connection.
type lockedConn struct {
	net.Conn
	mu sync.Mutex
}

// Write implements io.Writer.
func (c *lockedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.Conn.Write(p)
}

// onRun is the observer of the case, for all workers.
var onRun = func(*worker, *http.Request) bool { return false }

// afterAnswer is what faulty workers of the case do after an answer.
var afterAnswer = func(*worker, *lockedConn) {}

var runs atomic.Int64

func startWorker(m *machine) error {
	l, err := net.Listen("tcp", m.address(portWorker))
	if err != nil {
		return err
	}

	w := &worker{
		machine: m, instance: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), listener: l,
		free: make(chan struct{}, slots), silent: make(chan struct{}), onRun: onRun, afterAnswer: afterAnswer,
	}
	m.worker.Store(w)

	go w.accept()
	go w.heartbeats()

	return nil
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}

		w.conns.Store(c, nil)

		go w.serve(c)
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() []byte {
	body, _ := json.Marshal(map[string]any{
		"address": w.machine.address(portWorker), "born": w.born,
		"info":   map[string]any{"service": w.machine.service, "version": "v1", "zone": w.machine.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": w.sequence.Add(1), "cold_remaining": "0ms"},
	})

	return body
}

// call sends a call of the worker to the node on its machine and returns the status.
func (w *worker) call(what string, body []byte) (int, error) {
	url := "http://" + w.machine.address(portControl) + "/instances/" + w.instance + "/" + what

	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}

	r.Header.Set("Content-Type", "application/json")

	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	answer, err := c.Do(r)
	if err != nil {
		return 0, err
	}

	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()

	return answer.StatusCode, nil
}

func (w *worker) heartbeats() {
	for {
		// The next heartbeat repeats one that was not acknowledged.
		_, _ = w.call("heartbeat", w.heartbeat())

		select {
		case <-w.silent:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// quiet ends the heartbeats.
func (w *worker) quiet() { w.silentOnce.Do(func() { close(w.silent) }) }

// end ends the worker's process: its port refuses connections, and those that are open break.
func (w *worker) end() {
	w.quiet()
	w.listener.Close()
	w.conns.Range(func(c, _ any) bool {
		c.(net.Conn).Close()

		return true
	})
}

// watched is a reader that can tell when the peer has closed the connection while a request runs.
type watched struct {
	reader  *bufio.Reader
	pending chan struct{}
}

// begin starts the watch and returns a channel that is closed when the peer closes.
func (v *watched) begin() <-chan struct{} {
	gone, pending := make(chan struct{}), make(chan struct{})
	v.pending = pending

	go func() {
		defer close(pending)

		if _, err := v.reader.Peek(1); err != nil {
			close(gone)
		}
	}()

	return gone
}

// end waits for the watch to end: the next request has come, or the connection has ended.
func (v *watched) end() {
	if v.pending != nil {
		<-v.pending
	}
}

func (w *worker) serve(raw net.Conn) {
	defer raw.Close()
	defer w.conns.Delete(raw)

	c := &lockedConn{Conn: raw}

	v := &watched{reader: bufio.NewReader(c)}

	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		v.end()

		r, err := http.ReadRequest(v.reader)
		if err != nil {
			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		_ = c.SetReadDeadline(time.Time{})

		if !w.answer(c, v, r, body) {
			return
		}

		w.afterAnswer(w, c)
	}
}

// answer runs one request and reports whether the connection stays open.
func (w *worker) answer(c *lockedConn, v *watched, r *http.Request, body []byte) bool {
	id := r.Header.Get("Sycamoretiller-Attempt-Id")

	respond := func(status int, header, text string) bool {
		_, err := c.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nSycamoretiller-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), id, header, len(text), text))

		return err == nil
	}

	const notExecuted = "Sycamoretiller-Not-Executed: 1\r\n"

	if e := r.Header.Get("Sycamoretiller-Expected-Instance"); e != "" && e != w.instance {
		return respond(http.StatusMisdirectedRequest, notExecuted, "")
	}

	deadline, err := strconv.Atoi(r.Header.Get("Sycamoretiller-Deadline-Ms"))
	if err != nil {
		return respond(http.StatusBadRequest, notExecuted, "")
	}

	gone, expired := v.begin(), time.After(time.Duration(deadline)*time.Millisecond)

	select {
	case w.free <- struct{}{}:
	case <-expired:
		return respond(http.StatusServiceUnavailable, notExecuted, "")
	case <-gone:
		return false
	}
	defer func() { <-w.free }()

	w.machine.fleet.record.printf("run %s %s %s at %s %s", id, r.Method, r.RequestURI, w.machine.name, w.instance)

	if w.onRun(w, r) {
		// This worker does not drop a request when its connection closes.
		time.Sleep(crashAfter)

		go w.crash()
		<-gone

		return false
	}

	signature := fmt.Sprintf("Sycamoretiller-Response-Signature: %s.%d\r\n", w.instance, runs.Add(1))

	select {
	case <-time.After(time.Duration(60+rand.IntN(60)) * time.Millisecond):
		return respond(http.StatusOK, signature, "done "+string(body))
	case <-expired:
		return respond(http.StatusGatewayTimeout, signature, "")
	case <-gone:
		return false
	}
}

// crashAfter is how long a crashing request runs.
var crashAfter time.Duration

// crashPause is how long a crashed worker is down.
const crashPause = 3 * time.Second

// crash ends the worker and starts another one on its machine after some seconds.
func (w *worker) crash() {
	w.end()
	w.machine.fleet.record.note("the worker on %s crashed", w.machine.name)
	time.Sleep(crashPause)

	if err := startWorker(w.machine); err != nil {
		w.machine.fleet.record.note("the worker on %s doesn't start again: %v", w.machine.name, err)
	}
}

// wait sleeps and reports whether the context is still valid.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
