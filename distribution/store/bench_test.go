package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// BenchmarkMergeOfOneChange merges a change of one route into a document with 3,000 routes.
func BenchmarkMergeOfOneChange(b *testing.B) {
	timeouts := make([]int, 3000)
	first, items := version(b, 1, timeouts...)
	source := store.New(1)
	require.NoError(b, source.Set(first, items))

	differences := make([]*wire.Difference, 0, 50)

	for i := range cap(differences) {
		timeouts[0] = i + 1
		have := source.Version()
		next, changed := version(b, i+2, timeouts...)
		require.NoError(b, source.Set(next, changed))

		differences = append(differences, source.Answer(&wire.Pull{Have: have.Wire()}))
	}

	var versions *store.Store

	for i := 0; b.Loop(); i++ {
		if i%len(differences) == 0 {
			b.StopTimer()

			versions = store.New(32)
			require.NoError(b, versions.Set(first, items))
			b.StartTimer()
		}

		require.NoError(b, versions.Merge(differences[i%len(differences)]))
	}

	require.NotEqual(b, tiller.Version{}, versions.Version())
}
