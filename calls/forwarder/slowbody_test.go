package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
)

// TestSlowBodyIsNotMalformed guards against a proper request that is refused for good because its caller's link is slow: the body has not arrived
// when the time of the call ends. The caller may send it again.
func TestSlowBodyIsNotMalformed(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		head    string
		body    string
		verdict string
		reason  string
	}{
		{"with a length, slow", "/short/1", "Content-Length: 40", "half", "not_run", "deadline"},
		{"in chunks, slow", "/short/1", "Transfer-Encoding: chunked", "4\r\nhalf\r\n", "not_run", "deadline"},
		{"in chunks, slow within a chunk", "/short/1", "Transfer-Encoding: chunked", "28\r\nhalf", "not_run", "deadline"},
		{"nothing of the body", "/short/1", "Content-Length: 40", "", "not_run", "deadline"},
		{"malformed chunk", "/calls/1", "Transfer-Encoding: chunked", "xyz\r\nhalf\r\n", "not_run", "request_malformed"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			nodes := newNodes(t, ok, ok)
			address := strings.TrimPrefix(acceptCalls(t, nodes[0]), "http://")

			c, err := net.Dial("tcp", address)
			require.NoError(t, err)

			defer c.Close()

			_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\n%s", tc.path, tc.head, tc.body)
			require.NoError(t, err)

			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)

			defer resp.Body.Close()

			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.Equal(t, tc.verdict, resp.Header.Get(forwarder.HeaderVerdict))
			require.Equal(t, tc.reason, resp.Header.Get(forwarder.HeaderReason))
			require.Zero(t, runs(nodes))
		})
	}
}
