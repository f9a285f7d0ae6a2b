// Package peeker tells what has arrived on a connection without reading it.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// State is what a connection holds.
type State int

// The states.
const (
	// StateQuiet means that the connection is open and nothing has arrived.
	StateQuiet State = iota
	// StatePending means that bytes have arrived that nobody has read.
	StatePending
	// StateClosed means that the other side has closed the connection, or that it failed.
	StateClosed
)

// Peek returns the state of a TCP connection; others count as quiet.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return StateQuiet
	}

	raw, err := s.SyscallConn()
	if err != nil {
		return StateClosed
	}

	var (
		peeked [1]byte
		n      int
		result error
	)

	if raw.Control(func(fd uintptr) { n, _, result = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) }) != nil {
		return StateClosed
	}

	switch {
	case n > 0:
		return StatePending
	case errors.Is(result, unix.EAGAIN):
		return StateQuiet
	default:
		return StateClosed
	}
}
