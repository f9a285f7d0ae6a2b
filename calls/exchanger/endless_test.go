package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

// endlessResponse responds with a beginning and then repeats the same part until the connection closes.
func endlessResponse(begin, part string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}

		if _, err := io.WriteString(c, begin); err != nil {
			return
		}

		for block := strings.Repeat(part, 1+4096/len(part)); ; {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

func matchingRequest(s *server) exchanger.Request {
	return exchanger.Request{
		To: s.address(), Method: http.MethodGet, Target: "/", Host: "board",
		Matches: func(h http.Header) bool { return h.Get(headerID) == "mine" },
	}
}

// TestEndlessResponseFailsBeforeTheDeadline guards against a server that sends endless input at any point of a response: the call must
// fail at a size limit and not block until its deadline.
func TestEndlessResponseFailsBeforeTheDeadline(t *testing.T) {
	for _, tc := range []struct{ name, begin, part string }{
		{"not HTTP", "", "\x00\xff\x16\x03"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"responses to other requests", "", unmatchedResponse},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
		{"long body of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		{"chunks of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, endlessResponse(tc.begin, tc.part))
			x := exchanger.New(exchanger.Options{})

			t.Cleanup(x.Close)

			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()

			_, failure := x.Do(ctx, matchingRequest(s))
			require.Error(t, failure)
			require.NoError(t, ctx.Err(), "the call fails before its deadline")
			require.False(t, failure.Broken() && !failure.Sent())
		})
	}
}

func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	s := newServer(t, endlessResponse(matchedResponse+"xxxx", "x"))
	x := exchanger.New(exchanger.Options{})

	t.Cleanup(x.Close)

	for range 3 {
		resp, failure := x.Do(context.Background(), matchingRequest(s))
		require.Nil(t, failure)

		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "mine", string(body))
		require.NoError(t, resp.Body.Close())
	}

	require.EqualValues(t, 3, s.connections.Load())
}
