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
	// maxDiscardBytes is how much of an unread body is read so that the connection can be kept.
	maxDiscardBytes = 256 << 10
	// lingerTimeout lets a caller read the last answer before the connection closes with bytes unread.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout ends connections whose caller does not read.
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
	slots    chan struct{}
	wait     sync.WaitGroup

	mu sync.Mutex
	// open counts the requests that were read and not yet answered.
	open int
	// closing is set once an answer has told the caller that the connection closes.
	closing bool
	reading bool
	// last is set when no further request is read: a caller that always has one behind another would never see the end.
	last bool
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

// SameVM reports whether two addresses are on the same VM, so that bytes between them pass no link.
func SameVM(remote, local string) bool {
	remoteHost, _, err := net.SplitHostPort(remote)
	localHost, _, localErr := net.SplitHostPort(local)

	return errors.Join(err, localErr) == nil && (remoteHost == localHost || net.ParseIP(remoteHost).IsLoopback())
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.cancel()
	// The other side may have closed it already.
	_ = c.raw.Close()
}

// closeIfIdle closes the connection unless a request is being read or answered, or has arrived meanwhile.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.open > 0 || c.reading || peeker.Peek(c.raw) == peeker.StatePending {
		return false
	}

	c.closing = true
	c.abort()

	return true
}

// serve reads requests and starts them until the connection ends.
func (c *conn) serve() {
	defer c.acceptor.forget(c)
	defer c.abort()

	turn := make(chan struct{})
	close(turn)

	for {
		h, err := c.next()
		if err != nil {
			c.fail(err, turn)

			break
		}

		e := c.begin(h, turn)
		if e == nil {
			break
		}

		turn = e.done

		go e.run()

		if !c.awaitBody(e) {
			break
		}
	}

	if !c.isEnding() {
		// The caller left or broke off: nobody waits for the answers.
		c.cancel()
	}

	c.wait.Wait()
	c.linger()
}

// next waits for the next request and reads its head.
func (c *conn) next() (*head, error) {
	limits := c.acceptor.limits()
	c.setIdle(limits)

	for {
		b, err := c.reader.Peek(1)
		if err != nil {
			return nil, err
		}

		if b[0] != '\r' && b[0] != '\n' {
			break
		}

		// Blank lines in front of a request are allowed.
		if _, err := c.reader.Discard(1); err != nil {
			return nil, err
		}
	}

	if !c.startReading(limits) {
		return nil, net.ErrClosed
	}

	defer c.stopReading()

	h, err := readHead(c.reader, limits.headerBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadTimeout
	}

	return h, err
}

// setIdle bounds the wait for a request while none is being answered.
func (c *conn) setIdle(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()

	deadline := time.Time{}
	if c.open == 0 {
		deadline = time.Now().Add(limits.idleTimeout.Duration())
	}

	c.setReadDeadline(deadline)
}

// setReadDeadline changes the bound on reads; on a closed connection the next read fails anyway.
func (c *conn) setReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

func (c *conn) startReading(limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.last = c.last || (c.open > 0 && c.acceptor.isDraining())
	if c.closing || c.last {
		return false
	}

	c.reading = true
	c.setReadDeadline(time.Now().Add(limits.headerTimeout.Duration()))

	return true
}

func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.reading = false
	c.setReadDeadline(time.Time{})
}

// begin registers a request, unless the caller was told meanwhile that the connection closes.
func (c *conn) begin(h *head, turn <-chan struct{}) *exchange {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closing {
		return nil
	}

	c.open++
	c.wait.Add(1)

	return newExchange(c, h, turn)
}

// awaitBody waits until the request's body has been read and reports whether another request may follow.
func (c *conn) awaitBody(e *exchange) bool {
	select {
	case <-e.body.finished:
		return true
	case <-e.done:
		return e.body.whole() && !e.last
	case <-c.ctx.Done():
		return false
	}
}

// isEnding reports whether the connection ends by the acceptor's own will.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing || c.last
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closing
}

// closeAfter decides whether an answer is the last one of its connection: it must be where nothing can follow it; where an end is only
// wanted, requests that were read behind it are answered first.
func (c *conn) closeAfter(must, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if must || (wanted && c.open == 1 && !c.reading) {
		c.closing = true
	}

	return c.closing
}

// finish notes the end of a request.
func (c *conn) finish() {
	c.mu.Lock()
	c.open--
	idle := c.open == 0 && !c.reading
	closing := c.closing

	if idle && !closing {
		c.setReadDeadline(time.Now().Add(c.acceptor.limits().idleTimeout.Duration()))
	}

	if closing {
		// Wakes the reader, which waits for a request that must not come any more.
		c.setReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.mu.Unlock()

	<-c.slots
	c.wait.Done()
}

// fail answers a request that could not be read, after all answers before it.
func (c *conn) fail(err error, turn <-chan struct{}) {
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

	select {
	case <-turn:
	case <-c.ctx.Done():
		return
	}

	c.mu.Lock()
	answered := c.closing
	c.closing = true
	c.mu.Unlock()

	if !answered {
		writeFailure(c, status)
	}
}

// linger reads on for a moment, since closing with bytes unread resets the connection and may destroy the last answer.
func (c *conn) linger() {
	if !c.isClosing() || c.ctx.Err() != nil {
		return
	}

	if t, ok := c.raw.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTimeout))

		// Whatever the caller still sends was not read as a request.
		buffer := make([]byte, readBufferBytes)
		for {
			if _, err := c.raw.Read(buffer); err != nil {
				return
			}
		}
	}
}
