package forwarder

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// crashCounter numbers the crashes of the backend server, so that requests which broke in the same crash are reported as one. It is safe
// for concurrent use.
type crashCounter struct {
	mu     sync.Mutex
	number uint64
	at     tiller.Millis
}

// crashOf returns the number of the crash that broke a request sent at the given time. A crash breaks every request in flight, so one that
// was sent before the last known crash broke in it.
func (c *crashCounter) crashOf(sentAt, now tiller.Millis) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.number == 0 || sentAt > c.at {
		c.number++
		c.at = now
	}

	return c.number
}
