package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections and datagrams to one process and injects network faults on demand.
type proxy struct {
	target    string
	listeners []net.Listener
	udp       *net.UDPConn
	// delay is the time in nanoseconds that is added to each datagram and each read of a connection.
	delay atomic.Int64
	// blackhole discards all traffic without closing connections.
	blackhole atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wait  sync.WaitGroup
}

// newProxy starts a proxy from one host to another for the given TCP ports and for datagrams to the first port.
func newProxy(host, target string, ports ...string) (*proxy, error) {
	p := &proxy{target: target, conns: map[net.Conn]struct{}{}}

	for _, port := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil {
			return nil, errors.Join(err, p.close())
		}

		p.listeners = append(p.listeners, l)
		p.wait.Go(func() { p.accept(l, net.JoinHostPort(target, port)) })
	}

	address, err := net.ResolveUDPAddr("udp", net.JoinHostPort(host, ports[0]))
	if err != nil {
		return nil, errors.Join(err, p.close())
	}

	if p.udp, err = net.ListenUDP("udp", address); err != nil {
		return nil, errors.Join(err, p.close())
	}

	p.wait.Go(func() { p.forwardDatagrams(net.JoinHostPort(target, ports[0])) })

	return p, nil
}

func (p *proxy) accept(l net.Listener, to string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}

		p.wait.Go(func() { p.forward(in, to) })
	}
}

// forward connects to the process and copies in both directions until both have ended.
func (p *proxy) forward(in net.Conn, to string) {
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		reset(in)

		return
	}

	p.track(in, out)

	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		p.wait.Go(func() {
			p.copy(way[0], way[1])
			done <- struct{}{}
		})
	}

	<-done
	<-done
	p.closeConns(in, out)
}

func (p *proxy) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)

	for {
		n, err := from.Read(buffer)
		if wait := p.delay.Load(); wait > 0 {
			time.Sleep(time.Duration(wait))
		}

		// Discarded bytes would leave a gap in the stream, so the connection must not continue: it is reset once traffic passes again.
		if p.blackhole.Load() {
			holdUntilRestored(p, from)

			return
		}

		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)

				return
			}
		}

		if errors.Is(err, io.EOF) {
			if half, ok := to.(*net.TCPConn); ok {
				// The peer may have closed the connection already.
				_ = half.CloseWrite()
			}

			return
		}

		if err != nil {
			reset(to)

			return
		}
	}
}

// holdUntilRestored keeps a connection open without traffic until the blackhole ends, then resets it.
func holdUntilRestored(p *proxy, c net.Conn) {
	for p.blackhole.Load() {
		time.Sleep(10 * time.Millisecond)
	}

	reset(c)
}

func (p *proxy) forwardDatagrams(to string) {
	address, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return
	}

	buffer := make([]byte, 64<<10)

	for {
		n, _, err := p.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		if err != nil || p.blackhole.Load() {
			continue
		}

		data := append([]byte(nil), buffer[:n]...)

		// Datagrams are unreliable, so errors are ignored.
		time.AfterFunc(time.Duration(p.delay.Load()), func() { _, _ = p.udp.WriteToUDP(data, address) })
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	_ = c.Close()
}

func (p *proxy) close() error {
	var errs []error
	for _, l := range p.listeners {
		errs = append(errs, l.Close())
	}

	if p.udp != nil {
		errs = append(errs, p.udp.Close())
	}

	p.blackhole.Store(false)
	p.resetAll()
	p.wait.Wait()

	return errors.Join(errs...)
}
