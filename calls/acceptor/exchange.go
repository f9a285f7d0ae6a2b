package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// exchange is one request and its answer; it is the handler's response writer.
type exchange struct {
	conn *conn
	head *head
	body *body
	// turn is closed when all answers before this one are written.
	turn <-chan struct{}
	done chan struct{}

	header  http.Header
	status  int
	length  int64
	written int64
	sent    bool
	chunked bool
	last    bool
	failed  error
	buffer  []byte
}

// maxPending is how much of an answer waits for its turn in memory before the handler has to wait too.
const maxPending = 64 << 10

var (
	_ http.ResponseWriter = (*exchange)(nil)

	errTooLong = errors.New("the answer is longer than its content length")
)

func newExchange(c *conn, h *head, turn <-chan struct{}) *exchange {
	e := &exchange{conn: c, head: h, turn: turn, done: make(chan struct{}), header: http.Header{}, length: -1}

	var proceed func()
	if h.expectsContinue() {
		proceed = e.sendContinue
	}

	e.body = newBody(c.reader, h, proceed)

	return e
}

type turnKey struct{}

// AwaitTurn waits until every answer in front of a pipelined request has been written without closing the connection. A
// request that may run only once must not start before, since its caller sends it again after a close.
func AwaitTurn(ctx context.Context) error {
	turn, ok := ctx.Value(turnKey{}).(<-chan struct{})
	if !ok {
		return nil
	}

	select {
	case <-turn:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *exchange) run() {
	// The next answer must find this one counted as written.
	defer close(e.done)
	defer e.conn.finish()
	defer e.recover()

	ctx, cancel := context.WithCancel(context.WithValue(e.conn.ctx, turnKey{}, e.turn))
	defer cancel()

	r := e.head.request(e.body).WithContext(ctx)
	r.RemoteAddr = e.conn.raw.RemoteAddr().String()

	e.conn.acceptor.handler.ServeHTTP(e, r)
	e.complete()
}

// recover ends the connection of a handler that gave up in the middle of an answer.
func (e *exchange) recover() {
	p := recover()
	if p == nil {
		return
	}

	e.conn.abort()

	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
}

// Header returns the headers to send.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader sets the status.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 {
		return
	}

	e.status = status

	if n, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64); err == nil {
		e.length = n
	}
}

// Write sends a part of the body; parts that come before the answer's turn are kept up to a bound.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)

	if e.failed != nil {
		return 0, e.failed
	}

	e.written += int64(len(p))
	if e.length >= 0 && e.written > e.length {
		return 0, errTooLong
	}

	if !e.sent && len(e.buffer)+len(p) <= maxPending {
		e.buffer = append(e.buffer, p...)

		return len(p), nil
	}

	if err := e.flush(); err != nil {
		return 0, err
	}

	return len(p), e.writeBody(p)
}

// SetReadDeadline bounds the reading of the request's body.
func (e *exchange) SetReadDeadline(t time.Time) error { return e.conn.raw.SetReadDeadline(t) }

// flush waits for the answer's turn and sends the headers with what is kept.
func (e *exchange) flush() error {
	if e.sent || e.failed != nil {
		return e.failed
	}

	select {
	case <-e.turn:
	case <-e.conn.ctx.Done():
		e.failed = e.conn.ctx.Err()

		return e.failed
	}

	e.sent = true
	e.writeHead()

	return e.writeBody(e.buffer)
}

func (e *exchange) writeBody(p []byte) error {
	if len(p) == 0 || e.failed != nil || !e.hasBody() {
		return e.failed
	}

	// A caller that reads too slowly gives its connection up.
	_ = e.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))

	var err error

	if e.chunked {
		_, err = fmt.Fprintf(e.conn.writer, "%x\r\n%s\r\n", len(p), p)
	} else {
		_, err = e.conn.writer.Write(p)
	}

	if err != nil {
		e.failed = err
		e.conn.abort()
	}

	return err
}

func (e *exchange) hasBody() bool {
	return e.head.method != http.MethodHead && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

func (e *exchange) writeHead() {
	// A body that was not read to its end leaves the connection in the middle of a request.
	readOn := e.body.whole() || e.body.discard(maxDiscardBytes)
	unbounded := e.hasBody() && e.length < 0
	e.chunked = unbounded && e.head.minor == 1
	e.last = e.conn.closeAfter(!readOn || (unbounded && !e.chunked), e.head.closes() || e.conn.acceptor.isDraining())

	e.prepareHeader()

	w := e.conn.writer
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", e.status, http.StatusText(e.status))
	_ = e.header.Write(w)
	_, _ = w.WriteString("\r\n")
}

func (e *exchange) prepareHeader() {
	h := e.header
	h.Del("Transfer-Encoding")
	h.Del("Connection")
	h.Del("Keep-Alive")

	switch {
	case e.chunked:
		h.Del("Content-Length")
		h.Set("Transfer-Encoding", "chunked")
	case e.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(e.length, 10))
	}

	if e.last {
		h.Set("Connection", "close")
	} else if e.head.minor == 0 {
		h.Set("Connection", "keep-alive")
	}

	if _, ok := h["Date"]; !ok {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// complete sends what is left of the answer.
func (e *exchange) complete() {
	e.WriteHeader(http.StatusOK)

	if !e.sent && e.length < 0 && e.hasBody() {
		e.length = int64(len(e.buffer))
	}

	if e.flush() != nil {
		return
	}

	if e.length >= 0 && e.written < e.length && e.hasBody() {
		e.conn.abort()

		return
	}

	if e.chunked {
		_, _ = e.conn.writer.WriteString("0\r\n\r\n")
	}

	if e.conn.writer.Flush() != nil {
		e.conn.abort()
	}
}

func (e *exchange) sendContinue() {
	select {
	case <-e.turn:
		_, _ = e.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = e.conn.writer.Flush()
	case <-e.conn.ctx.Done():
	}
}

// writeFailure answers a request that could not be read.
func writeFailure(c *conn, status int) {
	_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	_ = c.writer.Flush()
}
