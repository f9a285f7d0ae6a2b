// Package transporter sends and receives messages between processes: small ones as UDP datagrams, large ones over HTTP.
package transporter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
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
	// DatagramOverheadBytes is the size of the IPv4 and UDP headers of one datagram.
	DatagramOverheadBytes = 28

	readBufferBytes = 64 << 10
	// deliveryBaseTimeout bounds the delivery of a small message over TCP, including connection setup over saturated links; it equals the
	// bound on the time until a version is in force. The sender's timers retry lost messages.
	deliveryBaseTimeout = 2 * time.Second
	// closeTimeout is how long deliveries may continue after the transporter is closed; it is part of the time that a process has to stop.
	closeTimeout = 500 * time.Millisecond
	// minLinkBytesPerSecond is the lowest link rate at which a large message still arrives in time: a quarter of the narrowest link in use.
	minLinkBytesPerSecond = 64 << 10
	deliveryWorkers       = 64
	// maxDeliveriesPerPeer bounds the concurrent deliveries to one process, so that an unresponsive one does not block the others.
	maxDeliveriesPerPeer = 2
	deliveryQueueLength  = 512
	maxIdleConnsPerPeer  = 2
	idleTimeout          = 30 * time.Second
	// httpOverheadBytes is the assumed size of the HTTP headers of one message.
	httpOverheadBytes = 400
	socketBufferBytes = 4 << 20
)

// Transporter sends and receives the messages of one process; it is safe for concurrent use once the receiver is set.
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
	// deliveries counts the concurrent deliveries by destination.
	deliveries map[string]int
	// resolved caches the UDP addresses of destinations.
	resolved      sync.Map
	sentMessages  metrics.Counter
	receivedBytes metrics.Counter
	lostMessages  metrics.Counter
	// bytesByKind counts the bytes sent, by the kind of message.
	bytesByKind sync.Map
	registry    metrics.Registry
	// ctx is the parent context of deliveries; it is cancelled closeTimeout after Close at the latest.
	ctx    context.Context //nolint:containedctx // it lives as long as the transporter
	cancel context.CancelFunc
	// onSent is called with the number of bytes that each message takes on the link.
	onSent func(bytes int)
}

// bodyOneof is the descriptor of an envelope's body, whose field names are the kinds of messages.
var bodyOneof = (*wire.Envelope)(nil).ProtoReflect().Descriptor().Oneofs().ByName("body")

var (
	_ tiller.Transport = (*Transporter)(nil)
	_ wire.Peer        = (*Transporter)(nil)
)

// Filter reports whether a message may pass between two addresses; tests and demonstrations use it to partition the network.
type Filter func(from, to tiller.Address) bool

// New returns a transporter with an open datagram socket for the given address, on the bind host if that is not empty. Set the receiver
// with SetReceiver before Run. The function onSent is called with the number of bytes that each message takes on the link; it may be nil.
func New(
	address tiller.Address, bindHost string, clock *recorder.HybridClock, filter Filter, registry metrics.Registry, onSent func(bytes int),
	log logr.Logger,
) (*Transporter, error) {
	udp, err := net.ResolveUDPAddr("udp", ListenAddress(string(address), bindHost))
	if err != nil {
		return nil, eris.Wrapf(err, "address %s", address)
	}

	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "listen for datagrams")
	}

	// The error is ignored: a smaller buffer only loses more datagrams in a burst.
	_ = conn.SetReadBuffer(socketBufferBytes)

	sentBytes := metrics.GetOrRegisterCounter("control.sent_bytes", registry)
	count := func(bytes int) {
		sentBytes.Inc(int64(bytes))

		if onSent != nil {
			onSent(bytes)
		}
	}

	client, err := newClient(func(bytes int) { count(bytes + httpOverheadBytes) })
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}

	ctx, cancel := context.WithCancel(context.Background())

	return &Transporter{
		ctx: ctx, cancel: cancel,
		address: address, conn: conn, clock: clock, filter: filter, log: log,
		pool:  pond.NewPool(deliveryWorkers, pond.WithQueueSize(deliveryQueueLength), pond.WithNonBlocking(true)),
		peers: map[string]wire.Peer{}, deliveries: map[string]int{},
		client:        client,
		registry:      registry,
		sentMessages:  metrics.GetOrRegisterCounter("control.sent_messages", registry),
		onSent:        count,
		receivedBytes: metrics.GetOrRegisterCounter("control.received_bytes", registry),
		lostMessages:  metrics.GetOrRegisterCounter("control.lost_messages", registry),
	}, nil
}

// newClient returns an HTTP client that calls onSent with the compressed size of each request body.
func newClient(onSent func(bytes int)) (*http.Client, error) {
	transport, err := compressor.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: idleTimeout}, onSent)

	return &http.Client{Transport: transport}, err
}

// Register adds the HTTP handler that receives large messages.
func (t *Transporter) Register(mux *http.ServeMux) {
	mux.Handle(wire.PeerPathPrefix, compressor.NewHandler(wire.NewPeerServer(t)))
}

// SetReceiver sets the receiver of incoming messages; without one they are discarded.
func (t *Transporter) SetReceiver(r tiller.Receiver) { t.receiver = r }

// Send sends messages without waiting. Messages that cannot be sent are counted as lost; retrying them is up to the sender.
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
	t.sentMessages.Inc(1)
	t.countKind(stamped, size)

	if size <= MaxDatagramBytes && !e.GetStream() {
		t.sendDatagram(stamped)

		return
	}

	if !t.reserve(e.GetTo()) {
		t.lostMessages.Inc(1)

		return
	}

	if _, ok := t.pool.TrySubmit(func() { t.deliver(stamped, size) }); !ok {
		t.release(e.GetTo())
		t.lostMessages.Inc(1)
	}
}

// countKind adds the size of a message before compression to the counter of its kind, such as control.message_bytes.probe.
func (t *Transporter) countKind(e *wire.Envelope, size int) {
	kind := e.ProtoReflect().WhichOneof(bodyOneof)
	if kind == nil {
		return
	}

	counter, ok := t.bytesByKind.Load(kind.Name())
	if !ok {
		counter, _ = t.bytesByKind.LoadOrStore(kind.Name(), metrics.GetOrRegisterCounter("control.message_bytes."+string(kind.Name()), t.registry))
	}

	if c, ok := counter.(metrics.Counter); ok {
		c.Inc(int64(size))
	}
}

// reserve counts one more delivery to a process and returns true, or returns false if maxDeliveriesPerPeer are already in progress.
func (t *Transporter) reserve(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.deliveries[to] >= maxDeliveriesPerPeer {
		return false
	}

	t.deliveries[to]++

	return true
}

func (t *Transporter) release(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.deliveries[to]--
	if t.deliveries[to] == 0 {
		delete(t.deliveries, to)
	}
}

func (t *Transporter) sendDatagram(e *wire.Envelope) {
	to := e.GetTo()

	data, err := proto.Marshal(e)
	if err != nil {
		t.countLost(err, "message encoding failed", to)

		return
	}

	t.onSent(len(data) + DatagramOverheadBytes)

	address, err := t.resolve(to)
	if err == nil {
		_, err = t.conn.WriteToUDP(data, address)
	}

	if err != nil {
		t.countLost(err, "datagram send failed", to)
	}
}

func (t *Transporter) resolve(to string) (*net.UDPAddr, error) {
	if a, ok := t.resolved.Load(to); ok {
		if udp, ok := a.(*net.UDPAddr); ok {
			return udp, nil
		}
	}

	p, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}

	a := net.UDPAddrFromAddrPort(p)
	t.resolved.Store(to, a)

	return a, nil
}

// DeliveryTimeout returns the maximum time for delivering a message of the given size in bytes over TCP.
func DeliveryTimeout(size int) time.Duration {
	return deliveryBaseTimeout + time.Duration(size)*time.Second/minLinkBytesPerSecond
}

func (t *Transporter) deliver(e *wire.Envelope, size int) {
	defer t.release(e.GetTo())

	ctx, cancel := context.WithTimeout(t.ctx, DeliveryTimeout(size))
	defer cancel()

	if _, err := t.peer(e.GetTo()).Deliver(ctx, e); err != nil {
		t.countLost(err, "message delivery failed", e.GetTo())
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

func (t *Transporter) countLost(err error, message, to string) {
	t.lostMessages.Inc(1)
	t.log.V(1).Info(message, "to", to, "error", err.Error())
}

// Deliver handles a message that was received over HTTP.
func (t *Transporter) Deliver(_ context.Context, e *wire.Envelope) (*wire.Empty, error) {
	t.receivedBytes.Inc(int64(proto.Size(e) + httpOverheadBytes))
	t.handle(e)

	return &wire.Empty{}, nil
}

func (t *Transporter) handle(e *wire.Envelope) {
	if t.filter != nil && !t.filter(tiller.Address(e.GetFrom()), t.address) {
		return
	}

	t.clock.Observe(recorder.Stamp(e.GetStamp()))

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
			t.log.V(1).Info("datagram receive failed", "error", err.Error())

			continue
		}

		t.receiveDatagram(buffer[:n])
	}
}

func (t *Transporter) receiveDatagram(data []byte) {
	t.receivedBytes.Inc(int64(len(data) + DatagramOverheadBytes))

	e := &wire.Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		t.log.V(1).Info("malformed datagram", "error", err.Error())

		return
	}

	t.handle(e)
}

// Close stops sending and receiving. It waits for queued deliveries, which are cancelled after closeTimeout.
func (t *Transporter) Close(_ context.Context) error {
	timer := time.AfterFunc(closeTimeout, t.cancel)

	t.pool.StopAndWait()
	timer.Stop()
	t.cancel()
	t.client.CloseIdleConnections()

	return eris.Wrap(t.conn.Close(), "close datagram socket")
}
