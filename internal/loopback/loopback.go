// Package loopback provides addresses for tests that run processes on this machine.
package loopback

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// firstPort and lastPort bound the ports of FreeAddress.
const (
	firstPort = 10_000
	lastPort  = 29_999
)

// taken counts the ports that this process has handed out.
var taken atomic.Uint32

// FreeAddress returns a TCP address of this machine whose port is not in use. The address stays free until the caller listens on it: its
// host belongs to the calling process alone, and connections that leave the machine's processes have another host.
func FreeAddress(tb testing.TB) string {
	tb.Helper()

	for {
		port := firstPort + int(taken.Add(1)) - 1
		require.LessOrEqual(tb, port, lastPort, "this process has used up its ports")

		address := net.JoinHostPort(processHost(), strconv.Itoa(port))

		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			// Another program listens on this port of all hosts.
			continue
		}

		require.NoError(tb, err)
		require.NoError(tb, l.Close())

		return address
	}
}

// processHost returns the host of 127.0.0.0/8 that belongs to this process; a process id has at most 22 bits.
func processHost() string {
	pid := os.Getpid()

	return net.IPv4(127, byte(64|pid>>16), byte(pid>>8), byte(pid)).String()
}
