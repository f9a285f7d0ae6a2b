package sycamoretiller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

func TestUnionDoesNotModifyItsOperands(t *testing.T) {
	a, b := tiller.NewSet(1, 2), tiller.NewSet(2, 3)

	require.Equal(t, []int{1, 2, 3}, a.Union(b).Sorted())
	require.Equal(t, []int{1, 2, 3}, b.Union(a).Sorted())
	require.Equal(t, []int{1, 2}, a.Sorted())
	require.Equal(t, []int{2, 3}, b.Sorted())
	require.Equal(t, []int{1}, tiller.NewSet(1).Union(tiller.NewSet[int]()).Sorted())
}
