package journaler_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func archiveRecord(node string) *wire.ArchiveRecord {
	return &wire.ArchiveRecord{Node: node, Withdrawals: []*wire.Withdrawal{{Instance: "i-1", StartedAt: 100, Sequence: 7}}}
}

// loadWithdrawals returns the nodes in the file, in order.
func loadWithdrawals(t *testing.T, folder string) []string {
	t.Helper()

	l, records, err := journaler.OpenArchiveLog(folder)
	require.NoError(t, err)
	require.NoError(t, l.Close())

	var nodes []string

	for _, r := range records {
		require.True(t, proto.Equal(archiveRecord(r.GetNode()), r))

		nodes = append(nodes, r.GetNode())
	}

	return nodes
}

func TestArchiveLogAfterAPowerLoss(t *testing.T) {
	const whole = 3

	folder := t.TempDir()
	path := filepath.Join(folder, "archive")

	l, records, err := journaler.OpenArchiveLog(folder)
	require.NoError(t, err)
	require.Empty(t, records)

	for _, node := range []string{"n1", "n2", "n3"} {
		require.NoError(t, l.Append([]*wire.ArchiveRecord{archiveRecord(node)}))
	}

	require.NoError(t, l.Close())

	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Zero(t, len(data)%whole)

	frame := len(data) / whole

	for cut := range data {
		require.NoError(t, os.WriteFile(path, data[:cut], 0o600))
		require.Len(t, loadWithdrawals(t, folder), cut/frame, "cut after %d bytes", cut)
	}

	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 0x40

		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		require.Len(t, loadWithdrawals(t, folder), i/frame, "byte %d damaged", i)
	}
}

func TestArchiveLogIsUsableAgainAfterAFailure(t *testing.T) {
	folder := t.TempDir()

	l, _, err := journaler.OpenArchiveLog(folder)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	require.Error(t, l.Append([]*wire.ArchiveRecord{archiveRecord("n1")}))

	require.NoError(t, l.Replace([]*wire.ArchiveRecord{archiveRecord("n1")}))
	require.NoError(t, l.Append([]*wire.ArchiveRecord{archiveRecord("n2")}))
	require.NoError(t, l.Close())
	require.Equal(t, []string{"n1", "n2"}, loadWithdrawals(t, folder))
}

func TestArchiveLogGrowsLarge(t *testing.T) {
	l, _, err := journaler.OpenArchiveLog(t.TempDir())
	require.NoError(t, err)

	defer func() { require.NoError(t, l.Close()) }()

	for range 10 {
		var records []*wire.ArchiveRecord
		for range 8000 {
			records = append(records, archiveRecord("n1"))
		}

		require.NoError(t, l.Append(records))
	}

	require.True(t, l.IsLarge())
	require.NoError(t, l.Replace([]*wire.ArchiveRecord{archiveRecord("n1")}))
	require.False(t, l.IsLarge())
}
