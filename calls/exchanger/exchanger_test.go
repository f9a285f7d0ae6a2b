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

// server accepts connections and hands each to a script.
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
	headerID  = "Request-Id"
	wholeLate = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother"
	whole     = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 4\r\n\r\nmine"
)

// answering reads requests and answers each with the same bytes.
func answering(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}

			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}

			if _, err := io.WriteString(c, answer); err != nil {
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
		Owns: func(h http.Header) bool { return h.Get(headerID) == "mine" },
	}
	if change != nil {
		change(&r)
	}

	return r
}

// read sends a request and returns the whole body, or the error of either.
func read(t *testing.T, x *exchanger.Exchanger, r exchanger.Request) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	a, failed := x.Do(ctx, r)
	if failed != nil {
		return "", failed
	}

	data, err := io.ReadAll(a.Body)
	require.NoError(t, a.Body.Close())

	return string(data), err
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		body   string
		// connections is how many two requests in a row need.
		connections int64
	}{
		{"whole", whole, "mine", 1},
		{"behind another request's", wholeLate + whole, "mine", 1},
		{"behind a hint", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "mine", 1},
		{"with another one behind it", whole + wholeLate, "mine", 2},
		{"of a server that closes", strings.Replace(whole, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), "mine", 2},
		{"of a server that closes idle connections at once", strings.Replace(whole, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), "mine", 2},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n", "mine", 1},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, x := newServer(t, answering(tc.answer)), newExchanger(t)

			for range 2 {
				body, err := read(t, x, request(s, nil))
				require.NoError(t, err)
				require.Equal(t, tc.body, body)
			}

			require.Equal(t, tc.connections, s.connections.Load())
		})
	}
}

func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	cases := []struct {
		name   string
		answer string
	}{
		{"cut in the body", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 100\r\n\r\nhalf"},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nhalf"},
		{"cut in the head", "HTTP/1.1 200 OK\r\nRequest-Id: mi"},
		{"no answer", ""},
		{"no protocol", "this is not an answer\r\n\r\n"},
		{"only another request's", wholeLate},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, tc.answer)
				}
			})

			_, err := read(t, newExchanger(t), request(s, nil))
			require.Error(t, err)
		})
	}
}

func TestVerdictOfFailures(t *testing.T) {
	closing := newServer(t, func(net.Conn, *bufio.Reader) {})
	x := newExchanger(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())

	_, failed := x.Do(context.Background(), exchanger.Request{To: tiller.Address(l.Addr().String()), Method: "GET", Target: "/", Header: http.Header{}})
	require.True(t, failed.Refused())
	require.False(t, failed.Sent(), "nothing can have run")
	require.True(t, x.Refuses(context.Background(), tiller.Address(l.Addr().String())))
	require.False(t, x.Refuses(context.Background(), closing.address()))
}

// TestNothingIsRepeated breaks a connection that was already used, which tempts clients to send again.
func TestNothingIsRepeated(t *testing.T) {
	var requests atomic.Int64

	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil || requests.Add(1) > 1 {
				return
			}

			_, _ = io.WriteString(c, whole)
		}
	})
	x := newExchanger(t)

	_, err := read(t, x, request(s, nil))
	require.NoError(t, err)

	_, err = read(t, x, request(s, nil))
	failed := &exchanger.ExchangeError{}
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent())
	require.True(t, failed.Broken())
	require.Equal(t, int64(2), requests.Load())
}

// TestEarlyAnswerToALongBody answers before the body is in; the connection must not carry another request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, whole)
		}

		// Reads on like a server that discards the rest.
		_, _ = io.Copy(io.Discard, r)
	})
	x := newExchanger(t)
	body, writer := io.Pipe()

	defer writer.Close()

	long := request(s, func(r *exchanger.Request) {
		r.Method, r.Prefix, r.Rest, r.Length = "POST", []byte("begin"), body, 1<<20
	})

	got, err := read(t, x, long)
	require.NoError(t, err)
	require.Equal(t, "mine", got)

	got, err = read(t, x, request(s, nil))
	require.NoError(t, err)
	require.Equal(t, "mine", got)
	require.Equal(t, int64(2), s.connections.Load())
}

func TestBodyThatBreaksOffIsNeverEnded(t *testing.T) {
	for _, length := range []int64{100, -1} {
		whole := make(chan error, 1)
		s := newServer(t, func(_ net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.ReadAll(req.Body)
			}

			whole <- err
		})

		rest := io.MultiReader(strings.NewReader("more"), brokenReader{})
		_, err := read(t, newExchanger(t), request(s, func(r *exchanger.Request) {
			r.Method, r.Prefix, r.Rest, r.Length = "POST", []byte("begin"), rest, length
		}))
		require.Error(t, err)
		require.Error(t, <-whole, "the server must not take the body for whole")
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCallerThatLeavesClosesTheConnection makes the server see that nobody waits any more.
func TestCallerThatLeavesClosesTheConnection(t *testing.T) {
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
