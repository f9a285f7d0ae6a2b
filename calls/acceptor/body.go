package acceptor

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/rotisserie/eris"
)

// maxTrailerBytes bounds the trailers of a chunked body, which are discarded.
const maxTrailerBytes = 16 << 10

var errBodyClosed = eris.New("the body was read after the request ended")

// body reads a request's body from its connection and reports when the connection is positioned at the next request.
type body struct {
	mu          sync.Mutex
	reader      io.Reader
	trailer     *bufio.Reader
	remaining   int64
	onFirstRead func()
	finished    chan struct{}
	done        bool
	failed      bool
	closed      bool
}

// newBody returns the body of a request. onFirstRead is called before the first read from the connection and may be nil.
func newBody(r *bufio.Reader, h *head, onFirstRead func()) *body {
	b := &body{remaining: h.length, onFirstRead: onFirstRead, finished: make(chan struct{})}

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

// Read reads from the connection. It returns io.ErrUnexpectedEOF if the body is truncated.
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

	if b.onFirstRead != nil {
		b.onFirstRead()
		b.onFirstRead = nil
	}

	n, err := b.reader.Read(p)
	b.remaining -= int64(n)

	if err == nil && b.trailer == nil && b.remaining == 0 {
		b.finish()
	}

	if err == nil {
		return n, nil
	}

	if errors.Is(err, io.EOF) && b.endsComplete() {
		b.finish()

		return n, io.EOF
	}

	b.failed = true

	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}

	return n, err
}

// endsComplete reports whether the body ended as its framing requires, after reading the trailers of a chunked body.
func (b *body) endsComplete() bool {
	if b.trailer == nil {
		return b.remaining == 0
	}

	limit := maxTrailerBytes

	for {
		line, remaining, err := readLine(b.trailer, limit)
		if err != nil {
			return false
		}

		if line == "" {
			return true
		}

		limit = remaining
	}
}

// Close makes further reads by the handler fail. A read in progress continues until the connection closes.
func (b *body) Close() error {
	if b.mu.TryLock() {
		b.closed = true
		b.mu.Unlock()
	}

	return nil
}

// discard reads the remaining body, up to about limit bytes, and reports whether the connection is positioned at the next request.
func (b *body) discard(limit int64) bool {
	// If the handler still reads the body while its early response is sent, its read holds the lock. The bytes that it waits for may never
	// come.
	if !b.mu.TryLock() {
		return false
	}

	defer b.mu.Unlock()

	b.closed = true
	if b.done || b.failed || b.onFirstRead != nil {
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

// consumed reports whether the body has been read to its end.
func (b *body) consumed() bool {
	select {
	case <-b.finished:
		return true
	default:
		return false
	}
}
