package store_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/store"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestMain fixes rapid's seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()

	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

func version(t require.TestingT, index int, timeouts ...int) (tiller.Version, []*wire.Item) {
	spec := tiller.DocumentSpec{Services: []tiller.ServiceSpec{{Name: "board"}}}
	for i, ms := range timeouts {
		spec.Routes = append(spec.Routes, tiller.RouteSpec{
			Name: fmt.Sprintf("r%d", i), Method: "GET", PathPrefix: fmt.Sprintf("/r%d", i), Service: "board", Class: "patient", TimeoutMs: new(int64(ms + 1)),
		})
	}

	items, err := encoder.Encode(spec)
	require.NoError(t, err)

	return tiller.NewVersion(1, uint64(index), encoder.Hash(items)), items
}

// TestAnyStoreUpdatesAnyOther checks differences from a base, differences by item digests and complete versions against random
// histories.
func TestAnyStoreUpdatesAnyOther(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timeouts := rapid.SliceOfN(rapid.IntRange(1, 5), 0, 8)
		source, replica := store.New(rapid.IntRange(0, 3).Draw(rt, "keep")), store.New(0)
		steps := rapid.IntRange(1, 6).Draw(rt, "steps")

		for i := range steps {
			v, items := version(rt, i+1, timeouts.Draw(rt, "timeouts")...)
			require.NoError(rt, source.Set(v, items))

			if i == 0 {
				require.NoError(rt, replica.Set(v, items))
			}
		}

		pull := &wire.Pull{Have: replica.Version().Wire()}
		d := source.Answer(pull)

		if steps == 1 {
			require.Nil(rt, d)

			return
		}

		if d.GetNeedDigests() {
			pull.ItemDigests = replica.Digests()
			d = source.Answer(pull)
		}

		require.NoError(rt, replica.Merge(d))
		require.Equal(rt, source.Version(), replica.Version())
	})
}

func TestInvalidDifferencesChangeNothing(t *testing.T) {
	first, firstItems := version(t, 1, 1, 2)
	second, secondItems := version(t, 2, 1, 3, 4)
	complete := &wire.Difference{Target: second.Wire(), Whole: true, Upserts: secondItems}

	cases := []struct {
		name   string
		change func(d *wire.Difference)
		err    error
	}{
		{"older target", func(d *wire.Difference) { d.Target.Index = 1 }, store.ErrStale},
		{"item missing", func(d *wire.Difference) { d.Upserts = d.GetUpserts()[1:] }, nil},
		{"duplicate item with different content", func(d *wire.Difference) {
			d.Upserts = append(d.GetUpserts(), &wire.Item{Path: "route/r0", Value: []byte("{}")})
		}, nil},
		{"another base", func(d *wire.Difference) { d.Whole, d.Base = false, second.Wire() }, store.ErrBaseMismatch},
		{"position out of range", func(d *wire.Difference) {
			d.Whole, d.Base, d.FromDigests, d.StalePositions = false, first.Wire(), true, []uint32{99}
		}, nil},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			versions := store.New(2)
			require.NoError(t, versions.Set(first, firstItems))

			d, ok := proto.Clone(complete).(*wire.Difference)
			require.True(t, ok)
			tc.change(d)

			err := versions.Merge(d)
			if tc.name == "position out of range" {
				require.NoError(t, err, "positions out of range remove nothing, and the result has the target's hash")

				return
			}

			require.Error(t, err)
			require.Equal(t, first, versions.Version())

			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
			}
		})
	}
}

func TestSetRejectsOlderVersions(t *testing.T) {
	first, firstItems := version(t, 1, 1)
	second, secondItems := version(t, 2, 2)
	versions := store.New(2)
	require.NoError(t, versions.Set(second, secondItems))
	require.ErrorIs(t, versions.Set(first, firstItems), store.ErrStale)
	require.ErrorIs(t, versions.Set(second, secondItems), store.ErrStale)
	require.NoError(t, versions.Set(tiller.NewVersion(2, 1, first.Hash()), firstItems), "a greater generation is newer than any index")
}

// TestDifferenceSizeDoesNotDependOnMissedVersions checks that a difference by item digests contains only the items that differ, no
// matter how many versions the replica missed.
func TestDifferenceSizeDoesNotDependOnMissedVersions(t *testing.T) {
	size := func(changes int) int {
		source, replica := store.New(4), store.New(0)

		var timeouts [100]int

		v, items := version(t, 1, timeouts[:]...)
		require.NoError(t, source.Set(v, items))
		require.NoError(t, replica.Set(v, items))

		for i := range changes {
			timeouts[0] = i + 1
			v, items := version(t, i+2, timeouts[:]...)
			require.NoError(t, source.Set(v, items))
		}

		return proto.Size(source.Answer(&wire.Pull{Have: replica.Version().Wire(), ItemDigests: replica.Digests()}))
	}

	require.InDelta(t, size(10), size(500), 20)
}

func FuzzMerge(f *testing.F) {
	v, items := version(f, 1, 1)
	seed, err := proto.Marshal(&wire.Difference{Target: v.Wire(), Whole: true, Upserts: items})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &wire.Difference{}
		if proto.Unmarshal(data, d) != nil {
			return
		}

		versions := store.New(1)
		if versions.Merge(d) == nil {
			require.Equal(t, versions.Version().Hash(), encoder.Hash(versions.Items()))
		}
	})
}

// TestPushedDifferenceAppliesAfterMissedVersions checks that a pushed difference brings every replica at or after its base to the latest
// version, and changes nothing at older ones.
func TestPushedDifferenceAppliesAfterMissedVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timeouts := rapid.SliceOfN(rapid.IntRange(1, 5), 0, 8)
		source := store.New(8)
		steps := rapid.IntRange(2, 6).Draw(rt, "steps")
		replicas := make([]*store.Store, steps)

		for i := range steps {
			v, items := version(rt, i+1, timeouts.Draw(rt, "timeouts")...)
			require.NoError(rt, source.Set(v, items))

			replicas[i] = store.New(0)
			require.NoError(rt, replicas[i].Set(v, items))
		}

		d := source.LatestDifference(1 << 20)
		require.NotNil(rt, d)

		base := tiller.VersionOf(d.GetBase())
		require.NotEqual(rt, source.Version(), base)

		for _, replica := range replicas[:steps-1] {
			before := replica.Version()

			if base.NewerThan(before) {
				require.ErrorIs(rt, replica.Merge(d), store.ErrBaseMismatch)
				require.Equal(rt, before, replica.Version())

				continue
			}

			require.NoError(rt, replica.Merge(d))
			require.Equal(rt, source.Version(), replica.Version())
			require.Equal(rt, encoder.Hash(source.Items()), encoder.Hash(replica.Items()))
		}
	})
}

func TestPushedDifferenceIncludesEarlierChangesWhileSmall(t *testing.T) {
	source := store.New(8)

	for i := range 6 {
		v, items := version(t, i+1, i, 1, 1, 1)
		require.NoError(t, source.Set(v, items))
	}

	d := source.LatestDifference(1000)
	require.Equal(t, uint64(1), d.GetBase().GetIndex(), "all changes are to the same route, so together they are as small as one")
	require.Len(t, d.GetUpserts(), 1)

	require.Nil(t, source.LatestDifference(10), "a change that does not fit is not pushed")
}
