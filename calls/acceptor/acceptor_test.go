package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
)

const maxWait = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve runs an acceptor until the test ends and returns it with its address.
func serve(t *testing.T, handler http.HandlerFunc, limits acceptor.Limits) (*acceptor.Acceptor, string) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	a := acceptor.New(handler, func() acceptor.Limits { return limits }, acceptor.Options{})
	done := make(chan error, 1)

	go func() { done <- a.Serve(l) }()

	t.Cleanup(func() {
		require.NoError(t, a.Close())
		require.ErrorIs(t, <-done, acceptor.ErrClosed)
	})

	return a, l.Addr().String()
}

// dial opens a connection and sends the given bytes.
func dial(t *testing.T, address, sent string) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(maxWait)))

	_, err = io.WriteString(c, sent)
	require.NoError(t, err)

	return c
}

// echo responds with the method, target and body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, data)
}

// TestFraming guards against request smuggling: input that proxies may split into requests differently must not reach the handler.
func TestFraming(t *testing.T) {
	const (
		host     = "Host: a.example\r\n"
		smuggled = "GET /smuggled HTTP/1.1\r\n" + host + "\r\n"
	)

	cases := []struct {
		name   string
		sent   string
		status []int
		paths  string
	}{
		{"plain", "GET /a HTTP/1.1\r\n" + host + "\r\n", []int{200}, "/a"},
		{"empty lines before the request line", "\r\n\r\nGET /a HTTP/1.1\r\n" + host + "\r\n", []int{200}, "/a"},
		{"escaped slash is preserved", "GET /a%2Fb?x=%20 HTTP/1.1\r\n" + host + "\r\n", []int{200}, "/a%2Fb?x=%20"},
		{"sized body", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 2\r\n\r\nhi", []int{200}, "/a"},
		{"chunked with trailers", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n", []int{200}, "/a"},
		{"two pipelined", "GET /a HTTP/1.1\r\n" + host + "\r\nGET /b HTTP/1.1\r\n" + host + "\r\n", []int{200, 200}, "/a /b"},
		{"chunked, length", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, []int{400}, ""},
		{"two lengths", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, []int{400}, ""},
		{"signed length", "POST /a HTTP/1.1\r\n" + host + "Content-Length: +5\r\n\r\nhello" + smuggled, []int{400}, ""},
		{"unknown coding", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, []int{400}, ""},
		{"space before the colon", "POST /a HTTP/1.1\r\n" + host + "Content-Length : 5\r\n\r\nhello" + smuggled, []int{400}, ""},
		{"folded header", "GET /a HTTP/1.1\r\n" + host + "X: a\r\n b\r\n\r\n" + smuggled, []int{400}, ""},
		{"no host", "GET /a HTTP/1.1\r\n\r\n" + smuggled, []int{400}, ""},
		{"two hosts", "GET /a HTTP/1.1\r\n" + host + "Host: b.example\r\n\r\n" + smuggled, []int{400}, ""},
		{"unsupported protocol version", "GET /a HTTP/2.0\r\n" + host + "\r\n" + smuggled, []int{400}, ""},
		{"headers above the limit", "GET /a HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", 2000) + "\r\n\r\n" + smuggled, []int{431}, ""},
		{"bad chunk", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n" + smuggled, []int{400}, ""},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var paths atomic.Value

			paths.Store("")

			_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				data, err := io.ReadAll(r.Body)
				if err != nil {
					w.WriteHeader(http.StatusBadRequest)

					return
				}

				require.LessOrEqual(t, len(data), 2)
				_, _ = io.WriteString(w, r.RequestURI)
			}, acceptor.NewLimits(1024, 5000, 5000))

			c := dial(t, address, tc.sent)
			reader := bufio.NewReader(c)

			var got []string

			for _, status := range tc.status {
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, status, resp.StatusCode)

				data, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())

				if status == http.StatusOK {
					got = append(got, string(data))
				} else {
					require.True(t, resp.Close, "an error response closes the connection")
				}
			}

			require.Equal(t, tc.paths, strings.Join(got, " "))

			if tc.status[0] != http.StatusOK {
				_, err := reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "no response follows an error response")
			}
		})
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	failed := make(chan error, 1)
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		failed <- err
	}, acceptor.DefaultLimits())

	c := dial(t, address, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf")
	require.NoError(t, c.Close())
	require.ErrorIs(t, <-failed, io.ErrUnexpectedEOF)
}

// TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder blocks the handler of the first request until the second one runs.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			defer close(second)
		}

		_, _ = io.WriteString(w, r.URL.Path)
	}, acceptor.DefaultLimits())

	c := dial(t, address, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(c)

	for _, path := range []string{"/1", "/2"} {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)

		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, path, string(data))
	}
}

// TestNonIdempotentRequestDoesNotRunAfterAClose pipelines a non-idempotent request behind one whose handler closes the connection. The
// request must not run, since its caller retries it.
func TestNonIdempotentRequestDoesNotRunAfterAClose(t *testing.T) {
	result := make(chan error, 1)
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			result <- acceptor.AwaitPrecedingResponses(r.Context())

			return
		}

		panic(http.ErrAbortHandler)
	}, acceptor.DefaultLimits())

	dial(t, address, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")

	select {
	case err := <-result:
		require.Error(t, err, "the caller retries the request")
	case <-time.After(100 * time.Millisecond):
		// The connection ended before the second request was read.
	}
}

// TestDisconnectCancelsRequests closes the connection while two pipelined requests run.
func TestDisconnectCancelsRequests(t *testing.T) {
	running := make(chan struct{}, 2)
	cancelled := make(chan struct{}, 2)
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}

		<-r.Context().Done()

		cancelled <- struct{}{}
	}, acceptor.DefaultLimits())

	c := dial(t, address, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")

	<-running
	<-running
	require.NoError(t, c.Close())
	<-cancelled
	<-cancelled
}

// TestShutdownAnswersRequestsAlreadyRead shuts down while two pipelined requests run. Only the last response announces the close.
func TestShutdownAnswersRequestsAlreadyRead(t *testing.T) {
	running := make(chan struct{}, 2)
	finish := make(chan struct{})
	a, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}

		<-finish
		echo(w, r)
	}, acceptor.DefaultLimits())

	c := dial(t, address, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	idle := dial(t, address, "")

	<-running
	<-running

	done := make(chan error, 1)

	go func() { done <- a.Shutdown(context.Background()) }()

	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed immediately")
	close(finish)

	reader := bufio.NewReader(c)

	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)

		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, i == 1, resp.Close)
	}

	require.NoError(t, <-done)
}

// TestDrainClosesAContinuouslyPipelinedConnection pipelines further requests during a drain. The connection must close although there is
// always another request to read.
func TestDrainClosesAContinuouslyPipelinedConnection(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	var served atomic.Int64

	running := make(chan struct{}, 8)
	finish := make(chan struct{})
	a, address := serve(t, func(http.ResponseWriter, *http.Request) {
		served.Add(1)

		running <- struct{}{}

		<-finish
	}, acceptor.DefaultLimits())

	c := dial(t, address, get+get)

	<-running
	<-running
	a.Drain()

	_, err := io.WriteString(c, get+get)
	require.NoError(t, err)

	select {
	case <-running:
		require.Fail(t, "a request was read after the drain began")
	case <-time.After(200 * time.Millisecond):
	}

	close(finish)

	reader := bufio.NewReader(c)

	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, i == 1, resp.Close)
	}

	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int64(2), served.Load(), "unread requests are not served; the caller retries them elsewhere")
}

func TestAbortedResponseIsTruncated(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100<<10))

		panic(http.ErrAbortHandler)
	}, acceptor.DefaultLimits())

	c := dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}

	require.Error(t, err)
}

func TestSlowHeadersAndIdleConnectionsTimeOut(t *testing.T) {
	limits := acceptor.NewLimits(1024, 50, 50)
	_, address := serve(t, echo, limits)

	slow, err := io.ReadAll(dial(t, address, "GET / HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	require.Contains(t, string(slow), "408")

	idle, err := io.ReadAll(dial(t, address, ""))
	require.NoError(t, err)
	require.Empty(t, idle)
}

func TestUnreadBodyIsNotParsedAsARequest(t *testing.T) {
	paths := make(chan string, 2)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path

		w.WriteHeader(http.StatusServiceUnavailable)
	}, acceptor.DefaultLimits())

	body := "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	c := dial(t, address, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%sGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", len(body), body))
	reader := bufio.NewReader(c)

	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}

	require.Equal(t, "/1", <-paths)
	require.Equal(t, "/2", <-paths)
}

func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		l := &oneConn{conn: server, done: make(chan struct{})}
		a := acceptor.New(http.HandlerFunc(echo), acceptor.DefaultLimits, acceptor.Options{})
		done := make(chan error, 1)

		go func() { done <- a.Serve(l) }()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()

		_, _ = io.Copy(io.Discard, client)

		require.NoError(t, a.Close())
		<-done
	})
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn net.Conn
	done chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil

		return c, nil
	}

	<-l.done

	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}

	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
