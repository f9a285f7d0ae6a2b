// Package exchanger sends HTTP/1.1 requests on pooled connections. Unlike the standard client it never repeats a request,
// passes over answers that belong to other requests, and says whether a failed request may have reached the server.
package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/meter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/peeker"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
)

const (
	// defaultDialTimeout bounds the opening of a connection; a lost opening packet is sent again after about a second.
	defaultDialTimeout = 1500 * time.Millisecond
	// defaultSilentTimeout is how long sent bytes may stay without acknowledgement before the connection counts as broken.
	defaultSilentTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAlivePeriod and keepAliveProbes find connections that went silent without a reset.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveProbes = 2
	// defaultIdleTimeout is how long a connection is kept for a server that states no time of its own.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is kept from the server's own idle timeout, so that a request does not cross its close.
	idleMargin = time.Second

	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	maxHeaderBytes   = 64 << 10
	maxIdle          = 128
	maxForeign       = 4
	// maxForeignBytes is how much of the body of an answer to another request is read to keep the connection.
	maxForeignBytes = 256 << 10
)

// Options describe a pool.
type Options struct {
	// Filter cuts connections; nil lets everything pass.
	Filter func(to tiller.Address) bool
	// DialTimeout bounds the opening of a connection, zero for the default.
	DialTimeout time.Duration
	// SilentTimeout is how long sent bytes may stay without acknowledgement, zero for the default.
	SilentTimeout time.Duration
	// Opened is called for each new connection; it may be nil.
	Opened func(to tiller.Address)
	// Meter counts the bytes on the connections; it may be nil.
	Meter *meter.Meter
	// Shaper paces what goes out over the VM's link; it may be nil.
	Shaper *shaper.Shaper
}

// Exchanger keeps idle connections by address. It is safe for concurrent use.
type Exchanger struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[tiller.Address][]*conn
	closed bool
}

// New returns an exchanger without connections.
func New(options Options) *Exchanger {
	return &Exchanger{
		options: options, idle: map[tiller.Address][]*conn{},
		dialer: net.Dialer{
			Timeout:         cmp.Or(options.DialTimeout, defaultDialTimeout),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes},
			Control:         setUserTimeout(cmp.Or(options.SilentTimeout, defaultSilentTimeout)),
		},
	}
}

// setUserTimeout makes the operating system give up on a peer that acknowledges nothing.
func setUserTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without it keep-alive probes find a silent peer, only later.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// conn is one connection to a server.
type conn struct {
	raw       net.Conn
	writer    io.Writer
	reader    *bufio.Reader
	limited   *io.LimitedReader
	to        tiller.Address
	idleSince time.Time
	idleFor   time.Duration
	used      bool
}

// get returns an idle connection that is still open, the one used last first, or opens one.
func (x *Exchanger) get(ctx context.Context, to tiller.Address) (*conn, error) {
	if x.options.Filter != nil && !x.options.Filter(to) {
		return nil, eris.Errorf("no connection to %s", to)
	}

	for {
		c := x.pop(to)
		if c == nil {
			return x.dial(ctx, to)
		}

		if time.Since(c.idleSince) < c.idleFor && c.quiet() {
			return c, nil
		}

		c.close()
	}
}

func (x *Exchanger) pop(to tiller.Address) *conn {
	x.mu.Lock()
	defer x.mu.Unlock()

	list := x.idle[to]
	if len(list) == 0 {
		return nil
	}

	c := list[len(list)-1]
	x.idle[to] = list[:len(list)-1]

	return c
}

func (x *Exchanger) dial(ctx context.Context, to tiller.Address) (*conn, error) {
	raw, err := x.dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}

	if x.options.Opened != nil {
		x.options.Opened(to)
	}

	limited := &io.LimitedReader{R: x.options.Meter.Reader(raw)}

	return &conn{
		raw: raw, writer: x.options.Meter.Writer(raw), limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes),
		to: to, idleFor: defaultIdleTimeout,
	}, nil
}

// put keeps a connection for the next request.
func (x *Exchanger) put(c *conn) {
	c.used = true
	c.idleSince = time.Now()

	x.mu.Lock()
	defer x.mu.Unlock()

	if x.closed || len(x.idle[c.to]) >= maxIdle {
		c.close()

		return
	}

	x.idle[c.to] = append(x.prune(c.to), c)
}

// prune closes the connections that were idle for too long; the oldest come first.
func (x *Exchanger) prune(to tiller.Address) []*conn {
	list := x.idle[to]
	for len(list) > 0 && time.Since(list[0].idleSince) >= list[0].idleFor {
		list[0].close()
		list = list[1:]
	}

	return list
}

// CloseIdle closes the idle connections.
func (x *Exchanger) CloseIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()

	for to, list := range x.idle {
		for _, c := range list {
			c.close()
		}

		delete(x.idle, to)
	}
}

// Close closes the idle connections and keeps none from now on.
func (x *Exchanger) Close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()

	x.CloseIdle()
}

// Refuses reports whether the server's port refuses connections; it opens one to find out.
func (x *Exchanger) Refuses(ctx context.Context, to tiller.Address) bool {
	c, err := x.dial(ctx, to)
	if err == nil {
		x.put(c)
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}

// close ends the connection; the other side may have ended it already.
func (c *conn) close() { _ = c.raw.Close() }

// quiet reports whether the connection is open and holds no bytes that nobody asked for.
func (c *conn) quiet() bool {
	return c.reader.Buffered() == 0 && peeker.Peek(c.raw) == peeker.StateQuiet
}

// keepAliveTimeout reads how long the server keeps idle connections.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, v := range h["Keep-Alive"] {
		const name = "timeout="

		for part := range splitList(v) {
			if len(part) > len(name) && part[:len(name)] == name {
				seconds, err := strconv.Atoi(part[len(name):])

				return time.Duration(seconds) * time.Second, err == nil
			}
		}
	}

	return 0, false
}
