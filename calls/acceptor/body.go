package acceptor

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/rotisserie/eris"
)

// maxTrailerBytes bounds the trailers of a chunked body, which are dropped.
const maxTrailerBytes = 16 << 10

var errBodyClosed = eris.New("the body was read after the request ended")

// body reads a request's body from its connection and says when the connection is at the next request.
type body struct {
	mu       sync.Mutex
	reader   io.Reader
	trailer  *bufio.Reader
	left     int64
	proceed  func()
	finished chan struct{}
	done     bool
	failed   bool
	closed   bool
}

// newBody returns the body of a request; proceed is called before the first read and may be nil.
func newBody(r *bufio.Reader, h *head, proceed func()) *body {
	b := &body{left: h.length, proceed: proceed, finished: make(chan struct{})}

	switch {
	case h.chunked:
		b.reader = httputil.NewChunkedReader(r)
		b.trailer = r
	case h.length > 0:
		b.reader = io.LimitReader(r, h.length)
	default:
		b.finish()
	}

	return b
}

// finish marks the body as read to its end.
func (b *body) finish() {
	if !b.done {
		b.done = true
		close(b.finished)
	}
}

// Read reads from the connection; a body that breaks off gives io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.closed {
		return 0, errBodyClosed
	}

	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}

	if b.failed {
		return 0, io.ErrUnexpectedEOF
	}

	if b.proceed != nil {
		b.proceed()
		b.proceed = nil
	}

	n, err := b.reader.Read(p)
	b.left -= int64(n)

	if err == nil && b.trailer == nil && b.left == 0 {
		b.finish()
	}

	if err == nil {
		return n, nil
	}

	if errors.Is(err, io.EOF) && b.endsWhole() {
		b.finish()

		return n, io.EOF
	}

	b.failed = true

	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}

	return n, err
}

// endsWhole reports whether the body ended where its framing says, and reads the trailers of a chunked one.
func (b *body) endsWhole() bool {
	if b.trailer == nil {
		return b.left == 0
	}

	limit := maxTrailerBytes

	for {
		line, left, err := readLine(b.trailer, limit)
		if err != nil {
			return false
		}

		if line == "" {
			return true
		}

		limit = left
	}
}

// Close stops further reads by the handler; one that is under way ends with the connection.
func (b *body) Close() error {
	if b.mu.TryLock() {
		b.closed = true
		b.mu.Unlock()
	}

	return nil
}

// discard reads what is left, up to a bound, and reports whether the connection is at the next request.
func (b *body) discard(limit int64) bool {
	// A handler that still reads, beside an answer that came early, waits for bytes that may never come.
	if !b.mu.TryLock() {
		return false
	}

	defer b.mu.Unlock()

	b.closed = true
	if b.done || b.failed || b.proceed != nil {
		return b.done
	}

	buffer := make([]byte, discardBufferBytes)

	for limit > 0 {
		n, err := b.read(buffer)
		limit -= int64(n)

		if err != nil {
			break
		}
	}

	return b.done
}

const discardBufferBytes = 16 << 10

// whole reports whether the body has been read to its end.
func (b *body) whole() bool {
	select {
	case <-b.finished:
		return true
	default:
		return false
	}
}
