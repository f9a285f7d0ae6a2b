package runner_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

// TestUnusedConnectionDoesNotDelayStop opens a connection that never sends a request, for which the shutdown of net/http waits five seconds.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	accepted := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			close(accepted)
		}
	}}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- runner.Run(ctx, runner.NewHTTP("api", server, l)) }()

	unused, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)

	defer unused.Close()

	<-accepted
	cancel()

	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(4 * time.Second):
		require.Fail(t, "the stop waits for an unused connection")
	}
}
