package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// exchange is one request and its response. It is the handler's http.ResponseWriter.
type exchange struct {
	conn *conn
	head *head
	body *body
	// preceding is closed when all preceding responses have been written.
	preceding <-chan struct{}
	done      chan struct{}

	header  http.Header
	status  int
	length  int64
	written int64
	sent    bool
	chunked bool
	last    bool
	err     error
	buffer  []byte
}

// maxBufferedBytes is how much of a response is buffered while preceding responses are written, before the handler blocks.
const maxBufferedBytes = 64 << 10

var (
	_ http.ResponseWriter = (*exchange)(nil)

	errBodyTooLong = errors.New("the response body exceeds its Content-Length")
)

func newExchange(c *conn, h *head, preceding <-chan struct{}) *exchange {
	e := &exchange{conn: c, head: h, preceding: preceding, done: make(chan struct{}), header: http.Header{}, length: -1}

	var onFirstRead func()
	if h.expectsContinue() {
		onFirstRead = e.sendContinue
	}

	e.body = newBody(c.reader, h, onFirstRead)

	return e
}

type precedingKey struct{}

// AwaitPrecedingResponses waits until the responses to all requests pipelined before this one have been written. It returns the context's
// error if the request is cancelled first, such as by the close of the connection. A request that is not idempotent must not run earlier,
// since its caller retries it if a preceding response closes the connection.
func AwaitPrecedingResponses(ctx context.Context) error {
	preceding, ok := ctx.Value(precedingKey{}).(<-chan struct{})
	if !ok {
		return nil
	}

	select {
	case <-preceding:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *exchange) run() {
	// exchangeDone must run before done is closed, so that the next response does not count this request as unanswered.
	defer close(e.done)
	defer e.conn.exchangeDone()
	defer e.recover()

	ctx, cancel := context.WithCancel(context.WithValue(e.conn.ctx, precedingKey{}, e.preceding))
	defer cancel()

	r := e.head.request(e.body).WithContext(ctx)
	r.RemoteAddr = e.conn.raw.RemoteAddr().String()

	e.conn.acceptor.handler.ServeHTTP(e, r)
	e.complete()
}

// recover closes the connection after a panic of the handler, so that a fault in one request does not end the others. Handlers panic with
// http.ErrAbortHandler on purpose; any other panic is logged.
func (e *exchange) recover() {
	p := recover()
	if p == nil {
		return
	}

	e.conn.abort()

	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		e.conn.acceptor.options.Log.Error(eris.Errorf("panic: %v", p), "request handler panicked", "method", e.head.method)
	}
}

// Header returns the response headers.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader sets the status; only the first call has an effect. The headers are sent later.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 {
		return
	}

	e.status = status

	if n, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64); err == nil {
		e.length = n
	}
}

// Write writes a part of the body. Up to maxBufferedBytes are buffered; beyond that it blocks until the preceding responses have been
// written.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)

	if e.err != nil {
		return 0, e.err
	}

	e.written += int64(len(p))
	if e.length >= 0 && e.written > e.length {
		return 0, errBodyTooLong
	}

	if !e.sent && len(e.buffer)+len(p) <= maxBufferedBytes {
		e.buffer = append(e.buffer, p...)

		return len(p), nil
	}

	if err := e.flush(); err != nil {
		return 0, err
	}

	return len(p), e.writeBody(p)
}

// SetReadDeadline sets the deadline for reading the request's body.
func (e *exchange) SetReadDeadline(t time.Time) error { return e.conn.raw.SetReadDeadline(t) }

// flush waits until the preceding responses have been written and sends the headers and the buffered body.
func (e *exchange) flush() error {
	if e.sent || e.err != nil {
		return e.err
	}

	if e.err = e.conn.awaitTurn(e.preceding); e.err != nil {
		return e.err
	}

	e.sent = true
	e.writeHead()

	return e.writeBody(e.buffer)
}

func (e *exchange) writeBody(p []byte) error {
	if len(p) == 0 || e.err != nil || !e.hasBody() {
		return e.err
	}

	// A caller that reads too slowly loses its connection.
	_ = e.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))

	var err error

	if e.chunked {
		_, err = fmt.Fprintf(e.conn.writer, "%x\r\n%s\r\n", len(p), p)
	} else {
		_, err = e.conn.writer.Write(p)
	}

	if err != nil {
		e.err = err
		e.conn.abort()
	}

	return err
}

func (e *exchange) hasBody() bool {
	return e.head.method != http.MethodHead && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

func (e *exchange) writeHead() {
	// After an unread body the connection is not positioned at the next request.
	atNextRequest := e.body.consumed() || e.body.discard(maxDiscardBytes)
	unbounded := e.hasBody() && e.length < 0
	e.chunked = unbounded && e.head.minor == 1
	e.last = e.conn.closeAfter(!atNextRequest || (unbounded && !e.chunked), e.head.wantsClose() || e.conn.acceptor.isDraining())

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

// complete sends the rest of the response. It closes the connection if the handler wrote less than the Content-Length.
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
	if e.conn.awaitTurn(e.preceding) != nil {
		return
	}

	_, _ = e.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = e.conn.writer.Flush()
}

// writeErrorResponse answers a request that could not be read and announces the close of the connection.
func writeErrorResponse(c *conn, status int) {
	_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	_ = c.writer.Flush()
}
