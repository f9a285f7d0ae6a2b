package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy stands on the network path to one process: it forwards what others send to its address and harms it on demand.
type proxy struct {
	target    string
	listeners []net.Listener
	udp       *net.UDPConn
	// delay is added to everything that passes, in nanoseconds.
	delay atomic.Int64
	// silent lets nothing through, without any sign to either side.
	silent atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wait  sync.WaitGroup
}

// newProxy forwards the TCP ports and the first port's datagrams from one host to another.
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

	p.wait.Go(func() { p.datagrams(net.JoinHostPort(target, ports[0])) })

	return p, nil
}

func (p *proxy) accept(l net.Listener, to string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}

		p.wait.Go(func() { p.carry(in, to) })
	}
}

// carry joins a connection with one to the process until either side ends.
func (p *proxy) carry(in net.Conn, to string) {
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
	p.drop(in, out)
}

func (p *proxy) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)

	for {
		n, err := from.Read(buffer)
		if wait := p.delay.Load(); wait > 0 {
			time.Sleep(time.Duration(wait))
		}

		// Bytes that a silent path swallows are lost for good; the connection stays silent until it is reset.
		if p.silent.Load() {
			continueSilently(p, from)

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
				// The other side may have closed it already.
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

// continueSilently keeps a connection open without a word until the path works again, then resets it.
func continueSilently(p *proxy, c net.Conn) {
	for p.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}

	reset(c)
}

func (p *proxy) datagrams(to string) {
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

		if err != nil || p.silent.Load() {
			continue
		}

		data := append([]byte(nil), buffer[:n]...)

		// Datagrams may be lost anyway.
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

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// resetAll resets every connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for c := range p.conns {
		reset(c)
	}
}

// reset ends a connection with a reset instead of an orderly close.
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

	p.silent.Store(false)
	p.resetAll()
	p.wait.Wait()

	return errors.Join(errs...)
}
