// Package acceptor serves HTTP/1.1 connections. Unlike net/http it runs pipelined requests concurrently, cancels running requests when
// the caller disconnects even if further requests are pipelined behind them, and reads its limits from the current configuration.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/meter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
)

// ErrClosed is returned by Serve after Shutdown or Close.
var ErrClosed = eris.New("acceptor is closed")

const (
	// maxPipelined bounds the concurrent requests of one connection.
	maxPipelined = 16
	// keepAliveIdle, keepAlivePeriod and keepAliveProbes detect unresponsive peers, which send no reset.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveProbes = 3
	// acceptBackoff is the delay after a failed accept, such as one that found no free file descriptor.
	acceptBackoff = 20 * time.Millisecond
	shutdownPoll  = 10 * time.Millisecond
	// lastAccepts is how long a listener accepts the connections that were opened before a shutdown.
	lastAccepts = 50 * time.Millisecond
)

// Limits bound the size and duration of what a caller sends.
type Limits struct {
	headerBytes   int
	headerTimeout tiller.Millis
	idleTimeout   tiller.Millis
}

// NewLimits returns limits on the size of a request's head in bytes, the time to send the head, and the time that a connection may be
// idle.
func NewLimits(headerBytes int, headerTimeout, idleTimeout tiller.Millis) Limits {
	return Limits{headerBytes: headerBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// DefaultLimits returns the limits of the default settings.
func DefaultLimits() Limits {
	return NewLimits(
		int(tiller.SettingMaxHeaderBytes.Range().Default()),
		tiller.Millis(tiller.SettingHeaderTimeoutMs.Range().Default()),
		tiller.Millis(tiller.SettingIdleTimeoutMs.Range().Default()),
	)
}

// Acceptor serves the connections of its listeners. It is safe for concurrent use.
type Acceptor struct {
	handler http.Handler
	limits  func() Limits
	options Options

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// serving counts the calls of Serve that have not returned.
	serving sync.WaitGroup
	// stopping is set once no further connections are accepted, and closed once all are closed immediately.
	stopping bool
	closed   bool
	// draining is set once connections are to be closed after their requests. It has no lock, since connections that hold theirs read it.
	draining atomic.Bool
}

// Options holds the meter and the shaper of connections from other VMs, and the log.
type Options struct {
	// Log receives a line for each request whose handler panicked.
	Log logr.Logger
	// Meter counts the bytes that pass the VM's link; it may be nil.
	Meter *meter.Meter
	// Shaper paces writes to the VM's link; it may be nil.
	Shaper *shaper.Shaper
}

// New returns an acceptor that calls limits for each request.
func New(handler http.Handler, limits func() Limits, options Options) *Acceptor {
	return &Acceptor{handler: handler, limits: limits, options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until the acceptor is shut down or closed; it then returns ErrClosed. Failed accepts are retried.
func (a *Acceptor) Serve(l net.Listener) error {
	if !a.register(l) {
		return errors.Join(ErrClosed, l.Close())
	}

	defer a.serving.Done()

	for {
		c, err := l.Accept()

		switch {
		case err == nil:
			a.serveConn(c)
		case errors.Is(err, net.ErrClosed):
			return ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errors.Join(ErrClosed, l.Close())
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

// register adds a listener and reports whether connections may still be accepted.
func (a *Acceptor) register(l net.Listener) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.stopping {
		return false
	}

	a.listeners[l] = struct{}{}
	a.serving.Add(1)

	return true
}

func (a *Acceptor) serveConn(raw net.Conn) {
	if t, ok := raw.(*net.TCPConn); ok {
		// Best effort: without keep-alive probes an unresponsive connection only ends later.
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes})
	}

	c := newConn(a, raw)

	a.mu.Lock()
	refused := a.closed
	if !refused {
		a.conns[c] = struct{}{}
	}
	a.mu.Unlock()

	if refused {
		c.abort()

		return
	}

	go c.serve()
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.conns, c)
}

// Drain closes every connection once the requests read from it have been answered; an idle connection closes after its next request. New
// connections are still served.
func (a *Acceptor) Drain() { a.draining.Store(true) }

func (a *Acceptor) isDraining() bool { return a.draining.Load() }

// Shutdown stops accepting connections, closes idle ones and waits until every request that was read has been answered. Connections that
// callers have already opened are accepted first, since their requests would be cut off with the listener. If the context ends first, it
// closes the remaining connections and returns the context's error.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.Drain()
	a.stopListeners(time.Now().Add(lastAccepts))
	a.serving.Wait()

	for !a.closeIdle() {
		select {
		case <-ctx.Done():
			return eris.Wrap(errors.Join(ctx.Err(), a.Close()), "shutdown ended with requests in flight")
		case <-time.After(shutdownPoll):
		}
	}

	return nil
}

// stopListeners lets the listeners accept connections until the given time, and closes immediately those that have no deadline.
func (a *Acceptor) stopListeners(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.stopping = true

	for l := range a.listeners {
		if d, ok := l.(interface{ SetDeadline(t time.Time) error }); !ok || d.SetDeadline(at) != nil {
			// The listener may already be closed.
			_ = l.Close()
		}
	}
}

// closeIdle ends the idle connections and reports whether no connection is left.
func (a *Acceptor) closeIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	for c := range a.conns {
		c.closeIfIdle()
	}

	return len(a.conns) == 0
}

// Close closes all listeners and connections immediately. It always returns nil.
func (a *Acceptor) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.stopping, a.closed = true, true

	for l := range a.listeners {
		// The listener may already be closed.
		_ = l.Close()
	}

	for c := range a.conns {
		c.abort()
	}

	return nil
}
