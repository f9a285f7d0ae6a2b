// Package transporter moves messages between processes: small ones as datagrams, large ones over TCP.
package transporter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/compressor"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// MaxDatagramBytes is the largest message sent as a datagram.
	MaxDatagramBytes = 1200
	// OverheadBytes is what the headers of one datagram add on the network.
	OverheadBytes = 28

	readBufferBytes = 64 << 10
	// deliverTimeout bounds one small delivery over TCP, with the opening of a connection through full links: the bound on the time until a
	// version is in force. What is lost is sent again by its sender's timers.
	deliverTimeout = 2 * time.Second
	// closeTimeout is how long deliveries go on after the transporter is closed, a part of the time that a process has to stop.
	closeTimeout = 500 * time.Millisecond
	// slowestLink is the rate, in bytes a second, at which a large message still arrives: a quarter of the narrowest link in use.
	slowestLink    = 64 << 10
	deliverWorkers = 64
	// maxDeliveries bounds the deliveries to one process under way, so that one that does not answer holds up no other.
	maxDeliveries    = 2
	deliverQueue     = 512
	idleConnections  = 2
	idleTimeout      = 30 * time.Second
	httpOverhead     = 400
	socketBufferSize = 4 << 20
)

// Transporter sends and receives the messages of one process.
type Transporter struct {
	address  tiller.Address
	conn     *net.UDPConn
	clock    *recorder.HybridClock
	receiver tiller.Receiver
	filter   Filter
	log      logr.Logger
	pool     pond.Pool
	client   *http.Client
	mu       sync.Mutex
	peers    map[string]wire.Peer
	// delivering counts the deliveries under way by destination.
	delivering map[string]int
	resolved   sync.Map
	sent       metrics.Counter
	received   metrics.Counter
	lost       metrics.Counter
	// kinds counts the bytes sent by the kind of message.
	kinds    sync.Map
	registry metrics.Registry
	// ctx ends the deliveries under way some time after the transporter is closed.
	ctx    context.Context //nolint:containedctx // it lives as long as the transporter
	cancel context.CancelFunc
	// onSent is told how many bytes each message takes on the link.
	onSent func(bytes int)
}

// bodies is the choice of what an envelope carries.
var bodies = (*wire.Envelope)(nil).ProtoReflect().Descriptor().Oneofs().ByName("body")

var (
	_ tiller.Transport = (*Transporter)(nil)
	_ wire.Peer        = (*Transporter)(nil)
)

// Filter tells whether a message may pass between two addresses; tests and demonstrations cut networks with it.
type Filter func(from, to tiller.Address) bool

// New opens the datagram socket of a process that others know by an address, on the bind host if there is one. The receiver is set
// with Attach before Run. The function onSent is told how many bytes each message takes on the link; it may be nil.
func New(
	address tiller.Address, bindHost string, clock *recorder.HybridClock, filter Filter, registry metrics.Registry, onSent func(bytes int),
	log logr.Logger,
) (*Transporter, error) {
	udp, err := net.ResolveUDPAddr("udp", Bound(string(address), bindHost))
	if err != nil {
		return nil, eris.Wrapf(err, "address %s", address)
	}

	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "listen for datagrams")
	}

	// A smaller buffer than asked for only loses more datagrams in a burst.
	_ = conn.SetReadBuffer(socketBufferSize)

	sentBytes := metrics.GetOrRegisterCounter("control.sent_bytes", registry)
	count := func(bytes int) {
		sentBytes.Inc(int64(bytes))

		if onSent != nil {
			onSent(bytes)
		}
	}

	client, err := newClient(func(bytes int) { count(bytes + httpOverhead) })
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}

	ctx, cancel := context.WithCancel(context.Background())

	return &Transporter{
		ctx: ctx, cancel: cancel,
		address: address, conn: conn, clock: clock, filter: filter, log: log,
		pool:  pond.NewPool(deliverWorkers, pond.WithQueueSize(deliverQueue), pond.WithNonBlocking(true)),
		peers: map[string]wire.Peer{}, delivering: map[string]int{},
		client:   client,
		registry: registry,
		sent:     metrics.GetOrRegisterCounter("control.sent_messages", registry),
		onSent:   count,
		received: metrics.GetOrRegisterCounter("control.received_bytes", registry),
		lost:     metrics.GetOrRegisterCounter("control.lost_messages", registry),
	}, nil
}

// newClient returns a client that tells how many bytes each request takes.
func newClient(sent func(bytes int)) (*http.Client, error) {
	transport, err := compressor.NewTransport(&http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}, sent)

	return &http.Client{Transport: transport}, err
}

// Register adds the handler that takes large messages.
func (t *Transporter) Register(mux *http.ServeMux) {
	mux.Handle(wire.PeerPathPrefix, compressor.NewHandler(wire.NewPeerServer(t)))
}

// Attach sets who takes received messages.
func (t *Transporter) Attach(r tiller.Receiver) { t.receiver = r }

// Send sends messages without waiting; a lost one is for the sender's timers.
func (t *Transporter) Send(envelopes ...*wire.Envelope) {
	for _, e := range envelopes {
		t.sendOne(e)
	}
}

func (t *Transporter) sendOne(e *wire.Envelope) {
	if t.filter != nil && !t.filter(t.address, tiller.Address(e.GetTo())) {
		return
	}

	stamped := &wire.Envelope{
		From: e.GetFrom(), To: e.GetTo(), Cluster: e.GetCluster(), Stamp: uint64(t.clock.Next()),
		Stream: e.GetStream(), Body: e.GetBody(),
	}

	size := proto.Size(stamped)
	t.sent.Inc(1)
	t.countKind(stamped, size)

	if size <= MaxDatagramBytes && !e.GetStream() {
		t.sendDatagram(stamped)

		return
	}

	if !t.reserve(e.GetTo()) {
		t.lost.Inc(1)

		return
	}

	if _, ok := t.pool.TrySubmit(func() { t.deliver(stamped, size) }); !ok {
		t.release(e.GetTo())
		t.lost.Inc(1)
	}
}

// countKind counts the bytes of a message, before compression, under the name of its kind, such as control.message_bytes.probe.
func (t *Transporter) countKind(e *wire.Envelope, size int) {
	kind := e.ProtoReflect().WhichOneof(bodies)
	if kind == nil {
		return
	}

	counter, ok := t.kinds.Load(kind.Name())
	if !ok {
		counter, _ = t.kinds.LoadOrStore(kind.Name(), metrics.GetOrRegisterCounter("control.message_bytes."+string(kind.Name()), t.registry))
	}

	if c, ok := counter.(metrics.Counter); ok {
		c.Inc(int64(size))
	}
}

// reserve takes one of the few deliveries that may be under way to a process.
func (t *Transporter) reserve(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.delivering[to] >= maxDeliveries {
		return false
	}

	t.delivering[to]++

	return true
}

func (t *Transporter) release(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.delivering[to]--
	if t.delivering[to] == 0 {
		delete(t.delivering, to)
	}
}

func (t *Transporter) sendDatagram(e *wire.Envelope) {
	to := e.GetTo()

	data, err := proto.Marshal(e)
	if err != nil {
		t.lose(err, "encode message", to)

		return
	}

	t.onSent(len(data) + OverheadBytes)

	address, err := t.resolve(to)
	if err == nil {
		_, err = t.conn.WriteToUDP(data, address)
	}

	if err != nil {
		t.lose(err, "send datagram", to)
	}
}

func (t *Transporter) resolve(to string) (*net.UDPAddr, error) {
	if a, ok := t.resolved.Load(to); ok {
		if udp, ok := a.(*net.UDPAddr); ok {
			return udp, nil
		}
	}

	a, err := net.ResolveUDPAddr("udp", to)
	if err == nil {
		t.resolved.Store(to, a)
	}

	return a, err
}

// DeliveryTimeout returns how long the delivery of a message of a number of bytes may take.
func DeliveryTimeout(size int) time.Duration {
	return deliverTimeout + time.Duration(size)*time.Second/slowestLink
}

func (t *Transporter) deliver(e *wire.Envelope, size int) {
	defer t.release(e.GetTo())

	ctx, cancel := context.WithTimeout(t.ctx, DeliveryTimeout(size))
	defer cancel()

	if _, err := t.peer(e.GetTo()).Deliver(ctx, e); err != nil {
		t.lose(err, "deliver message", e.GetTo())
	}
}

func (t *Transporter) peer(to string) wire.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()

	p := t.peers[to]
	if p == nil {
		p = wire.NewPeerProtobufClient("http://"+to, t.client)
		t.peers[to] = p
	}

	return p
}

func (t *Transporter) lose(err error, what, to string) {
	t.lost.Inc(1)
	t.log.V(1).Info(what, "to", to, "error", err.Error())
}

// Deliver takes a message that came over TCP.
func (t *Transporter) Deliver(_ context.Context, e *wire.Envelope) (*wire.Empty, error) {
	t.received.Inc(int64(proto.Size(e) + httpOverhead))
	t.take(e)

	return &wire.Empty{}, nil
}

func (t *Transporter) take(e *wire.Envelope) {
	if t.filter != nil && !t.filter(tiller.Address(e.GetFrom()), t.address) {
		return
	}

	t.clock.Hear(recorder.Stamp(e.GetStamp()))

	if t.receiver != nil {
		t.receiver.Receive(e)
	}
}

// Run receives datagrams until the transporter is closed.
func (t *Transporter) Run(_ context.Context) error {
	buffer := make([]byte, readBufferBytes)

	for {
		n, _, err := t.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}

		if err != nil {
			t.log.V(1).Info("receive datagram", "error", err.Error())

			continue
		}

		t.receiveDatagram(buffer[:n])
	}
}

func (t *Transporter) receiveDatagram(data []byte) {
	t.received.Inc(int64(len(data) + OverheadBytes))

	e := &wire.Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		t.log.V(1).Info("damaged datagram", "error", err.Error())

		return
	}

	t.take(e)
}

// Close stops sending and receiving.
func (t *Transporter) Close(_ context.Context) error {
	timer := time.AfterFunc(closeTimeout, t.cancel)

	t.pool.StopAndWait()
	timer.Stop()
	t.cancel()
	t.client.CloseIdleConnections()

	return eris.Wrap(t.conn.Close(), "close datagram socket")
}
