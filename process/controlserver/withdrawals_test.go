package controlserver_test

import (
	"context"
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
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()

	n := &testNode{address: loopback.FreeAddress(t), received: make(chan *wire.WithdrawalSyncReply, 100)}

	transport, err := transporter.New(
		tiller.Address(n.address), "", recorder.NewHybridClock(tiller.WallClock()), nil, metrics.NewRegistry(), nil, logr.Discard(),
	)
	require.NoError(t, err)

	transport.SetReceiver(tiller.ReceiverFunc(func(e *wire.Envelope) { n.received <- e.GetWithdrawalSyncReply() }))
	n.transport = transport

	done := make(chan error, 1)
	go func() { done <- transport.Run(context.Background()) }()

	t.Cleanup(func() {
		require.NoError(t, transport.Close(context.Background()))
		require.NoError(t, <-done)
	})

	return n
}

// sync sends withdrawals until the controller replies. It returns nil if that takes longer than the given time.
func (n *testNode) sync(to string, nonce uint64, maxWait time.Duration, withdrawals ...*wire.Withdrawal) *wire.WithdrawalSyncReply {
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

	r := n.sync(s.Address, 1, maxWait, w)
	require.NotNil(t, r)
	require.Empty(t, r.GetWithdrawals(), "none had been stored before")
	require.Equal(t, []string{s.Address}, r.GetControllers())
	stop()

	_, stop = start(t, s, nil)
	defer stop()

	r = n.sync(s.Address, 2, maxWait)
	require.NotNil(t, r)
	require.Len(t, r.GetWithdrawals(), 1)
	require.True(t, proto.Equal(w, r.GetWithdrawals()[0]))
}
