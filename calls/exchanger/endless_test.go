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

// endless answers each request with a beginning and then with the same part again and again until the connection closes.
func endless(begin, part string) func(net.Conn, *bufio.Reader) {
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

func owned(s *server) exchanger.Request {
	return exchanger.Request{
		To: s.address(), Method: http.MethodGet, Target: "/", Host: "board",
		Owns: func(h http.Header) bool { return h.Get(headerID) == "mine" },
	}
}

func TestBytesWithoutEndDoNotHoldACallUntilItsDeadline(t *testing.T) {
	for _, tc := range []struct{ name, begin, part string }{
		{"no answer at all", "", "\x00\xff\x16\x03"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to other requests", "", wholeLate},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
		{"long body of an answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		{"chunks of an answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, endless(tc.begin, tc.part))
			x := exchanger.New(exchanger.Options{})

			t.Cleanup(x.Close)

			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()

			_, failure := x.Do(ctx, owned(s))
			require.Error(t, failure)
			require.NoError(t, ctx.Err(), "the call ends by what it has read")
			require.False(t, failure.Broken() && !failure.Sent())
		})
	}
}

func TestConnectionWithBytesBehindAnAnswerIsNotUsedAgain(t *testing.T) {
	s := newServer(t, endless(whole+"xxxx", "x"))
	x := exchanger.New(exchanger.Options{})

	t.Cleanup(x.Close)

	for range 3 {
		a, failure := x.Do(context.Background(), owned(s))
		require.Nil(t, failure)

		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, "mine", string(body))
		require.NoError(t, a.Body.Close())
	}

	require.EqualValues(t, 3, s.connections.Load())
}
