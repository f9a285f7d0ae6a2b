package archiver_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/source/archiver"
)

func withdrawal(instance string) detector.Withdrawal {
	return detector.Withdrawal{Instance: instance, StartedAtMs: 100, Sequence: detector.AllSequences}
}

func TestWithdrawalsAreKeptForTheirLifetime(t *testing.T) {
	c := archiver.New()
	first, second := withdrawal("i-1"), withdrawal("i-2")

	added, complete := c.Add(1000, "n1", []detector.Withdrawal{first})
	require.True(t, added && complete)

	added, complete = c.Add(1500, "n1", []detector.Withdrawal{first, second})
	require.True(t, added && complete)

	added, complete = c.Add(1600, "n1", []detector.Withdrawal{first, second})
	require.False(t, added, "all are known")
	require.True(t, complete)

	require.Equal(t, []detector.Withdrawal{first, second}, c.List(1000+archiver.Lifetime-1, "n1"))
	require.Equal(t, []detector.Withdrawal{second}, c.List(1000+archiver.Lifetime, "n1"))
	require.Len(t, c.Records(1000+archiver.Lifetime), 1)
	require.Empty(t, c.Records(1500+archiver.Lifetime))
	require.Empty(t, c.List(0, "n1"), "the clock was set back")
}

func TestStoreIsBounded(t *testing.T) {
	c := archiver.New()

	for i := range 3 * detector.MaxWithdrawals {
		c.Add(0, "n1", []detector.Withdrawal{withdrawal(fmt.Sprintf("i-%d", i))})
	}

	require.Len(t, c.List(0, "n1"), detector.MaxWithdrawals)
	require.Equal(t, "i-23", c.List(0, "n1")[detector.MaxWithdrawals-1].Instance, "the latest are kept")

	for i := range archiver.MaxNodes {
		c.Add(0, fmt.Sprintf("m%d", i), []detector.Withdrawal{withdrawal("i")})
	}

	for name, tc := range map[string]struct{ node, instance string }{
		"one node too many": {"another", "i"},
		"no name":           {"", "i"},
		"a long name":       {strings.Repeat("n", detector.MaxTextBytes+1), "i"},
		"a long instance":   {"n1", strings.Repeat("i", detector.MaxTextBytes+1)},
	} {
		added, complete := c.Add(0, tc.node, []detector.Withdrawal{withdrawal(tc.instance)})
		require.False(t, added || complete, name)
	}
}
