package peeker_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/peeker"
)

func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer l.Close()

	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)

	far, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, peeker.StateQuiet, peeker.Peek(near))

	becomes := func(want peeker.State) {
		t.Helper()
		require.Eventually(t, func() bool { return peeker.Peek(near) == want }, 10*time.Second, time.Millisecond)
	}

	_, err = far.Write([]byte("x"))
	require.NoError(t, err)
	becomes(peeker.StatePending)

	_, err = near.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, peeker.StateQuiet, peeker.Peek(near))

	require.NoError(t, far.Close())
	becomes(peeker.StateClosed)
	require.NoError(t, near.Close())
	require.Equal(t, peeker.StateClosed, peeker.Peek(near))
}
