package exchanger

import (
	"bufio"
	"cmp"
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

// ErrNoMatchingResponse is returned when the connection carried only responses to other requests, or one too large to discard.
var ErrNoMatchingResponse = eris.New("the answers on the connection belong to other requests")

// Request is an HTTP request. It is sent at most once.
type Request struct {
	To     tiller.Address
	Method string
	Target string
	Host   string
	Header http.Header
	// Prefix is the first part of the body, or the complete body if Rest is nil.
	Prefix []byte
	// Rest is the remainder of a body that is too large to buffer; it is read once.
	Rest io.Reader
	// Length is the body's length in bytes, negative if unknown.
	Length int64
	// ID identifies the request to the server, empty if it has none. It is not sent again on a connection that has carried it, since a late copy
	// of the first response would match.
	ID string
	// Matches reports whether a response with the given headers may belong to this request; nil accepts every response.
	Matches func(h http.Header) bool
	// Identifies reports whether a matching response names this request; nil accepts every response. One that does not is accepted only on a
	// connection without earlier requests, where it cannot be a copy of an earlier response. The connection is closed afterwards.
	Identifies func(h http.Header) bool
	// AckTimeout is how long sent bytes may stay unacknowledged, and the peer silent, before the connection fails; zero means the exchanger's.
	AckTimeout time.Duration
	// BeforeSend is called once a connection is open, before the first byte is sent. If it returns an error, nothing is sent. It may be nil.
	BeforeSend func() error
}

// expectsIdentification reports whether servers name the request in their responses.
func (r Request) expectsIdentification() bool {
	return r.Identifies != nil && !r.Identifies(http.Header{})
}

// identifies reports whether a response names the request.
func (r Request) identifies(h http.Header) bool { return r.Identifies == nil || r.Identifies(h) }

// Response is the head of a response with its unread body, which the caller must close.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, negative if unknown.
	Length int64
}

// ExchangeError is a failed exchange. It reports how far the request got.
type ExchangeError struct {
	err       error
	sent      bool
	refused   bool
	responded bool
}

// Error returns the text of the cause.
func (e *ExchangeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.err }

// Sent reports whether any byte of the request may have reached the server.
func (e *ExchangeError) Sent() bool { return e.sent }

// Refused reports whether the server's port refused the connection.
func (e *ExchangeError) Refused() bool { return e.refused }

// Broken reports whether the connection ended after the request was sent and before any byte of a response arrived.
func (e *ExchangeError) Broken() bool { return e.sent && !e.responded }

// Do sends a request, without retries, and returns the head of its response. When the context ends, the connection is closed so that the
// server can stop working on the request.
func (x *Exchanger) Do(ctx context.Context, r Request) (*Response, *ExchangeError) {
	c, err := x.get(ctx, r)
	if err != nil {
		return nil, &ExchangeError{err: err, refused: errors.Is(err, syscall.ECONNREFUSED)}
	}

	if err := c.setAckTimeout(cmp.Or(r.AckTimeout, x.options.ackTimeout())); err != nil {
		c.close()

		return nil, &ExchangeError{err: err}
	}

	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			x.put(c)

			return nil, &ExchangeError{err: err}
		}
	}

	e := &exchange{pool: x, conn: c, request: r, out: x.options.Shaper.Writer(ctx, c.writer)}
	c.recordSent(r)
	e.stop = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })

	resp, failure := e.run()
	if failure != nil {
		e.end(false)
	}

	return resp, failure
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Exchanger
	conn    *conn
	request Request
	// out writes to the connection, paced by the shaper.
	out  io.Writer
	stop func() bool

	mu             sync.Mutex
	requestWritten bool
	ended          bool
}

func (e *exchange) run() (*Response, *ExchangeError) {
	sent, err := e.send()
	if err != nil && !sent {
		return nil, &ExchangeError{err: err}
	}

	// A server may respond before it has read the complete request, so a response is read even after a failed write.
	resp, responded, err := e.receive() //nolint:bodyclose // responseBody closes it
	if err != nil {
		return nil, &ExchangeError{err: err, sent: true, responded: responded}
	}

	response := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	response.Body = &responseBody{Reader: resp.Body, exchange: e, reusable: e.request.identifies(resp.Header) && !resp.Close && resp.ContentLength >= -1}

	if timeout, ok := keepAliveTimeout(resp.Header); ok {
		e.conn.idleTimeout = max(timeout-idleMargin, 0)
	}

	return response, nil
}

// send writes the head and Prefix, and reports whether any byte may have reached the server. If there is a Rest, the request is written in
// the background while the response is read.
func (e *exchange) send() (bool, error) {
	if e.request.Rest != nil {
		w := bufio.NewWriterSize(e.out, writeBufferBytes)
		e.writeHead(w)

		go func() { e.setRequestWritten(e.writeBody(w) == nil) }()

		return true, nil
	}

	var sent bool

	w := bufio.NewWriterSize(&sentTracker{writer: e.out, sent: &sent}, writeBufferBytes)
	e.writeHead(w)
	_, _ = w.Write(e.request.Prefix)
	err := w.Flush()
	e.setRequestWritten(err == nil)

	return sent, err
}

// sentTracker records whether any byte was written.
type sentTracker struct {
	writer io.Writer
	sent   *bool
}

func (w *sentTracker) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	*w.sent = *w.sent || n > 0

	return n, err
}

func (e *exchange) setRequestWritten(complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.requestWritten = complete
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

// writeBody streams the body and flushes each part. A truncated body is never terminated, so that the server does not take it for
// complete.
func (e *exchange) writeBody(w *bufio.Writer) error {
	remaining := e.request.Length
	chunked := remaining < 0
	buffer := make([]byte, streamBufferBytes)
	part := e.request.Prefix

	var err error

	for err == nil {
		if err = e.writePart(w, part, chunked); err != nil {
			break
		}

		remaining -= int64(len(part))

		var n int

		n, err = e.request.Rest.Read(buffer)
		part = buffer[:n]
	}

	if errors.Is(err, io.EOF) {
		err = e.writePart(w, part, chunked)
		remaining -= int64(len(part))
	}

	switch {
	case err != nil:
		return e.abort(err)
	case chunked:
		_, _ = w.WriteString("0\r\n\r\n")

		return w.Flush()
	case remaining != 0:
		return e.abort(io.ErrUnexpectedEOF)
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

// abort makes the read of the response fail, since the server waits for the rest of the request and would not respond. It returns err.
func (e *exchange) abort(err error) error {
	_ = e.conn.raw.SetDeadline(time.Unix(1, 0))

	return err
}

const streamBufferBytes = 32 << 10

// receive reads the head of this request's response, after interim responses and those to other requests. responded reports whether any
// byte of a response arrived.
func (e *exchange) receive() (resp *http.Response, responded bool, err error) {
	for range maxUnmatched {
		e.conn.limited.N = maxHeaderBytes

		if _, err := e.conn.reader.Peek(1); err != nil {
			return nil, responded, err
		}

		responded = true

		resp, err = http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, responded, err
		}

		e.conn.limited.N = 1<<63 - 1

		if resp.StatusCode < http.StatusOK {
			continue
		}

		if e.accepts(resp.Header) {
			return resp, responded, nil
		}

		if err := discardBody(resp.Body); err != nil {
			return nil, responded, err
		}
	}

	return nil, responded, ErrNoMatchingResponse
}

// accepts reports whether a response belongs to this request. On a connection that has carried other requests it must name this one.
func (e *exchange) accepts(h http.Header) bool {
	matches := e.request.Matches == nil || e.request.Matches(h)

	return matches && (e.conn.sent == 1 || e.request.identifies(h))
}

// discardBody reads the body of a response to another request. It is bounded, since an endless body would block the call until its deadline.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		return ErrNoMatchingResponse
	}

	return err
}

// end releases the connection once, to the pool if it can be reused.
func (e *exchange) end(reusable bool) {
	e.mu.Lock()
	ended, written := e.ended, e.requestWritten
	e.ended = true
	e.mu.Unlock()

	if ended {
		return
	}

	// If stop succeeds, the cancellation has not set a deadline on the connection.
	if e.stop() && reusable && written && e.conn.reader.Buffered() == 0 {
		e.pool.put(e.conn)

		return
	}

	// The writing of a body that is in progress stops when the connection closes or its source ends.
	e.conn.close()
}

// responseBody reads a response body and releases the connection at its end.
type responseBody struct {
	io.Reader
	exchange *exchange
	reusable bool
	complete bool
}

// Read reads the body and releases the connection at its end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.exchange.end(b.reusable)
	}

	return n, err
}

// Close releases the connection, which is closed unless the complete response was read.
func (b *responseBody) Close() error {
	b.exchange.end(b.reusable && b.complete)

	return nil
}

// splitHeaderList yields the elements of a comma-separated header value.
func splitHeaderList(v string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(v, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}
