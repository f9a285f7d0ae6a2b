package sycamoretiller

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a span of time in milliseconds.
type Millis int64

// Spans of time in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the time.
type Clock interface {
	// Now returns the milliseconds since the Unix epoch.
	Now() Millis
}

// ClockFunc adapts a function to a Clock.
type ClockFunc func() Millis

// Now calls the function.
func (f ClockFunc) Now() Millis {
	return f()
}

var _ Clock = ClockFunc(nil)

// WallClock returns the clock of the operating system, which may jump.
func WallClock() Clock {
	return ClockFunc(func() Millis {
		return Millis(time.Now().UnixMilli())
	})
}

// BootClock returns a clock that starts at the wall clock's time, never jumps and goes on while the VM is suspended.
func BootClock() Clock {
	origin, ok := sinceBoot()
	if !ok {
		return SteadyClock()
	}

	wall := time.Now().UnixMilli()

	return ClockFunc(func() Millis {
		now, _ := sinceBoot()

		return Millis(wall + now - origin)
	})
}

// sinceBoot returns the milliseconds since the VM started, and whether the operating system tells.
func sinceBoot() (int64, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}

	return t.Nano() / int64(time.Millisecond), true
}

// SteadyClock returns a clock that starts at the wall clock's time and never jumps.
func SteadyClock() Clock {
	start := time.Now()
	origin := start.UnixMilli()

	return ClockFunc(func() Millis {
		return Millis(origin + time.Since(start).Milliseconds())
	})
}
