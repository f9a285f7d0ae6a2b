// Package peeker reports whether input has arrived on a connection, without reading it.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// State is the state of a connection's input.
type State int

// The states.
const (
	// StateQuiet means that the connection is open and has no unread input.
	StateQuiet State = iota
	// StatePending means that the connection has unread input.
	StatePending
	// StateClosed means that the peer has closed the connection or that the connection failed.
	StateClosed
)

// Peek returns the state of a TCP connection without blocking. It returns StateQuiet for connections of other types.
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
