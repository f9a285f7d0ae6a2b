package sycamoretiller

import (
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Rate is a number of requests a second.
type Rate float64

// ParseRate returns the rate in the values of a header field, none if there are none. Of several rates the lowest counts. The error names the
// values that are not a decimal number from zero up; the others count nevertheless.
func ParseRate(values []string) (Option[Rate], error) {
	rate := None[Rate]()
	if len(values) == 0 {
		return rate, nil
	}

	var invalid []string

	for _, v := range strings.Split(strings.Join(values, ","), ",") {
		v = strings.TrimSpace(v)

		r, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(r) || math.IsInf(r, 0) || r < 0 || strings.ContainsAny(v, "xX_") {
			invalid = append(invalid, strconv.Quote(v))

			continue
		}

		rate = Some(min(Rate(r), rate.OrElse(Rate(r))))
	}

	if len(invalid) == 0 {
		return rate, nil
	}

	return rate, eris.Errorf("no rate: %s", strings.Join(invalid, ", "))
}

// String formats the rate as a decimal number.
func (r Rate) String() string { return strconv.FormatFloat(float64(r), 'f', -1, 64) }
