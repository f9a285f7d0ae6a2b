package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// ErrForeign says that only answers to other requests came.
var ErrForeign = eris.New("the answers on the connection belong to other requests")

// Request is what is sent once.
type Request struct {
	To     tiller.Address
	Method string
	Target string
	Host   string
	Header http.Header
	// Prefix is the body's beginning, or all of it where Rest is nil.
	Prefix []byte
	// Rest is the remainder of a body that is too large to keep; it is read once.
	Rest io.Reader
	// Length is the body's length in bytes, negative if unknown.
	Length int64
	// Owns reports whether an answer belongs to this request; nil takes every answer.
	Owns func(h http.Header) bool
}

// Answer is the head of an answer with its unread body. The caller reads the body and closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, negative if unknown.
	Length int64
}

// ExchangeError says how an exchange failed.
type ExchangeError struct {
	err     error
	sent    bool
	refused bool
	begun   bool
}

// Error returns the cause.
func (f *ExchangeError) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.err }

// Sent reports whether any byte of the request may have reached the server.
func (f *ExchangeError) Sent() bool { return f.sent }

// Refused reports whether the server's port refused the connection.
func (f *ExchangeError) Refused() bool { return f.refused }

// Broken reports whether the connection ended after the request was sent and before any answer.
func (f *ExchangeError) Broken() bool { return f.sent && !f.begun }

// Do sends a request once and returns the head of its answer. When the context ends the connection is closed, which tells the
// server that nobody waits any more.
func (x *Exchanger) Do(ctx context.Context, r Request) (*Answer, *ExchangeError) {
	c, err := x.get(ctx, r.To)
	if err != nil {
		return nil, &ExchangeError{err: err, refused: errors.Is(err, syscall.ECONNREFUSED)}
	}

	e := &exchange{pool: x, conn: c, request: r, out: x.options.Shaper.Writer(ctx, c.writer)}
	e.stop = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })

	a, failure := e.run()
	if failure != nil {
		e.end(false)
	}

	return a, failure
}

// exchange is one request on its connection.
type exchange struct {
	pool    *Exchanger
	conn    *conn
	request Request
	// out writes to the connection as the VM's link allows.
	out  io.Writer
	stop func() bool

	mu      sync.Mutex
	written bool
	ended   bool
}

func (e *exchange) run() (*Answer, *ExchangeError) {
	sent, err := e.send()
	if err != nil && !sent {
		return nil, &ExchangeError{err: err}
	}

	// A server may answer a request that it has not read whole, so that a failed write is no reason not to read.
	resp, begun, err := e.receive() //nolint:bodyclose // the body of the answer closes it
	if err != nil {
		return nil, &ExchangeError{err: err, sent: true, begun: begun}
	}

	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	a.Body = &answerBody{Reader: resp.Body, exchange: e, reusable: !resp.Close && resp.ContentLength >= -1}

	if timeout, ok := keepAliveTimeout(resp.Header); ok {
		e.conn.idleFor = max(timeout-idleMargin, 0)
	}

	return a, nil
}

// send writes the head with the body's beginning and reports whether the server may have any of it. A body that is too large to
// keep is written beside the reading.
func (e *exchange) send() (bool, error) {
	if e.request.Rest != nil {
		w := bufio.NewWriterSize(e.out, writeBufferBytes)
		e.writeHead(w)

		go func() { e.setWritten(e.writeBody(w) == nil) }()

		return true, nil
	}

	var sent bool

	w := bufio.NewWriterSize(&countingWriter{writer: e.out, sent: &sent}, writeBufferBytes)
	e.writeHead(w)
	_, _ = w.Write(e.request.Prefix)
	err := w.Flush()
	e.setWritten(err == nil)

	return sent, err
}

// countingWriter notes whether anything was written.
type countingWriter struct {
	writer io.Writer
	sent   *bool
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	*w.sent = *w.sent || n > 0

	return n, err
}

func (e *exchange) setWritten(whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.written = whole
}

func (e *exchange) writeHead(w *bufio.Writer) {
	r := e.request
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)

	switch {
	case r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}

	_, _ = w.WriteString("\r\n")
}

// writeBody streams a body, each part as it comes. One that breaks off is never ended, so that the server does not take it for
// whole.
func (e *exchange) writeBody(w *bufio.Writer) error {
	left := e.request.Length
	chunked := left < 0
	buffer := make([]byte, streamBufferBytes)
	part := e.request.Prefix

	var err error

	for err == nil {
		if err = e.writePart(w, part, chunked); err != nil {
			break
		}

		left -= int64(len(part))

		var n int

		n, err = e.request.Rest.Read(buffer)
		part = buffer[:n]
	}

	if errors.Is(err, io.EOF) {
		err = e.writePart(w, part, chunked)
		left -= int64(len(part))
	}

	switch {
	case err != nil:
		return e.breakOff(err)
	case chunked:
		_, _ = w.WriteString("0\r\n\r\n")

		return w.Flush()
	case left != 0:
		return e.breakOff(io.ErrUnexpectedEOF)
	default:
		return nil
	}
}

func (e *exchange) writePart(w *bufio.Writer, part []byte, chunked bool) error {
	if len(part) == 0 {
		return nil
	}

	if chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
		_, _ = w.Write(part)
		_, _ = w.WriteString("\r\n")
	} else {
		_, _ = w.Write(part)
	}

	return w.Flush()
}

// breakOff ends the reading too: the server waits for the rest of a request that will not come.
func (e *exchange) breakOff(err error) error {
	_ = e.conn.raw.SetDeadline(time.Unix(1, 0))

	return err
}

const streamBufferBytes = 32 << 10

// receive reads the head of this request's answer; begun tells whether any byte of an answer came.
func (e *exchange) receive() (resp *http.Response, begun bool, err error) {
	for range maxForeign {
		e.conn.limited.N = maxHeaderBytes

		if _, err := e.conn.reader.Peek(1); err != nil {
			return nil, begun, err
		}

		begun = true

		resp, err = http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, begun, err
		}

		e.conn.limited.N = 1<<63 - 1

		if resp.StatusCode < http.StatusOK {
			continue
		}

		if e.request.Owns == nil || e.request.Owns(resp.Header) {
			return resp, begun, nil
		}

		if err := skip(resp.Body); err != nil {
			return nil, begun, err
		}
	}

	return nil, begun, ErrForeign
}

// skip reads the body of an answer to another request; one without an end would hold the connection until the caller's deadline.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		return ErrForeign
	}

	return err
}

// end releases the connection, to the pool if it is at the next request.
func (e *exchange) end(reusable bool) {
	e.mu.Lock()
	ended, written := e.ended, e.written
	e.ended = true
	e.mu.Unlock()

	if ended {
		return
	}

	// A stopped cancellation leaves no deadline behind.
	if e.stop() && reusable && written && e.conn.reader.Buffered() == 0 {
		e.pool.put(e.conn)

		return
	}

	// A body that is still being written ends with the connection, or when its own source ends.
	e.conn.close()
}

// answerBody reads an answer's body and releases the connection at its end.
type answerBody struct {
	io.Reader
	exchange *exchange
	reusable bool
	whole    bool
}

// Read reads a part of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
		b.exchange.end(b.reusable)
	}

	return n, err
}

// Close releases the connection; one whose answer was not read whole is closed.
func (b *answerBody) Close() error {
	b.exchange.end(b.reusable && b.whole)

	return nil
}

// splitList yields the parts of a comma-separated header value.
func splitList(v string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(v, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}
