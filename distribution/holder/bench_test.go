package holder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// BenchmarkMergeOfOneChange applies a change of one route to a document of 3,000.
func BenchmarkMergeOfOneChange(b *testing.B) {
	timeouts := make([]int, 3000)
	first, items := version(b, 1, timeouts...)
	source := holder.New(1)
	require.NoError(b, source.Set(first, items))

	differences := make([]*wire.Difference, 0, 50)

	for i := range cap(differences) {
		timeouts[0] = i + 1
		have := source.Version()
		next, changed := version(b, i+2, timeouts...)
		require.NoError(b, source.Set(next, changed))

		differences = append(differences, source.Answer(&wire.Pull{Have: have.Wire()}))
	}

	var h *holder.Holder

	for i := 0; b.Loop(); i++ {
		if i%len(differences) == 0 {
			b.StopTimer()

			h = holder.New(32)
			require.NoError(b, h.Set(first, items))
			b.StartTimer()
		}

		require.NoError(b, h.Merge(differences[i%len(differences)]))
	}

	require.NotEqual(b, tiller.Version{}, h.Version())
}
