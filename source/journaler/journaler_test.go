package journaler_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func record(index uint64) *wire.Record {
	return &wire.Record{
		HardState: &wire.HardState{Term: index, Vote: "a"},
		Entries:   []*wire.Entry{{Index: index, Term: index, Data: []byte("a command with some bytes")}},
	}
}

// write appends records to a journal in a new folder and returns the folder and the path of its log.
func write(t *testing.T, records int) (folder, log string) {
	t.Helper()

	folder = t.TempDir()
	j, _, err := journaler.Open(folder)
	require.NoError(t, err)

	for i := range records {
		require.NoError(t, j.Append(record(uint64(i+1))))
	}

	require.NoError(t, j.Close())

	return folder, filepath.Join(folder, "wal-0")
}

func open(t *testing.T, folder string) replicator.RestoredState {
	t.Helper()

	j, restored, err := journaler.Open(folder)
	require.NoError(t, err)
	require.NoError(t, j.Close())

	return restored
}

func TestReopenRestoresWhatWasAcknowledged(t *testing.T) {
	folder, _ := write(t, 5)
	restored := open(t, folder)
	require.Len(t, restored.Entries, 5)
	require.Equal(t, uint64(5), restored.HardState.GetTerm())
}

// TestDamage guards against two failures: a controller that cannot start after a power loss left a torn tail, and one that starts
// without acknowledged entries after damage anywhere else.
func TestDamage(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(data []byte) []byte
		entries int
		refused string
	}{
		{"torn payload", func(d []byte) []byte { return d[:len(d)-7] }, 4, ""},
		{"torn header", func(d []byte) []byte { return append(d, 0, 0, 1) }, 5, ""},
		{"last payload ends in zeros", func(d []byte) []byte { return zero(d, len(d)-9, len(d)) }, 4, ""},
		{"run of zeros in the last payload", func(d []byte) []byte { return zero(d, len(d)-40, len(d)-20) }, 4, ""},
		{"run of zeros over the last header", func(d []byte) []byte { return zero(d, len(d)-frameBytes, len(d)-frameBytes+20) }, 4, ""},
		{"run of zeros in a payload in the middle", func(d []byte) []byte { return zero(d, len(d)-2*frameBytes+12, len(d)-2*frameBytes+32) }, 0, "offset"},
		{"zeros after the end", func(d []byte) []byte { return append(d, make([]byte, 512)...) }, 5, ""},
		{"flipped bit in a payload in the middle", func(d []byte) []byte { return flip(d, len(d)/2) }, 0, "offset"},
		{"flipped bit in a header", func(d []byte) []byte { return flip(d, 14) }, 0, "offset 12"},
		{"flipped bit in the last payload", func(d []byte) []byte { return flip(d, len(d)-3) }, 0, "offset"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			folder, log := write(t, 5)
			data, err := os.ReadFile(log)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(log, tc.damage(data), 0o600))

			if tc.refused != "" {
				_, _, err := journaler.Open(folder)
				require.ErrorContains(t, err, log)
				require.ErrorContains(t, err, tc.refused)

				return
			}

			require.Len(t, open(t, folder).Entries, tc.entries)
			require.Len(t, open(t, folder).Entries, tc.entries, "a truncated tail stays truncated")
		})
	}
}

// frameBytes is the length of the last frame that write leaves in a log.
var frameBytes = 12 + proto.Size(record(5))

func zero(d []byte, from, to int) []byte {
	clear(d[from:to])

	return d
}

func flip(d []byte, at int) []byte {
	d[at] ^= 0x10

	return d
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	folder := t.TempDir()
	j, _, err := journaler.Open(folder)
	require.NoError(t, err)
	require.NoError(t, j.Append(record(1)))
	require.NoError(t, j.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1, Data: []byte("x")}, &wire.HardState{Term: 3}, nil))
	require.NoError(t, j.Append(record(2)))
	require.NoError(t, j.Close())

	restored := open(t, folder)
	require.Equal(t, uint64(1), restored.Snapshot.GetIndex())
	require.Len(t, restored.Entries, 1)
	require.NoFileExists(t, filepath.Join(folder, "wal-0"))
}

// TestCrashBetweenSnapshotAndLogKeepsTheOldPair guards against a start from a snapshot without its log: a crash left a new snapshot
// file before the log file of the same sequence was written.
func TestCrashBetweenSnapshotAndLogKeepsTheOldPair(t *testing.T) {
	folder, _ := write(t, 3)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "snapshot-1"), []byte("half"), 0o600))
	require.Len(t, open(t, folder).Entries, 3)
}

func TestTruncatingRecordDropsLaterEntries(t *testing.T) {
	folder := t.TempDir()
	j, _, err := journaler.Open(folder)
	require.NoError(t, err)

	for i := range 3 {
		require.NoError(t, j.Append(record(uint64(i+1))))
	}

	require.NoError(t, j.Append(&wire.Record{Truncates: true, TruncateAfter: 1, Entries: []*wire.Entry{{Index: 2, Term: 9}}}))
	require.NoError(t, j.Close())

	restored := open(t, folder)
	require.Len(t, restored.Entries, 2)
	require.Equal(t, uint64(9), restored.Entries[1].GetTerm())
}

func TestIdentity(t *testing.T) {
	folder, _ := write(t, 1)
	j, _, err := journaler.Open(folder)
	require.NoError(t, err)

	identity := j.Identity()

	_, _, err = journaler.Open(folder)
	require.ErrorContains(t, err, "in use")
	require.NoError(t, j.Close())

	require.NoError(t, os.Remove(filepath.Join(folder, "identity")))

	_, _, err = journaler.Open(folder)
	require.ErrorContains(t, err, "identity is missing")

	other, _, err := journaler.Open(t.TempDir())
	require.NoError(t, err)
	require.NotEqual(t, identity, other.Identity())
	require.NoError(t, other.Close())
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte("wal"))
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder, log := write(t, 1)
		require.NoError(t, os.WriteFile(log, data, 0o600))

		j, _, err := journaler.Open(folder)
		if err == nil {
			require.NoError(t, j.Close())
		}
	})
}
