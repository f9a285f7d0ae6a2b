package sycamoretiller

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration or, counted from the Unix epoch, a point in time in milliseconds.
type Millis int64

// Durations in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a duration to the type of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock returns the current time.
type Clock interface {
	// Now returns the current time in milliseconds since the Unix epoch.
	Now() Millis
}

// ClockFunc adapts a function to a Clock.
type ClockFunc func() Millis

// Now calls the function.
func (f ClockFunc) Now() Millis {
	return f()
}

var _ Clock = ClockFunc(nil)

// WallClock returns the wall clock of the operating system, which may jump in either direction.
func WallClock() Clock {
	return ClockFunc(func() Millis {
		return Millis(time.Now().UnixMilli())
	})
}

// BootClock returns a monotonic clock that starts at the wall clock's time and also counts the time while the VM is suspended.
// Where the operating system has no such clock it returns a SteadyClock.
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

// sinceBoot returns the milliseconds since the VM booted, and whether the operating system reports them.
func sinceBoot() (int64, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}

	return t.Nano() / int64(time.Millisecond), true
}

// SteadyClock returns a monotonic clock that starts at the wall clock's time; it may stop while the VM is suspended.
func SteadyClock() Clock {
	start := time.Now()
	origin := start.UnixMilli()

	return ClockFunc(func() Millis {
		return Millis(origin + time.Since(start).Milliseconds())
	})
}
