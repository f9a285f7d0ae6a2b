package controlserver

import (
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// failingFile is a archive on a disk that may fail.
type failingFile struct {
	archiveFile
	fails bool
	syncs int
	nodes []string
}

func (f *failingFile) Append(records []*wire.ArchiveRecord) error {
	if f.fails {
		return errors.New("no space left on device")
	}

	f.syncs++

	for _, r := range records {
		f.nodes = append(f.nodes, r.GetNode())
	}

	return nil
}

func (f *failingFile) Replace(records []*wire.ArchiveRecord) error {
	if f.fails {
		return errors.New("no space left on device")
	}

	f.nodes = nil

	return f.Append(records)
}

func (f *failingFile) IsLarge() bool { return false }

// newTestKeeper returns a keeper with its file, and a function that serves requests and returns the nonces of the replies.
func newTestKeeper(t *testing.T) (*failingFile, func(requests ...*wire.WithdrawalSync) []uint64) {
	t.Helper()

	f := &failingFile{}
	k := newArchiveKeeper(t.TempDir(), tiller.ClockFunc(func() tiller.Millis { return 1000 }), logr.Discard(), metrics.NewRegistry())
	require.NoError(t, k.file.Close())

	k.file = f
	k.voters = func() []string { return nil }

	return f, func(requests ...*wire.WithdrawalSync) []uint64 {
		var nonces []uint64

		k.send = func(envelopes ...*wire.Envelope) {
			for _, e := range envelopes {
				nonces = append(nonces, e.GetWithdrawalSyncReply().GetNonce())
			}
		}

		for _, r := range requests {
			k.receive(&wire.Envelope{Body: &wire.Envelope_WithdrawalSync{WithdrawalSync: r}})
		}

		k.serve(k.batch(<-k.requests))

		return nonces
	}
}

// TestWithdrawalIsNotConfirmedWhileTheDiskFails guards against a confirmation, also of a repeated request, that a power loss undoes.
func TestWithdrawalIsNotConfirmedWhileTheDiskFails(t *testing.T) {
	w := []*wire.Withdrawal{{Instance: "i-1", StartedAt: 100, Sequence: 7}}
	f, serve := newTestKeeper(t)

	f.fails = true

	require.Empty(t, serve(&wire.WithdrawalSync{Node: "n1", Nonce: 1, Withdrawals: w}))
	require.Empty(t, serve(&wire.WithdrawalSync{Node: "n1", Nonce: 1, Withdrawals: w}))
	require.Equal(t, []uint64{2}, serve(&wire.WithdrawalSync{Node: "n2", Nonce: 2}), "a node that only asks gets a reply")

	f.fails = false

	require.Equal(t, []uint64{1}, serve(&wire.WithdrawalSync{Node: "n1", Nonce: 1, Withdrawals: w}))
	require.Equal(t, []string{"n1"}, f.nodes)
}

func TestRequestsShareASync(t *testing.T) {
	w := []*wire.Withdrawal{{Instance: "i-1", StartedAt: 100, Sequence: 7}}
	f, serve := newTestKeeper(t)

	require.Equal(t, []uint64{1, 2, 3}, serve(
		&wire.WithdrawalSync{Node: "n1", Nonce: 1, Withdrawals: w}, &wire.WithdrawalSync{Node: "n2", Nonce: 2, Withdrawals: w},
		&wire.WithdrawalSync{Node: "n1", Nonce: 3, Withdrawals: w},
	))
	require.Equal(t, 1, f.syncs)
	require.Equal(t, []string{"n1", "n2"}, f.nodes)

	require.Equal(t, []uint64{4}, serve(&wire.WithdrawalSync{Node: "n1", Nonce: 4, Withdrawals: w}))
	require.Equal(t, 1, f.syncs, "the withdrawal is durable already")

	require.Empty(t, serve(&wire.WithdrawalSync{Nonce: 5, Withdrawals: w}), "a withdrawal that cannot be stored")
}
