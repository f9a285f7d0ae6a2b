package nodeserver

import (
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
)

// TestVitalsCountSinceLastReport guards against logs that do not show whether a saturated link or an unresponsive peer caused an incident.
func TestVitalsCountSinceLastReport(t *testing.T) {
	var lines []string

	registry := metrics.NewRegistry()
	v := newVitals(registry, funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{}))
	lost := metrics.GetOrRegisterCounter("control.lost_messages", registry)

	lost.Inc(7)
	v.record(node.Effects{RoundTrip: tiller.Some(tiller.Millis(640)), ApplyLag: tiller.Some(tiller.Millis(1200))})
	v.report(tiller.NewVersion(1, 4, []byte("hash")), 2500, 80, 120)
	lost.Inc(2)
	v.report(tiller.NewVersion(1, 5, []byte("hash")), 0, 10, 0)

	require.Len(t, lines, 2)

	for _, part := range []string{
		`"behind_ms":2500`, `"contact_age_ms":80`, `"link_wait_ms":120`, `"round_trip_max_ms":640`, `"control.lost_messages":7`, `"version":"1.4-`,
	} {
		require.Contains(t, lines[0], part)
	}

	require.Contains(t, lines[1], `"control.lost_messages":2`)
	require.EqualValues(t, 1, v.applyLag.Count())
	require.Zero(t, v.lag.Value())
}
