package tracer_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/tracer"
)

// read returns the lines of all logs in testdata and the number of skipped ones.
func read(t *testing.T) (lines []tracer.Line, skipped int) {
	t.Helper()

	paths, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)

	for _, path := range paths {
		f, err := os.Open(path)
		require.NoError(t, err)

		more, n, err := tracer.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f)
		require.NoError(t, err)
		require.NoError(t, f.Close())

		lines = append(lines, more...)
		skipped += n
	}

	return lines, skipped
}

func TestRequestIncludesWorkerEventsOrderedByTime(t *testing.T) {
	lines, skipped := read(t)
	require.Equal(t, 2, skipped)

	want, err := os.ReadFile("testdata/a1.txt")
	require.NoError(t, err)

	var out bytes.Buffer

	require.NoError(t, tracer.Text(&out, tracer.RequestLines("a1", lines)))
	require.Equal(t, string(want), out.String())
}

func TestUnknownRequest(t *testing.T) {
	lines, _ := read(t)
	require.Empty(t, tracer.RequestLines("zz", lines))
}

func TestTooLongLineIsAnError(t *testing.T) {
	_, _, err := tracer.Read("w1", strings.NewReader(strings.Repeat("x", 2<<20)))
	require.ErrorContains(t, err, "w1")
}
