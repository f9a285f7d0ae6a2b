// Package shaper paces what calls put on a VM's link, so that the queue forms in the process and not in front of the link: there,
// messages between processes would wait behind calls, and datagrams would be dropped.
package shaper

import (
	"cmp"
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// burstBytes is how much may wait in front of the link itself: two packets, so that it never runs dry between two timers.
	burstBytes = 3000
	// lightBytesPerMs is how many bytes more let a write be passed by one that came a millisecond later.
	lightBytesPerMs = 100
	// minWait keeps a timer from firing before the link has carried anything.
	minWait tiller.Millis = 1
)

// Write is a number of bytes that waits for the link.
type Write struct {
	bytes   int
	order   tiller.Millis
	granted bool
}

// Granted reports whether the bytes may be written.
func (w *Write) Granted() bool { return w.granted }

// Core decides which writes a link carries next. It is not safe for concurrent use.
type Core struct {
	// rate is what the link carries in a millisecond, in bytes.
	rate float64
	// ahead is what was granted and the link has not carried yet, in bytes, as of the last event.
	ahead float64
	at    tiller.Millis
	// queue holds the waiting writes, the next one first.
	queue []*Write
	// waiting is the sum of their bytes.
	waiting int
}

// New returns a core for a link that carries a number of bytes a second.
func New(bytesPerSecond int64) *Core {
	return &Core{rate: float64(bytesPerSecond) / float64(tiller.Second)}
}

// Submit asks to write some bytes; the write is granted now or by a later Release.
func (c *Core) Submit(now tiller.Millis, bytes int) *Write {
	c.drain(now)

	w := &Write{bytes: bytes, order: now + tiller.Millis(bytes/lightBytesPerMs)}
	if len(c.queue) == 0 && c.ahead < burstBytes {
		c.grant(w)

		return w
	}

	i, _ := slices.BinarySearchFunc(c.queue, w, func(queued, w *Write) int { return cmp.Or(cmp.Compare(queued.order, w.order), -1) })
	c.queue = slices.Insert(c.queue, i, w)
	c.waiting += bytes

	return w
}

// Note counts bytes that were put on the link without asking.
func (c *Core) Note(now tiller.Millis, bytes int) {
	c.drain(now)
	c.ahead += float64(bytes)
}

// Release grants the writes that the link can take now.
func (c *Core) Release(now tiller.Millis) []*Write {
	c.drain(now)

	var granted []*Write

	for len(c.queue) > 0 && c.ahead < burstBytes {
		w := c.queue[0]
		c.queue = c.queue[1:]
		c.waiting -= w.bytes
		c.grant(w)
		granted = append(granted, w)
	}

	return granted
}

// Withdraw takes back a write that waits and reports whether it still did.
func (c *Core) Withdraw(w *Write) bool {
	i := slices.Index(c.queue, w)
	if i < 0 {
		return false
	}

	c.queue = slices.Delete(c.queue, i, i+1)
	c.waiting -= w.bytes

	return true
}

// Next returns when to release again, none if nothing waits.
func (c *Core) Next(now tiller.Millis) tiller.Option[tiller.Millis] {
	c.drain(now)

	if len(c.queue) == 0 {
		return tiller.None[tiller.Millis]()
	}

	// Half of the burst is left to the link meanwhile, so that it never runs dry and several writes are granted at a time.
	return tiller.Some(max(tiller.Millis((c.ahead-burstBytes/2)/c.rate), minWait))
}

// Wait returns how long a write that comes now would wait behind all others.
func (c *Core) Wait(now tiller.Millis) tiller.Millis {
	c.drain(now)

	return tiller.Millis((c.ahead + float64(c.waiting)) / c.rate)
}

func (c *Core) grant(w *Write) {
	w.granted = true
	c.ahead += float64(w.bytes)
}

// drain takes off what the link has carried since the last event.
func (c *Core) drain(now tiller.Millis) {
	if now > c.at {
		c.ahead = max(c.ahead-float64(now-c.at)*c.rate, 0)
		c.at = now
	}
}
