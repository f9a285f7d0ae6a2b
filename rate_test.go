package sycamoretiller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

func TestParseRate(t *testing.T) {
	none := tiller.None[tiller.Rate]()

	for _, tc := range []struct {
		name    string
		values  []string
		rate    tiller.Option[tiller.Rate]
		invalid bool
	}{
		{"absent", nil, none, false},
		{"decimal", []string{"16.7"}, tiller.Some[tiller.Rate](16.7), false},
		{"zero", []string{"0"}, tiller.Some[tiller.Rate](0), false},
		{"very large", []string{"1e300"}, tiller.Some[tiller.Rate](1e300), false},
		{"very small", []string{"0.000001"}, tiller.Some[tiller.Rate](0.000001), false},
		{"with white space", []string{" 4 "}, tiller.Some[tiller.Rate](4), false},
		{"two fields", []string{"9", "8"}, tiller.Some[tiller.Rate](8), false},
		{"two in one field", []string{"7, 9"}, tiller.Some[tiller.Rate](7), false},
		{"one of two is valid", []string{"abc", "8"}, tiller.Some[tiller.Rate](8), true},
		{"empty", []string{""}, none, true},
		{"negative", []string{"-3"}, none, true},
		{"not a number", []string{"NaN"}, none, true},
		{"infinite", []string{"+Inf"}, none, true},
		{"out of range", []string{"1e999"}, none, true},
		{"hexadecimal", []string{"0x10"}, none, true},
		{"word", []string{"few"}, none, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rate, err := tiller.ParseRate(tc.values)
			require.Equal(t, tc.rate, rate)
			require.Equal(t, tc.invalid, err != nil, "%v", err)
		})
	}
}
