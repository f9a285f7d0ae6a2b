package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/exchanger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a TCP server that runs a script on each connection.
type server struct {
	listener    net.Listener
	connections atomic.Int64
}

func newServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *server {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	s := &server{listener: l}

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			s.connections.Add(1)

			go func() {
				defer c.Close()

				script(c, bufio.NewReader(c))
			}()
		}
	}()

	t.Cleanup(func() { _ = l.Close() })

	return s
}

func (s *server) address() tiller.Address { return tiller.Address(s.listener.Addr().String()) }

const (
	headerID          = "Request-Id"
	unmatchedResponse = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother"
	matchedResponse   = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 4\r\n\r\nmine"
)

// respondWith reads requests and writes the same bytes in response to each.
func respondWith(response string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}

			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}

			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

func newExchanger(t *testing.T) *exchanger.Exchanger {
	t.Helper()

	x := exchanger.New(exchanger.Options{})
	t.Cleanup(x.Close)

	return x
}

func request(s *server, change func(r *exchanger.Request)) exchanger.Request {
	r := exchanger.Request{
		To: s.address(), Method: "GET", Target: "/", Host: "a.example", Header: http.Header{},
		Matches: func(h http.Header) bool { return h.Get(headerID) == "mine" },
	}
	if change != nil {
		change(&r)
	}

	return r
}

// roundTrip sends a request and returns the response body, or the error of either step.
func roundTrip(t *testing.T, x *exchanger.Exchanger, r exchanger.Request) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	resp, failed := x.Do(ctx, r)
	if failed != nil {
		return "", failed
	}

	data, err := io.ReadAll(resp.Body)
	require.NoError(t, resp.Body.Close())

	return string(data), err
}

func TestResponses(t *testing.T) {
	cases := []struct {
		name     string
		response string
		body     string
		// connections is the number of connections that two consecutive requests use.
		connections int64
	}{
		{"complete", matchedResponse, "mine", 1},
		{"after a response to another request", unmatchedResponse + matchedResponse, "mine", 1},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + matchedResponse, "mine", 1},
		{"followed by an unsolicited response", matchedResponse + unmatchedResponse, "mine", 2},
		{"with Connection: close", strings.Replace(matchedResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), "mine", 2},
		{"with an idle timeout no longer than the margin", strings.Replace(matchedResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), "mine", 2},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n", "mine", 1},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, x := newServer(t, respondWith(tc.response)), newExchanger(t)

			for range 2 {
				body, err := roundTrip(t, x, request(s, nil))
				require.NoError(t, err)
				require.Equal(t, tc.body, body)
			}

			require.Equal(t, tc.connections, s.connections.Load())
		})
	}
}

// TestLateCopyOfAnAnonymousResponseIsNotPassedOn sends a refusal that does not name its request, and a second copy of it when the next request
// arrives on the same connection. The copy must not be taken for the answer to that request, which runs.
func TestLateCopyOfAnAnonymousResponseIsNotPassedOn(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nnot run"

	var requests atomic.Int64

	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for copies := 0; ; copies++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}

			if requests.Add(1) == 1 || copies > 0 {
				_, _ = io.WriteString(c, refusal)
			} else {
				_, _ = io.WriteString(c, matchedResponse)
			}
		}
	})
	x := newExchanger(t)

	for _, want := range []string{"not run", "mine"} {
		r := request(s, nil)
		r.Matches = func(h http.Header) bool { return h.Get(headerID) == "mine" || h.Get(headerID) == "" }
		r.Identifies = func(h http.Header) bool { return h.Get(headerID) == "mine" }

		body, err := roundTrip(t, x, r)
		require.NoError(t, err)
		require.Equal(t, want, body)
	}
}

func TestIncompleteResponseIsAnError(t *testing.T) {
	cases := []struct {
		name     string
		response string
	}{
		{"truncated body", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 100\r\n\r\nhalf"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nhalf"},
		{"truncated head", "HTTP/1.1 200 OK\r\nRequest-Id: mi"},
		{"no response", ""},
		{"not HTTP", "this is not an answer\r\n\r\n"},
		{"only a response to another request", unmatchedResponse},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, tc.response)
				}
			})

			_, err := roundTrip(t, newExchanger(t), request(s, nil))
			require.Error(t, err)
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	closing := newServer(t, func(net.Conn, *bufio.Reader) {})
	x := newExchanger(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())

	_, failed := x.Do(context.Background(), exchanger.Request{To: tiller.Address(l.Addr().String()), Method: "GET", Target: "/", Header: http.Header{}})
	require.True(t, failed.Refused())
	require.False(t, failed.Sent(), "the request cannot have run")
	require.True(t, x.Refuses(context.Background(), tiller.Address(l.Addr().String())))
	require.False(t, x.Refuses(context.Background(), closing.address()))
}

// TestRequestsAreNotRetried closes a reused connection after a request, in which case other HTTP clients retry the request.
func TestRequestsAreNotRetried(t *testing.T) {
	var requests atomic.Int64

	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil || requests.Add(1) > 1 {
				return
			}

			_, _ = io.WriteString(c, matchedResponse)
		}
	})
	x := newExchanger(t)

	_, err := roundTrip(t, x, request(s, nil))
	require.NoError(t, err)

	_, err = roundTrip(t, x, request(s, nil))
	failed := &exchanger.ExchangeError{}
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent())
	require.True(t, failed.Broken())
	require.Equal(t, int64(2), requests.Load())
}

// TestEarlyResponseToALongBody responds before the request body has been sent; the connection must not be reused.
func TestEarlyResponseToALongBody(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, matchedResponse)
		}

		// Discards the rest of the request.
		_, _ = io.Copy(io.Discard, r)
	})
	x := newExchanger(t)
	body, writer := io.Pipe()

	defer writer.Close()

	long := request(s, func(r *exchanger.Request) {
		r.Method, r.Prefix, r.Rest, r.Length = "POST", []byte("begin"), body, 1<<20
	})

	got, err := roundTrip(t, x, long)
	require.NoError(t, err)
	require.Equal(t, "mine", got)

	got, err = roundTrip(t, x, request(s, nil))
	require.NoError(t, err)
	require.Equal(t, "mine", got)
	require.Equal(t, int64(2), s.connections.Load())
}

func TestTruncatedRequestBodyIsNotTerminated(t *testing.T) {
	for _, length := range []int64{100, -1} {
		received := make(chan error, 1)
		s := newServer(t, func(_ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.ReadAll(req.Body)
			}

			received <- err
		})

		rest := io.MultiReader(strings.NewReader("more"), brokenReader{})
		_, err := roundTrip(t, newExchanger(t), request(s, func(r *exchanger.Request) {
			r.Method, r.Prefix, r.Rest, r.Length = "POST", []byte("begin"), rest, length
		}))
		require.Error(t, err)
		require.Error(t, <-received, "the server must not take the body for complete")
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCancellationClosesTheConnection cancels the context of a request; the server must see the connection close.
func TestCancellationClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			close(arrived)
		}

		_, _ = r.ReadByte()

		close(closed)
	})

	ctx, cancel := context.WithCancel(context.Background())

	go func() {
		<-arrived
		cancel()
	}()

	_, failed := newExchanger(t).Do(ctx, request(s, nil))
	require.NotNil(t, failed)
	require.True(t, failed.Sent())
	<-closed
}
