package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
)

// TestFreeAddressIsNotTakenByAConnection guards against an outgoing connection that gets the port of an address before its test listens there.
func TestFreeAddressIsNotTakenByAConnection(t *testing.T) {
	address := loopback.FreeAddress(t)

	l, err := net.Listen("tcp", address)
	require.NoError(t, err)

	defer func() { require.NoError(t, l.Close()) }()

	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)

	defer func() { require.NoError(t, connection.Close()) }()

	listening, _, err := net.SplitHostPort(address)
	require.NoError(t, err)

	connecting, _, err := net.SplitHostPort(connection.LocalAddr().String())
	require.NoError(t, err)
	require.NotEqual(t, listening, connecting)
}

// TestFreeAddressIsHandedOutOnce guards against two tests of a process that get the same address.
func TestFreeAddressIsHandedOutOnce(t *testing.T) {
	seen := map[string]bool{}

	for range 1000 {
		address := loopback.FreeAddress(t)
		require.False(t, seen[address], address)

		seen[address] = true
	}
}
