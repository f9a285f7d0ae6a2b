// Package loopback provides addresses for tests that run processes on this machine.
package loopback

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// FreeAddress returns a TCP address of 127.0.0.1 whose port is not in use.
func FreeAddress(tb testing.TB) string {
	tb.Helper()

	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	require.NoError(tb, l.Close())

	return l.Addr().String()
}
