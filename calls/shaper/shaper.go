package shaper

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// chunkBytes is how much of a large write is granted at a time, one packet, so that smaller writes can pass it.
const chunkBytes = 1400

// Shaper makes a Core safe for concurrent use by writers that wait. A nil shaper lets everything pass.
type Shaper struct {
	clock tiller.Clock

	mu      sync.Mutex
	core    *Core
	waiters map[*Write]chan struct{}
	armed   bool
}

// NewShaper returns a shaper of a link, nil for a rate of zero bytes a second.
func NewShaper(bytesPerSecond int64, clock tiller.Clock) *Shaper {
	if bytesPerSecond <= 0 {
		return nil
	}

	return &Shaper{clock: clock, core: New(bytesPerSecond), waiters: map[*Write]chan struct{}{}}
}

// Writer returns a writer whose bytes wait for the link until the context ends.
func (s *Shaper) Writer(ctx context.Context, w io.Writer) io.Writer {
	if s == nil {
		return w
	}

	return &writer{ctx: ctx, shaper: s, writer: w}
}

// Note counts bytes that were sent without waiting.
func (s *Shaper) Note(bytes int) {
	if s == nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.core.Note(s.clock.Now(), bytes)
}

// Wait returns how long a write that comes now would wait behind all others.
func (s *Shaper) Wait() tiller.Millis {
	if s == nil {
		return 0
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return s.core.Wait(s.clock.Now())
}

// take waits until some bytes may be written.
func (s *Shaper) take(ctx context.Context, bytes int) error {
	s.mu.Lock()
	w := s.core.Submit(s.clock.Now(), bytes)

	if w.Granted() {
		s.mu.Unlock()

		return nil
	}

	granted := make(chan struct{})
	s.waiters[w] = granted
	s.arm()
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.waiters, w)

	if !s.core.Withdraw(w) {
		return nil
	}

	return eris.Wrap(ctx.Err(), "wait for the link")
}

// arm starts the timer of the next release; the lock is held.
func (s *Shaper) arm() {
	if s.armed {
		return
	}

	if next, ok := s.core.Next(s.clock.Now()).Get(); ok {
		s.armed = true

		time.AfterFunc(next.Duration(), s.release)
	}
}

// release wakes the writers whose bytes the link can take.
func (s *Shaper) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.armed = false

	for _, w := range s.core.Release(s.clock.Now()) {
		if granted := s.waiters[w]; granted != nil {
			close(granted)
			delete(s.waiters, w)
		}
	}

	s.arm()
}

// writer writes in chunks that wait for the link.
type writer struct {
	ctx    context.Context //nolint:containedctx // the writer lives as long as the request or the connection that the context is of
	shaper *Shaper
	writer io.Writer
}

// Write waits for the link and writes.
func (w *writer) Write(p []byte) (int, error) {
	written := 0

	for written < len(p) {
		chunk := p[written:min(written+chunkBytes, len(p))]
		if err := w.shaper.take(w.ctx, len(chunk)); err != nil {
			return written, err
		}

		n, err := w.writer.Write(chunk)
		written += n

		if err != nil {
			return written, err
		}
	}

	return written, nil
}
