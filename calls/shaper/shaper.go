package shaper

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// chunkBytes is how much of a large write is granted at a time: one packet, so that smaller writes can pass it.
const chunkBytes = 1400

// Shaper paces concurrent writers with a scheduler. It is safe for concurrent use. A nil Shaper does not delay writes.
type Shaper struct {
	clock tiller.Clock

	mu        sync.Mutex
	scheduler *Scheduler
	waiters   map[*Write]chan struct{}
	timerSet  bool
}

// New returns a shaper for a link with a rate in bytes per second, or nil if the rate is not positive.
func New(bytesPerSecond int64, clock tiller.Clock) *Shaper {
	if bytesPerSecond <= 0 {
		return nil
	}

	return &Shaper{clock: clock, scheduler: NewScheduler(bytesPerSecond), waiters: map[*Write]chan struct{}{}}
}

// Writer returns a writer whose writes wait for the link and fail with the context's error if the context ends first.
func (s *Shaper) Writer(ctx context.Context, w io.Writer) io.Writer {
	if s == nil {
		return w
	}

	return &writer{ctx: ctx, shaper: s, writer: w}
}

// RecordSent counts bytes that were written to the link directly, not through a Writer.
func (s *Shaper) RecordSent(bytes int) {
	if s == nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.scheduler.RecordSent(s.clock.Now(), bytes)
}

// QueueDelay returns how long a write submitted now would wait until all bytes that are queued or granted have been sent.
func (s *Shaper) QueueDelay() tiller.Millis {
	if s == nil {
		return 0
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return s.scheduler.QueueDelay(s.clock.Now())
}

// rank returns the rank of a message of the given size that is written from now on.
func (s *Shaper) rank(bytes int) Rank {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.scheduler.Rank(s.clock.Now(), bytes)
}

// acquire waits until a part of a message of the given rank may be written, or returns the context's error.
func (s *Shaper) acquire(ctx context.Context, bytes int, rank Rank) error {
	s.mu.Lock()
	w := s.scheduler.SubmitPart(s.clock.Now(), bytes, rank)

	if w.Granted() {
		s.mu.Unlock()

		return nil
	}

	granted := make(chan struct{})
	s.waiters[w] = granted
	s.startTimer()
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.waiters, w)

	if !s.scheduler.Cancel(w) {
		return nil
	}

	return eris.Wrap(ctx.Err(), "wait for the link")
}

// startTimer starts the timer of the next release unless it is running. The lock is held.
func (s *Shaper) startTimer() {
	if s.timerSet {
		return
	}

	if next, ok := s.scheduler.NextRelease(s.clock.Now()).Get(); ok {
		s.timerSet = true

		time.AfterFunc(next.Duration(), s.release)
	}
}

// release wakes the writers whose writes are granted.
func (s *Shaper) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.timerSet = false

	for _, w := range s.scheduler.Release(s.clock.Now()) {
		if granted := s.waiters[w]; granted != nil {
			close(granted)
			delete(s.waiters, w)
		}
	}

	s.startTimer()
}

// writer splits writes into chunks that wait for the link.
type writer struct {
	ctx    context.Context //nolint:containedctx // the writer is used only for the request or connection of the context
	shaper *Shaper
	writer io.Writer
}

// Write writes p in chunks, each as soon as the link can accept it.
func (w *writer) Write(p []byte) (int, error) {
	written := 0
	rank := w.shaper.rank(len(p))

	for written < len(p) {
		chunk := p[written:min(written+chunkBytes, len(p))]
		if err := w.shaper.acquire(w.ctx, len(chunk), rank); err != nil {
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
