package soak_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestAppendZerosTearsTheLogOfAJournal guards against a fault that finds no log file and changes nothing.
func TestAppendZerosTearsTheLogOfAJournal(t *testing.T) {
	folder := t.TempDir()
	require.ErrorIs(t, appendZeros(folder, 1), errNoLog)

	j, _, err := journaler.Open(folder)
	require.NoError(t, err)
	require.NoError(t, j.Append(&wire.Record{HardState: &wire.HardState{Term: 1}}))
	require.NoError(t, j.Close())

	path, err := latestLog(folder)
	require.NoError(t, err)

	before, err := os.Stat(path)
	require.NoError(t, err)

	const torn = 3

	require.NoError(t, appendZeros(folder, torn))

	after, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, before.Size()+torn, after.Size())

	j, restored, err := journaler.Open(folder)
	require.NoError(t, err, "zero bytes at the end are a torn write")
	require.NoError(t, j.Close())
	require.EqualValues(t, 1, restored.HardState.GetTerm())
}

func TestLatestLogComparesSequenceNumbers(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{"wal-2", "wal-10", "wal-11.tmp", "snapshot-12"} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), nil, 0o600))
	}

	path, err := latestLog(folder)
	require.NoError(t, err)
	require.Equal(t, "wal-10", filepath.Base(path))
}
