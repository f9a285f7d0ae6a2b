// Package exchanger sends HTTP/1.1 requests on pooled connections. Unlike the net/http client it never retries a request, skips responses
// that belong to other requests, and reports whether a failed request may have reached the server.
package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/meter"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/peeker"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
)

const (
	// defaultDialTimeout bounds the opening of a connection; a lost SYN is retransmitted after about 1 s.
	defaultDialTimeout = 1500 * time.Millisecond
	// defaultAckTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	defaultAckTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAlivePeriod and keepAliveProbes detect unresponsive peers, which send no reset.
	keepAliveIdle   = time.Second
	keepAlivePeriod = time.Second
	keepAliveProbes = 2
	// defaultIdleTimeout is how long an idle connection is kept if the server does not specify a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that the server does not close a connection while a request is sent.
	idleMargin = time.Second

	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	maxHeaderBytes   = 64 << 10
	// maxIdle bounds the idle connections of an address.
	maxIdle = 128
	// maxUnmatched bounds the responses that are read for one request, including interim responses and those to other requests.
	maxUnmatched = 4
	// maxUnmatchedBytes is the largest body of a response to another request that is discarded to keep the connection.
	maxUnmatchedBytes = 256 << 10
	// maxRecentIDs bounds the ids that are remembered of the requests on a connection.
	maxRecentIDs = 32
)

// Options configure an Exchanger.
type Options struct {
	// Filter reports whether an address may be connected to; nil allows all.
	Filter func(to tiller.Address) bool
	// DialTimeout bounds the opening of a connection; zero means 1.5 s.
	DialTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged before the connection fails; zero means 1.5 s.
	AckTimeout time.Duration
	// OnConnect is called after each new connection has been opened; it may be nil.
	OnConnect func(to tiller.Address)
	// Meter counts the bytes sent and received; it may be nil.
	Meter *meter.Meter
	// Shaper paces writes to the VM's link; it may be nil.
	Shaper *shaper.Shaper
}

func (o Options) ackTimeout() time.Duration { return cmp.Or(o.AckTimeout, defaultAckTimeout) }

// Exchanger sends requests and pools idle connections by address. It is safe for concurrent use.
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
			Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, options.ackTimeout()) },
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, with which the operating system closes a connection whose data stays unacknowledged, or whose peer does not
// answer keep-alive probes.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	return c.Control(func(fd uintptr) {
		// Best effort: without it keep-alive probes still detect an unresponsive peer, but later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// conn is a connection to a server.
type conn struct {
	raw         net.Conn
	writer      io.Writer
	reader      *bufio.Reader
	limited     *io.LimitedReader
	to          tiller.Address
	idleSince   time.Time
	idleTimeout time.Duration
	ackTimeout  time.Duration
	// sent is the number of requests that were sent on the connection, and recentIDs are hashes of the ids of the last of them.
	sent      int
	recentIDs []uint64
}

// get returns the most recently used idle connection that is still usable, or opens one. A request whose answer could be confused with a late
// copy of an earlier one gets a new connection.
func (x *Exchanger) get(ctx context.Context, r Request) (*conn, error) {
	to := r.To
	if x.options.Filter != nil && !x.options.Filter(to) {
		return nil, eris.Errorf("no connection to %s", to)
	}

	if r.expectsIdentification() && r.ID == "" {
		return x.dial(ctx, to)
	}

	for {
		c := x.pop(to)
		if c == nil {
			return x.dial(ctx, to)
		}

		if !c.hasSent(r) && time.Since(c.idleSince) < c.idleTimeout && c.usable() {
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

	if x.options.OnConnect != nil {
		x.options.OnConnect(to)
	}

	limited := &io.LimitedReader{R: x.options.Meter.Reader(raw)}

	return &conn{
		raw: raw, writer: x.options.Meter.Writer(raw), limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes),
		to: to, idleTimeout: defaultIdleTimeout, ackTimeout: x.options.ackTimeout(),
	}, nil
}

// put returns a connection to the pool.
func (x *Exchanger) put(c *conn) {
	c.idleSince = time.Now()

	x.mu.Lock()
	defer x.mu.Unlock()

	if x.closed || len(x.idle[c.to]) >= maxIdle {
		c.close()

		return
	}

	x.idle[c.to] = append(x.prune(c.to), c)
}

// prune closes the leading connections, those idle for longest, whose idle timeout has expired, and returns the others. The lock is held.
func (x *Exchanger) prune(to tiller.Address) []*conn {
	list := x.idle[to]
	for len(list) > 0 && time.Since(list[0].idleSince) >= list[0].idleTimeout {
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

// Close closes the idle connections and disables pooling. Requests in flight are not affected.
func (x *Exchanger) Close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()

	x.CloseIdle()
}

// Refuses reports whether the server's port refuses connections. It opens a connection to find out, and pools it.
func (x *Exchanger) Refuses(ctx context.Context, to tiller.Address) bool {
	c, err := x.dial(ctx, to)
	if err == nil {
		x.put(c)
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}

// setAckTimeout sets how long the bytes sent from now on may stay unacknowledged.
func (c *conn) setAckTimeout(timeout time.Duration) error {
	if timeout == c.ackTimeout {
		return nil
	}

	tcp, ok := c.raw.(syscall.Conn)
	if !ok {
		return nil
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}

	c.ackTimeout = timeout

	return setUserTimeout(raw, timeout)
}

// hasSent reports whether a request with the same id was among the last ones on the connection.
func (c *conn) hasSent(r Request) bool {
	return r.expectsIdentification() && slices.Contains(c.recentIDs, xxhash.Sum64String(r.ID))
}

// recordSent counts a request that is about to be sent.
func (c *conn) recordSent(r Request) {
	c.sent++

	if !r.expectsIdentification() {
		return
	}

	if len(c.recentIDs) >= maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}

	c.recentIDs = append(c.recentIDs, xxhash.Sum64String(r.ID))
}

// close closes the connection. Its error is ignored since the peer may already have closed it.
func (c *conn) close() { _ = c.raw.Close() }

// usable reports whether the connection is open and has received no unsolicited bytes.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && peeker.Peek(c.raw) == peeker.StateQuiet
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, and whether it is present and valid.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, v := range h["Keep-Alive"] {
		const name = "timeout="

		for part := range splitHeaderList(v) {
			if len(part) > len(name) && part[:len(name)] == name {
				seconds, err := strconv.Atoi(part[len(name):])

				return time.Duration(seconds) * time.Second, err == nil
			}
		}
	}

	return 0, false
}
