package forwarder

import "sync/atomic"

// crashCounter numbers the crashes of the backend server, so that copies of a request that broke in the same crash are reported as one. It is
// safe for concurrent use.
type crashCounter struct{ known atomic.Uint64 }

// next returns the number of the crash in which a request would break that is sent now: a crash breaks every request in flight, so that no
// request outlives one.
func (c *crashCounter) next() uint64 { return c.known.Load() + 1 }

// record records that a request broke in the crash of the given number.
func (c *crashCounter) record(number uint64) { c.known.CompareAndSwap(number-1, number) }
