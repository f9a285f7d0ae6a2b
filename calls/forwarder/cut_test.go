package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
)

// breakOff returns a handler that writes raw bytes in place of an answer and ends the connection, by a reset if reset is set. Requests to the path
// /calls/whole get a whole answer on a connection that is kept.
func breakOff(raw string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/whole") {
			_, _ = io.WriteString(w, "whole")

			return
		}

		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}

		_, _ = io.WriteString(c, raw)

		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}

		_ = c.Close()
	}
}

// acceptCalls serves a node's callers with the acceptor of the real program.
func acceptCalls(t *testing.T, n *fakeNode) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	a := acceptor.New(n.forward, acceptor.DefaultLimits, acceptor.Options{Log: logr.Discard()})

	go func() { _ = a.Serve(l) }()

	t.Cleanup(func() { _ = a.Close() })

	return "http://" + l.Addr().String()
}

// TestAnswerThatBreaksOffIsNoSuccess guards against an answer whose head or body stops at any byte, on a new or a kept connection, by a close or a
// reset, and that reaches the caller as a success with an empty or short body.
func TestAnswerThatBreaksOffIsNoSuccess(t *testing.T) {
	const body = "0123456789012345678901234567890123456789"

	var cuts []string

	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nX-Other: a\r\nContent-Length: 40\r\n\r\n" + body,
		"HTTP/1.1 200 OK\nContent-Length: 40\n\n" + body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + body,
	} {
		for i := range len(whole) {
			cuts = append(cuts, whole[:i])
		}
	}

	cuts = append(cuts,
		"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\nContent-Length: 41\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 4, 40\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 0x28\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n"+body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"+body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n"+body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"+body,
	)

	// An answer without a length ends with its connection, and is whole only if that is closed.
	untilClose := []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" + body, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"HTTP/1.0 200 OK\r\n\r\n" + body,
	}

	for _, reset := range []bool{false, true} {
		cuts := slices.Clone(cuts)
		if reset {
			cuts = append(cuts, untilClose...)
		}

		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("reset %t, kept connection %t", reset, kept), func(t *testing.T) {
				raw := ""
				handler := func(w http.ResponseWriter, r *http.Request) { breakOff(raw, reset)(w, r) }
				nodes := newNodes(t, handler, handler)
				address := acceptCalls(t, nodes[0])
				client := &http.Client{Transport: &http.Transport{}}

				t.Cleanup(client.CloseIdleConnections)

				put := func(path string) (int, string, error) {
					r, err := http.NewRequest(http.MethodPut, address+path, nil)
					require.NoError(t, err)

					resp, err := client.Do(r)
					if err != nil {
						return 0, "", err
					}

					defer resp.Body.Close()

					data, err := io.ReadAll(resp.Body)

					return resp.StatusCode, string(data), err
				}

				reached := 0

				for i, cut := range cuts {
					raw = cut

					if kept {
						status, text, err := put("/calls/whole")
						require.NoError(t, err)
						require.Equal(t, 200, status)
						require.Equal(t, "whole", text)
					}

					before := runs(nodes)

					// Each request has its own path, so that none is quarantined.
					status, text, err := put(fmt.Sprintf("/once/%d", i))
					if err == nil {
						require.GreaterOrEqual(t, status, 500, "%q was passed on as %q", raw, text)
					}

					reached += runs(nodes) - before
				}

				require.Equal(t, len(cuts), reached, "each request reaches a server once")
			})
		}
	}
}
