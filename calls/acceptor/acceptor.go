// Package acceptor serves HTTP/1.1 connections. Unlike the standard server it runs pipelined requests side by side, notices a
// caller that leaves while requests wait behind its own, and takes its limits from the configuration in force.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/meter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
)

// ErrClosed is returned by Serve after Shutdown or Close.
var ErrClosed = eris.New("acceptor is closed")

const (
	// maxPipelined bounds the requests of one connection that run side by side.
	maxPipelined = 16
	// keepAliveIdle, keepAlivePeriod and keepAliveProbes find connections that went silent without a reset.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveProbes = 3
	// acceptBackoff is the pause after a failed accept, such as one without free descriptors.
	acceptBackoff = 20 * time.Millisecond
	shutdownPoll  = 10 * time.Millisecond
)

// Limits bound what one caller may send.
type Limits struct {
	headerBytes   int
	headerTimeout tiller.Millis
	idleTimeout   tiller.Millis
}

// NewLimits returns limits on the size of a request's head in bytes and on the times to send it and to stay idle.
func NewLimits(headerBytes int, headerTimeout, idleTimeout tiller.Millis) Limits {
	return Limits{headerBytes: headerBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// DefaultLimits returns the limits in force without a configuration.
func DefaultLimits() Limits {
	return NewLimits(
		int(tiller.SettingMaxHeaderBytes.Range().Default()),
		tiller.Millis(tiller.SettingHeaderTimeoutMs.Range().Default()),
		tiller.Millis(tiller.SettingIdleTimeoutMs.Range().Default()),
	)
}

// Acceptor serves the connections of its listeners.
type Acceptor struct {
	handler http.Handler
	limits  func() Limits
	options Options

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	draining  bool
	closed    bool
}

// Options describe what the connections pass.
type Options struct {
	// Meter counts the bytes that pass the VM's link; it may be nil.
	Meter *meter.Meter
	// Shaper paces what goes out over the VM's link; it may be nil.
	Shaper *shaper.Shaper
}

// New returns an acceptor. The limits are asked for each request.
func New(handler http.Handler, limits func() Limits, options Options) *Acceptor {
	return &Acceptor{handler: handler, limits: limits, options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until the acceptor is shut down or closed; it then returns ErrClosed.
func (a *Acceptor) Serve(l net.Listener) error {
	a.mu.Lock()
	a.listeners[l] = struct{}{}
	closed := a.closed
	a.mu.Unlock()

	if closed {
		return errors.Join(ErrClosed, l.Close())
	}

	for {
		c, err := l.Accept()
		if err == nil {
			a.start(c)

			continue
		}

		if errors.Is(err, net.ErrClosed) {
			return ErrClosed
		}

		time.Sleep(acceptBackoff)
	}
}

func (a *Acceptor) start(raw net.Conn) {
	if t, ok := raw.(*net.TCPConn); ok {
		// Without keep-alive probes a silent connection only ends later.
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

func (a *Acceptor) forget(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()

	delete(a.conns, c)
}

// Drain makes every answer announce that its connection closes. New connections are still served.
func (a *Acceptor) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.draining = true
}

func (a *Acceptor) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.draining
}

// Shutdown stops accepting, closes idle connections and waits until every request that was read has been answered, or until
// the context ends.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.Drain()
	a.closeListeners()

	for !a.closeIdle() {
		select {
		case <-ctx.Done():
			return eris.Wrap(errors.Join(ctx.Err(), a.Close()), "requests in flight at the end of the shutdown")
		case <-time.After(shutdownPoll):
		}
	}

	return nil
}

func (a *Acceptor) closeListeners() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.closed = true

	for l := range a.listeners {
		// A listener that is closed already needs no closing.
		_ = l.Close()
	}
}

// closeIdle closes the connections without requests and reports whether none is left.
func (a *Acceptor) closeIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	for c := range a.conns {
		if c.closeIfIdle() {
			delete(a.conns, c)
		}
	}

	return len(a.conns) == 0
}

// Close closes all listeners and connections at once.
func (a *Acceptor) Close() error {
	a.closeListeners()

	a.mu.Lock()
	defer a.mu.Unlock()

	for c := range a.conns {
		c.abort()
	}

	return nil
}
