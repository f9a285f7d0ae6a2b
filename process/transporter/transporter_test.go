package transporter_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func newTransporter(t *testing.T) *transporter.Transporter {
	t.Helper()

	clock := recorder.NewHybridClock(tiller.WallClock())
	x, err := transporter.New("127.0.0.1:0", "", clock, nil, metrics.NewRegistry(), nil, logr.Discard())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, x.Close(context.Background())) })

	return x
}

// large returns a message that is too large for a datagram.
func large(to string) *wire.Envelope {
	data := make([]byte, 2*transporter.MaxDatagramBytes)

	return &wire.Envelope{To: to, Body: &wire.Envelope_Append{Append: &wire.Append{Entries: []*wire.Entry{{Data: data}}}}}
}

// newReceiver starts a receiver that accepts messages only over TCP, and returns its address and the count of received messages.
func newReceiver(t *testing.T) (string, *atomic.Int64) {
	t.Helper()

	received := &atomic.Int64{}

	x := newTransporter(t)
	x.SetReceiver(tiller.ReceiverFunc(func(*wire.Envelope) { received.Add(1) }))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	mux := http.NewServeMux()
	x.Register(mux)

	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	return l.Addr().String(), received
}

// TestSmallMessageUsesStreamIfRequested sends to a process that receives no datagrams.
func TestSmallMessageUsesStreamIfRequested(t *testing.T) {
	address, received := newReceiver(t)
	sender := newTransporter(t)

	sender.Send(&wire.Envelope{To: address, Stream: true, Body: &wire.Envelope_Pull{Pull: &wire.Pull{}}})
	require.Eventually(t, func() bool { return received.Load() == 1 }, 10*time.Second, time.Millisecond)
}

// TestUnresponsivePeerDoesNotBlockOthers floods a process that accepts connections but never responds, then sends to another one.
func TestUnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer unresponsive.Close()

	address, received := newReceiver(t)

	sender := newTransporter(t)
	for range 200 {
		sender.Send(large(unresponsive.Addr().String()))
	}

	sender.Send(large(address))
	require.Eventually(t, func() bool { return received.Load() == 1 }, 10*time.Second, time.Millisecond)
}

// TestDeliveryTimeoutAllowsForNarrowLinks covers the full configuration of 1,600 routes on a VM whose link carries 2.2 Mbit/s.
func TestDeliveryTimeoutAllowsForNarrowLinks(t *testing.T) {
	const (
		size = 330 << 10
		rate = 2_200_000 / 8
	)

	require.Greater(t, transporter.DeliveryTimeout(size), 2*time.Duration(size)*time.Second/rate)
}
