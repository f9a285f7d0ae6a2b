package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	measurementsPath = "../../docs/measurements/latest.jsonl"
	pagePath         = "../../docs/CAPACITY.md"
)

// TestPageMatchesMeasurements checks that the committed page was generated from the committed measurements.
func TestPageMatchesMeasurements(t *testing.T) {
	want, err := renderPage(measurementsPath, pagePath)
	require.NoError(t, err)

	have, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, string(want), string(have), "run make capacity")
}

func TestLinearFit(t *testing.T) {
	m := measurements{all: []measurement{
		{Name: "x", Nodes: 10, Value: 30, Variant: ours},
		{Name: "x", Nodes: 20, Value: 50, Variant: ours},
		{Name: "x", Nodes: 20, Value: 999, Variant: baseline},
	}}
	a, b := m.linearFit("x")
	require.InDelta(t, 10, a, 1e-9)
	require.InDelta(t, 2, b, 1e-9)
	require.InDelta(t, 2210, m.extrapolate("x"), 1e-9)
	require.InDelta(t, 50, m.largest("x").Value, 1e-9)
}

func TestInvalidMeasurements(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.jsonl")

	for _, text := range []string{"", "not json\n"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

		_, err := renderPage(path, pagePath)
		require.Error(t, err)
	}
}
