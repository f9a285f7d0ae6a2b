package archiver_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/source/archiver"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
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

func TestCrashRecords(t *testing.T) {
	record := func(digest string, strikes uint32) *wire.CrashRecord {
		return &wire.CrashRecord{Digest: []byte(digest), Route: "browse", Strikes: strikes}
	}
	strikes := func(c *archiver.Core) map[string]uint32 {
		out := map[string]uint32{}
		for _, r := range c.CrashRecords(0) {
			out[string(r.GetDigest())] = r.GetStrikes()
		}

		return out
	}
	merge := func(c *archiver.Core, records ...*wire.CrashRecord) *wire.ArchiveRecord {
		return c.MergeCrashRecords(0, records)
	}

	c := archiver.New()
	require.Empty(t, c.CrashRecords(0))

	disk := []*wire.ArchiveRecord{merge(c, record("a", 1), record("b", 2))}
	require.Nil(t, merge(c, record("a", 1), record("b", 1), record("unknown", 0)), "nothing new")

	disk = append(disk, merge(c, record("a", 2)), merge(c, record("b", 0)))
	require.Equal(t, map[string]uint32{"a": 2}, strikes(c))

	for name, records := range map[string][]*wire.ArchiveRecord{"appended": disk, "replaced": c.Records(0)} {
		loaded := archiver.New()
		loaded.Load(0, records)
		require.Equal(t, strikes(c), strikes(loaded), name)
	}

	for name, r := range map[string]*wire.CrashRecord{
		"no digest": record("", 1), "a long digest": record(strings.Repeat("d", 65), 1),
		"a long route": {Digest: []byte("d"), Strikes: 1, Route: strings.Repeat("r", detector.MaxTextBytes+1)},
	} {
		require.Nil(t, merge(c, r), name)
	}

	// The nodes have forgotten the first crashes, and the request crashes servers again.
	later := 2 * tiller.Minute
	require.NotNil(t, c.MergeCrashRecords(later, []*wire.CrashRecord{record("a", 1)}))
	require.Equal(t, uint32(2), c.CrashRecords(later)[0].GetStrikes())
	require.Zero(t, c.CrashRecords(later)[0].GetAge())

	c = archiver.New()
	for i := range 2 * quarantiner.MaxSentRecords {
		merge(c, record(fmt.Sprintf("d-%d", i), 1))
	}

	require.Len(t, c.CrashRecords(0), quarantiner.MaxSentRecords)
	require.Contains(t, strikes(c), fmt.Sprintf("d-%d", 2*quarantiner.MaxSentRecords-1), "the latest are kept")
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
