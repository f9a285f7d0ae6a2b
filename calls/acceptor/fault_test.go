package acceptor_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/acceptor"
)

// pendingListener has one connection that was opened before the shutdown and that it returns only after the shutdown has begun.
type pendingListener struct {
	net.Listener

	accepting chan struct{}
	stopping  chan struct{}
	once      sync.Once
	accepted  bool
}

// SetDeadline is called when a shutdown begins.
func (l *pendingListener) SetDeadline(time.Time) error {
	l.once.Do(func() { close(l.stopping) })

	return nil
}

// Accept returns the pending connection, and then an error as of a listener past its deadline.
func (l *pendingListener) Accept() (net.Conn, error) {
	if l.accepted {
		return nil, os.ErrDeadlineExceeded
	}

	l.accepted = true

	close(l.accepting)
	<-l.stopping

	return l.Listener.Accept()
}

// TestShutdownServesAConnectionThatWasJustOpened guards against a caller whose request is sent, but whose connection is cut off because it was
// not accepted yet when the shutdown began, or looked idle while its first bytes were being read. The rounds meet that moment.
func TestShutdownServesAConnectionThatWasJustOpened(t *testing.T) {
	const rounds = 30

	for range rounds {
		shutDownWithPendingConnection(t)
	}
}

func shutDownWithPendingConnection(t *testing.T) {
	t.Helper()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &pendingListener{Listener: inner, accepting: make(chan struct{}), stopping: make(chan struct{})}
	a := acceptor.New(http.HandlerFunc(echo), acceptor.DefaultLimits, acceptor.Options{})
	c := dial(t, inner.Addr().String(), "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	done := make(chan error, 1)

	go func() { done <- a.Serve(l) }()

	<-l.accepting
	require.NoError(t, a.Shutdown(context.Background()))
	require.ErrorIs(t, <-done, acceptor.ErrClosed)

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close)
}

// TestPanicEndsOnlyItsOwnRequest guards against one request that brings down the whole process.
func TestPanicEndsOnlyItsOwnRequest(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poison" {
			panic("a fault in the handler")
		}

		echo(w, r)
	}, acceptor.DefaultLimits())

	poisoned := dial(t, address, "GET /poison HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := poisoned.Read(make([]byte, 1))
	require.Error(t, err, "no answer, since the request may have run")

	healthy := dial(t, address, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(healthy), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestResponsesOfAnEndedConnectionDoNotInterleave guards against a response that is written into the middle of a preceding one, after the caller has
// closed its side and a request between the two has given up. The rounds meet that moment.
func TestResponsesOfAnEndedConnectionDoNotInterleave(t *testing.T) {
	const (
		rounds    = 10
		following = 8
		// length is more than the socket's buffers hold, so that the first response is still being written when the others end.
		length = 16 << 20
	)

	for range rounds {
		writing := make(chan struct{})
		ended := make(chan struct{}, following)
		_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/first" {
				<-r.Context().Done()

				_, _ = io.WriteString(w, "following")
				ended <- struct{}{}

				return
			}

			w.Header().Set("Content-Length", strconv.Itoa(length))

			for part := bytes.Repeat([]byte("1"), 1<<20); ; {
				if _, err := w.Write(part); err != nil {
					return
				}

				select {
				case <-writing:
				default:
					close(writing)
				}
			}
		}, acceptor.DefaultLimits())

		requests := "GET /first HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("GET /next HTTP/1.1\r\nHost: a\r\n\r\n", following)
		c := dial(t, address, requests)

		<-writing

		tcp, ok := c.(*net.TCPConn)
		require.True(t, ok)
		require.NoError(t, tcp.CloseWrite())

		for range following {
			<-ended
		}

		received, _ := io.ReadAll(c)
		_, body, _ := bytes.Cut(received, []byte("\r\n\r\n"))
		require.Empty(t, bytes.Trim(body, "1"), "only the first response may have been written")
	}
}
