package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// TestAckTimeoutOfARequestEndsWithIt guards against a request that waits for a silent peer because an earlier one on its connection was allowed to.
func TestAckTimeoutOfARequestEndsWithIt(t *testing.T) {
	// unreadBytes is more than the buffers of a connection hold.
	const unreadBytes = 32 << 20

	done := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}

		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

		<-done
	})

	defer close(done)

	x := exchanger.New(exchanger.Options{AckTimeout: 100 * time.Millisecond})
	defer x.Close()

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	r := exchanger.Request{To: s.address(), Method: http.MethodPut, Target: "/", Host: "a", Header: http.Header{}, AckTimeout: time.Hour}
	resp, failed := x.Do(ctx, r)
	require.Nil(t, failed)

	_, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	r.AckTimeout, r.Prefix, r.Length = 0, make([]byte, unreadBytes), unreadBytes
	_, failed = x.Do(ctx, r)
	require.NotNil(t, failed)
	require.True(t, failed.Sent())
	require.NoError(t, ctx.Err(), "the request waited for its deadline")
	require.Equal(t, int64(1), s.connections.Load())
}
