package controlserver_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// testNode sends messages to a controller as a node does.
type testNode struct {
	address   string
	transport *transporter.Transporter
	received  chan *wire.WithdrawalSyncReply
	crashes   chan *wire.CrashRecords
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()

	n := &testNode{address: loopback.FreeAddress(t), received: make(chan *wire.WithdrawalSyncReply, 100), crashes: make(chan *wire.CrashRecords, 100)}

	transport, err := transporter.New(
		tiller.Address(n.address), "", recorder.NewHybridClock(tiller.WallClock()), nil, metrics.NewRegistry(), nil, logr.Discard(),
	)
	require.NoError(t, err)

	transport.SetReceiver(tiller.ReceiverFunc(func(e *wire.Envelope) {
		if m := e.GetCrashRecords(); m != nil {
			n.crashes <- m

			return
		}

		n.received <- e.GetWithdrawalSyncReply()
	}))
	n.transport = transport

	// Messages over a stream arrive over HTTP.
	mux := http.NewServeMux()
	transport.Register(mux)

	l, err := net.Listen("tcp", n.address)
	require.NoError(t, err)

	streams := &httptest.Server{Listener: l, Config: &http.Server{Handler: mux, ReadHeaderTimeout: maxWait}}
	streams.Start()
	t.Cleanup(streams.Close)

	done := make(chan error, 1)
	go func() { done <- transport.Run(context.Background()) }()

	t.Cleanup(func() {
		require.NoError(t, transport.Close(context.Background()))
		require.NoError(t, <-done)
	})

	return n
}

// sync sends withdrawals until the controller replies. It returns nil if that takes longer than maxWait.
func (n *testNode) sync(to string, nonce uint64, withdrawals ...*wire.Withdrawal) *wire.WithdrawalSyncReply {
	const retry = 20 * time.Millisecond

	for end := time.Now().Add(maxWait); time.Now().Before(end); {
		n.transport.Send(&wire.Envelope{From: n.address, To: to, Body: &wire.Envelope_WithdrawalSync{
			WithdrawalSync: &wire.WithdrawalSync{Node: "n1", Nonce: nonce, Withdrawals: withdrawals},
		}})

		select {
		case r := <-n.received:
			if r.GetNonce() == nonce {
				return r
			}
		case <-time.After(retry):
		}
	}

	return nil
}

func TestWithdrawalsSurviveARestart(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))

	n := newTestNode(t)
	w := &wire.Withdrawal{Instance: "i-1", StartedAt: 100, Sequence: 7}

	_, stop := start(t, s, nil)

	r := n.sync(s.Address, 1, w)
	require.NotNil(t, r)
	require.Empty(t, r.GetWithdrawals(), "none had been stored before")
	require.Equal(t, []string{s.Address}, r.GetControllers())
	stop()

	_, stop = start(t, s, nil)
	defer stop()

	r = n.sync(s.Address, 2)
	require.NotNil(t, r)
	require.Len(t, r.GetWithdrawals(), 1)
	require.True(t, proto.Equal(w, r.GetWithdrawals()[0]))
}

func TestCrashRecordsSurviveARestart(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))

	n := newTestNode(t)
	known := &wire.CrashRecord{Digest: []byte("a"), Route: "browse", Strikes: 2}
	served := &wire.CrashRecord{Digest: []byte("b"), Route: "browse", Strikes: 1}

	_, stop := start(t, s, nil)

	for _, records := range [][]*wire.CrashRecord{{known, served}, {{Digest: served.GetDigest()}}} {
		n.transport.Send(&wire.Envelope{
			From: n.address, To: s.Address, Stream: true, Body: &wire.Envelope_CrashRecords{CrashRecords: &wire.CrashRecords{Records: records}},
		})
		// A controller tells a node what it has stored. Both lists have as many records as were sent.
		require.Eventually(t, func() bool {
			require.NotNil(t, n.sync(s.Address, 1))

			select {
			case m := <-n.crashes:
				return len(m.GetRecords()) == len(records)
			default:
				return false
			}
		}, maxWait, time.Millisecond)
	}

	stop()

	for len(n.crashes) > 0 {
		<-n.crashes
	}

	_, stop = start(t, s, nil)
	defer stop()

	require.NotNil(t, n.sync(s.Address, 2))

	m := <-n.crashes
	require.Len(t, m.GetRecords(), 1)
	require.Equal(t, known.GetDigest(), m.GetRecords()[0].GetDigest())
	require.Equal(t, known.GetStrikes(), m.GetRecords()[0].GetStrikes())
}
