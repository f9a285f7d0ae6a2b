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

	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)

	server, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, peeker.StateQuiet, peeker.Peek(client))

	requireState := func(want peeker.State) {
		t.Helper()
		require.Eventually(t, func() bool { return peeker.Peek(client) == want }, 10*time.Second, time.Millisecond)
	}

	_, err = server.Write([]byte("x"))
	require.NoError(t, err)
	requireState(peeker.StatePending)

	_, err = client.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, peeker.StateQuiet, peeker.Peek(client))

	require.NoError(t, server.Close())
	requireState(peeker.StateClosed)
	require.NoError(t, client.Close())
	require.Equal(t, peeker.StateClosed, peeker.Peek(client))
}
