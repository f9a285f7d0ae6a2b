package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// httpStopTimeout bounds the graceful shutdown of an HTTP server, which would wait five seconds for connections that have not sent anything yet.
const httpStopTimeout = 300 * time.Millisecond

// NewHTTP returns a part that serves HTTP on a listener until it is stopped; requests still running after httpStopTimeout are cut off.
func NewHTTP(name string, server *http.Server, l net.Listener) Part {
	run := func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}

		return nil
	}

	stop := func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, httpStopTimeout)
		defer cancel()

		if err := server.Shutdown(bounded); !errors.Is(err, context.DeadlineExceeded) {
			return err
		}

		return server.Close()
	}

	return NewPart(name, run, stop)
}
