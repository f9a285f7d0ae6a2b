package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/peeker"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 8 << 10
	// maxDiscardBytes is how much of an unread body is discarded to keep the connection open.
	maxDiscardBytes = 256 << 10
	// lingerTimeout lets a caller read the last response before the connection closes with unread input.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout closes connections whose caller does not read the response.
	writeTimeout = 30 * time.Second
)

// conn is one connection of a caller.
type conn struct {
	acceptor *Acceptor
	raw      net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	// slots limits the concurrent requests to maxPipelined.
	slots     chan struct{}
	exchanges sync.WaitGroup

	mu sync.Mutex
	// unanswered counts the requests that have been read but not yet answered.
	unanswered int
	// closing is set once a response has announced the close of the connection.
	closing bool
	reading bool
	// noMoreRequests is set once a drain stops the reading of requests; a caller that pipelines without pause would otherwise keep the
	// connection open.
	noMoreRequests bool
}

func newConn(a *Acceptor, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), http.LocalAddrContextKey, raw.LocalAddr()))

	c := &conn{acceptor: a, raw: raw, ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxPipelined)}

	var (
		in  io.Reader = raw
		out io.Writer = raw
	)

	if !SameVM(raw.RemoteAddr().String(), raw.LocalAddr().String()) {
		in = a.options.Meter.Reader(raw)
		out = a.options.Meter.Writer(a.options.Shaper.Writer(ctx, raw))
	}

	c.reader = bufio.NewReaderSize(in, readBufferBytes)
	c.writer = bufio.NewWriterSize(out, writeBufferBytes)

	return c
}

// SameVM reports whether two host:port addresses are on the same VM, so that traffic between them does not use the VM's link.
func SameVM(remote, local string) bool {
	remoteHost, _, err := net.SplitHostPort(remote)
	localHost, _, localErr := net.SplitHostPort(local)

	return errors.Join(err, localErr) == nil && (remoteHost == localHost || net.ParseIP(remoteHost).IsLoopback())
}

// abort cancels the running requests and closes the connection immediately.
func (c *conn) abort() {
	c.cancel()
	// The peer may already have closed it.
	_ = c.raw.Close()
}

// closeIfIdle ends the connection unless a request is being read or answered or has arrived unread. The wait for a request is interrupted
// rather than the connection closed: only the goroutine that reads knows whether it has just received the first bytes of one.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.unanswered > 0 || c.reading:
	case !c.closing:
		c.setReadDeadline(time.Now())
	case peeker.Peek(c.raw) != peeker.StatePending:
		c.abort()
	}
}

// serve reads requests and runs their handlers until the connection ends.
func (c *conn) serve() {
	defer c.acceptor.remove(c)
	defer c.abort()

	preceding := make(chan struct{})
	close(preceding)

	for {
		h, err := c.next()
		if err != nil {
			c.respondError(err, preceding)

			break
		}

		e := c.begin(h, preceding)
		if e == nil {
			break
		}

		preceding = e.done

		go e.run()

		if !c.awaitBody(e) {
			break
		}
	}

	if !c.isEnding() {
		// The caller disconnected or sent a truncated request and does not wait for the responses.
		c.cancel()
	}

	c.exchanges.Wait()
	c.linger()
}

// next waits for the next request and returns its head.
func (c *conn) next() (*head, error) {
	limits := c.acceptor.limits()
	c.setIdleDeadline(limits)

	for {
		b, err := c.peek(limits)
		if err != nil {
			return nil, err
		}

		if b[0] != '\r' && b[0] != '\n' {
			break
		}

		// Empty lines before a request line are allowed.
		if _, err := c.reader.Discard(1); err != nil {
			return nil, err
		}
	}

	if !c.startReading(limits) {
		return nil, net.ErrClosed
	}

	h, err := readHead(c.reader, limits.headerBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadTimeout
	}

	return h, err
}

// peek waits for the first byte of a request. A request that has arrived by the time at which the wait ends is served.
func (c *conn) peek(limits Limits) ([]byte, error) {
	for {
		b, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || peeker.Peek(c.raw) != peeker.StatePending {
			return b, err
		}

		c.setReadDeadline(time.Now().Add(limits.headerTimeout.Duration()))
	}
}

// setIdleDeadline limits the wait for a request to the idle timeout if no request is being answered.
func (c *conn) setIdleDeadline(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()

	deadline := time.Time{}
	if c.unanswered == 0 {
		deadline = time.Now().Add(limits.idleTimeout.Duration())
	}

	c.setReadDeadline(deadline)
}

// setReadDeadline sets the deadline of reads. Its error is ignored since reads of a closed connection fail anyway.
func (c *conn) setReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// startReading marks a request as being read, until begin registers it, and reports whether it is to be served.
func (c *conn) startReading(limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.noMoreRequests = c.noMoreRequests || (c.unanswered > 0 && c.acceptor.isDraining())
	if c.closing || c.noMoreRequests {
		return false
	}

	c.reading = true
	c.setReadDeadline(time.Now().Add(limits.headerTimeout.Duration()))

	return true
}

// begin registers a request whose head has been read. It returns nil if a response has announced the close of the connection or the
// connection has ended.
func (c *conn) begin(h *head, preceding <-chan struct{}) *exchange {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.reading = false
	c.setReadDeadline(time.Time{})

	if c.closing {
		return nil
	}

	c.unanswered++
	c.exchanges.Add(1)

	return newExchange(c, h, preceding)
}

// awaitBody waits until the request's body has been read or the request answered, and reports whether another request may follow.
func (c *conn) awaitBody(e *exchange) bool {
	select {
	case <-e.body.finished:
		return true
	case <-e.done:
		return e.body.consumed() && !e.last
	case <-c.ctx.Done():
		return false
	}
}

// isEnding reports whether the acceptor, rather than the caller, is ending the connection.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing || c.noMoreRequests
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing
}

// closeAfter reports whether a response is the last one of its connection. It is if must is set, since no response can follow it. If only
// wanted is set, the connection closes once all requests that were read have been answered.
func (c *conn) closeAfter(must, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if must || (wanted && c.unanswered == 1 && !c.reading) {
		c.closing = true
	}

	return c.closing
}

// exchangeDone unregisters a request that has been answered or aborted.
func (c *conn) exchangeDone() {
	c.mu.Lock()
	c.unanswered--
	idle := c.unanswered == 0 && !c.reading
	closing := c.closing

	if idle && !closing {
		c.setReadDeadline(time.Now().Add(c.acceptor.limits().idleTimeout.Duration()))
	}

	if closing {
		// Unblocks the reader, which is waiting for a request that will not be served.
		c.setReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.mu.Unlock()

	<-c.slots
	c.exchanges.Done()
}

// awaitTurn waits until all preceding responses have been written, and returns the context's error if the connection has ended. Only then may the
// caller write to the connection: once it has ended, a request is done without having waited for those before it, which may still be written.
func (c *conn) awaitTurn(preceding <-chan struct{}) error {
	select {
	case <-preceding:
	case <-c.ctx.Done():
	}

	return c.ctx.Err()
}

// respondError answers a request that could not be read, after all preceding responses.
func (c *conn) respondError(err error, preceding <-chan struct{}) {
	status := 0

	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, errHeadTimeout):
		status = http.StatusRequestTimeout
	default:
		return
	}

	if c.awaitTurn(preceding) != nil {
		return
	}

	c.mu.Lock()
	answered := c.closing
	c.closing = true
	c.mu.Unlock()

	if !answered {
		writeErrorResponse(c, status)
	}
}

// linger reads until lingerTimeout, since closing with unread input resets the connection and may discard the last response.
func (c *conn) linger() {
	if !c.isClosing() || c.ctx.Err() != nil {
		return
	}

	if t, ok := c.raw.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTimeout))

		// Input that arrives now is discarded; the last response has announced the close.
		buffer := make([]byte, readBufferBytes)
		for {
			if _, err := c.raw.Read(buffer); err != nil {
				return
			}
		}
	}
}
