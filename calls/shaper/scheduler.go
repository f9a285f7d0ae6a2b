// Package shaper paces the writes of calls to a VM's link, so that they queue in the process and not at the link. At the link, messages
// between processes would wait behind calls, and datagrams would be dropped.
package shaper

import (
	"cmp"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// burstBytes is the backlog allowed at the link itself: two packets, so that the link is not idle between two timers.
	burstBytes = 3000
	// rankBytesPerMs converts the size of a message to its rank: each 100 bytes count as a submission 1 ms later, so that small messages pass
	// large ones that were submitted shortly before.
	rankBytesPerMs = 100
	// maxRankDelay bounds how far a large message is moved back.
	maxRankDelay tiller.Millis = 500
	// minReleaseDelay keeps a timer from firing before the link has sent anything.
	minReleaseDelay tiller.Millis = 1
)

// Rank is the place of a message in the queue; the lowest is granted first. All parts of a message have its rank.
type Rank struct {
	// at is the time of submission plus a delay proportional to the size.
	at tiller.Millis
	// sequence orders messages of the same time.
	sequence uint64
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.at, o.at), cmp.Compare(r.sequence, o.sequence))
}

// Write is a request to write a number of bytes to the link.
type Write struct {
	bytes   int
	rank    Rank
	granted bool
}

// Granted reports whether the bytes may be written.
func (w *Write) Granted() bool { return w.granted }

// Scheduler decides the order and time of the writes to a link of known rate. Smaller writes pass larger ones that were submitted
// shortly before. It is not safe for concurrent use.
type Scheduler struct {
	// rate is the rate of the link in bytes per millisecond.
	rate float64
	// backlog is the number of bytes that were granted but not yet sent by the link, as of updatedAt.
	backlog   float64
	updatedAt tiller.Millis
	// queue holds the writes that have not been granted, by rank.
	queue []*Write
	// queuedBytes is the sum of the bytes in queue.
	queuedBytes int
	// lastSequence is the sequence of the last rank.
	lastSequence uint64
}

// NewScheduler returns a scheduler for a link with a rate in bytes per second.
func NewScheduler(bytesPerSecond int64) *Scheduler {
	return &Scheduler{rate: float64(bytesPerSecond) / float64(tiller.Second)}
}

// Rank returns the rank of a message of the given size that is submitted now.
func (s *Scheduler) Rank(now tiller.Millis, bytes int) Rank {
	s.lastSequence++

	return Rank{at: now + min(tiller.Millis(bytes/rankBytesPerMs), maxRankDelay), sequence: s.lastSequence}
}

// Submit requests to write a message. The write is granted immediately or by a later Release.
func (s *Scheduler) Submit(now tiller.Millis, bytes int) *Write {
	return s.SubmitPart(now, bytes, s.Rank(now, bytes))
}

// SubmitPart requests to write a part of a message of the given rank. A message whose parts keep its rank is sent before those that were
// submitted after it, while parts with ranks of their own would alternate with theirs and delay them all.
func (s *Scheduler) SubmitPart(now tiller.Millis, bytes int, rank Rank) *Write {
	s.advance(now)

	w := &Write{bytes: bytes, rank: rank}
	if len(s.queue) == 0 && s.backlog < burstBytes {
		s.grant(w)

		return w
	}

	i, _ := slices.BinarySearchFunc(s.queue, w, func(queued, w *Write) int { return cmp.Or(queued.rank.compare(w.rank), -1) })
	s.queue = slices.Insert(s.queue, i, w)
	s.queuedBytes += bytes

	return w
}

// RecordSent counts bytes that were written to the link without a Submit.
func (s *Scheduler) RecordSent(now tiller.Millis, bytes int) {
	s.advance(now)
	s.backlog += float64(bytes)
}

// Release grants and returns the queued writes that the link can accept now.
func (s *Scheduler) Release(now tiller.Millis) []*Write {
	s.advance(now)

	var granted []*Write

	for len(s.queue) > 0 && s.backlog < burstBytes {
		w := s.queue[0]
		s.queue = s.queue[1:]
		s.queuedBytes -= w.bytes
		s.grant(w)
		granted = append(granted, w)
	}

	return granted
}

// Cancel removes a write from the queue. It reports false if the write was already granted or cancelled.
func (s *Scheduler) Cancel(w *Write) bool {
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}

	s.queue = slices.Delete(s.queue, i, i+1)
	s.queuedBytes -= w.bytes

	return true
}

// NextRelease returns the time until Release should be called, none if the queue is empty.
func (s *Scheduler) NextRelease(now tiller.Millis) tiller.Option[tiller.Millis] {
	s.advance(now)

	if len(s.queue) == 0 {
		return tiller.None[tiller.Millis]()
	}

	// Half of the burst remains at the link, so that it is not idle and several writes are granted at a time.
	return tiller.Some(max(tiller.Millis((s.backlog-burstBytes/2)/s.rate), minReleaseDelay))
}

// QueueDelay returns how long a write submitted now would wait until all bytes that are queued or granted have been sent.
func (s *Scheduler) QueueDelay(now tiller.Millis) tiller.Millis {
	s.advance(now)

	return tiller.Millis((s.backlog + float64(s.queuedBytes)) / s.rate)
}

func (s *Scheduler) grant(w *Write) {
	w.granted = true
	s.backlog += float64(w.bytes)
}

// advance subtracts from the backlog what the link has sent since updatedAt.
func (s *Scheduler) advance(now tiller.Millis) {
	if now > s.updatedAt {
		s.backlog = max(s.backlog-float64(now-s.updatedAt)*s.rate, 0)
		s.updatedAt = now
	}
}
