package balancer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
)

func route(targets ...tiller.TargetSpec) tiller.Route {
	return tiller.NewRoute(tiller.RouteSpec{Name: "r", Targets: targets}, tiller.ClassInteractive)
}

// TestSharesAreAccurateOverAFewCallsPerNode guards against skewed shares when many nodes that each see only a few calls all begin at the
// same position of the cycle.
func TestSharesAreAccurateOverAFewCallsPerNode(t *testing.T) {
	const (
		nodes = 11
		each  = 20
	)

	counts := map[tiller.Service]int{}

	for seed := range uint64(nodes) {
		s := balancer.NewSplitter(rand.New(rand.NewPCG(seed, 1)))
		for range each {
			counts[s.Pick(route(tiller.TargetSpec{Service: "a", Weight: 90}, tiller.TargetSpec{Service: "b", Weight: 10}))]++
		}
	}

	require.InDelta(t, 0.1, float64(counts["b"])/(nodes*each), 0.03)
}

func TestChangedWeightsRestartTheCycle(t *testing.T) {
	s := balancer.NewSplitter(rand.New(rand.NewPCG(1, 1)))
	for range 50 {
		s.Pick(route(tiller.TargetSpec{Service: "a", Weight: 1}, tiller.TargetSpec{Service: "b", Weight: 1}))
	}

	for range 50 {
		got := s.Pick(route(tiller.TargetSpec{Service: "a", Weight: 0}, tiller.TargetSpec{Service: "b", Weight: 3}))
		require.Equal(t, tiller.Service("b"), got, "a weight of zero gets nothing")
	}

	s.Forget(tiller.NewSet[string]())
	require.Equal(t, tiller.Service("only"), s.Pick(tiller.NewRoute(tiller.RouteSpec{Name: "r", Service: "only"}, tiller.ClassInteractive)))
}
