package holder_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/holder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

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

// TestAnyHolderBringsAnyOtherUpToDate checks both kinds of difference and the whole version against random histories.
func TestAnyHolderBringsAnyOtherUpToDate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timeouts := rapid.SliceOfN(rapid.IntRange(1, 5), 0, 8)
		source, behind := holder.New(rapid.IntRange(0, 3).Draw(rt, "keep")), holder.New(0)
		steps := rapid.IntRange(1, 6).Draw(rt, "steps")

		for i := range steps {
			v, items := version(rt, i+1, timeouts.Draw(rt, "timeouts")...)
			require.NoError(rt, source.Set(v, items))

			if i == 0 {
				require.NoError(rt, behind.Set(v, items))
			}
		}

		pull := &wire.Pull{Have: behind.Version().Wire()}
		d := source.Answer(pull)

		if steps == 1 {
			require.Nil(rt, d)

			return
		}

		if d.GetNeedDigests() {
			pull.ItemDigests = behind.Digests()
			d = source.Answer(pull)
		}

		require.NoError(rt, behind.Merge(d))
		require.Equal(rt, source.Version(), behind.Version())
	})
}

func TestRefusedDifferencesChangeNothing(t *testing.T) {
	first, firstItems := version(t, 1, 1, 2)
	second, secondItems := version(t, 2, 1, 3, 4)
	whole := &wire.Difference{Target: second.Wire(), Whole: true, Upserts: secondItems}

	cases := []struct {
		name   string
		change func(d *wire.Difference)
		err    error
	}{
		{"older target", func(d *wire.Difference) { d.Target.Index = 1 }, holder.ErrStale},
		{"item missing", func(d *wire.Difference) { d.Upserts = d.GetUpserts()[1:] }, nil},
		{"item twice with other content", func(d *wire.Difference) {
			d.Upserts = append(d.GetUpserts(), &wire.Item{Path: "route/r0", Value: []byte("{}")})
		}, nil},
		{"other base", func(d *wire.Difference) { d.Whole, d.Base = false, second.Wire() }, holder.ErrOtherBase},
		{"position out of range", func(d *wire.Difference) {
			d.Whole, d.Base, d.FromDigests, d.StalePositions = false, first.Wire(), true, []uint32{99}
		}, nil},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := holder.New(2)
			require.NoError(t, h.Set(first, firstItems))

			d, ok := proto.Clone(whole).(*wire.Difference)
			require.True(t, ok)
			tc.change(d)

			err := h.Merge(d)
			if tc.name == "position out of range" {
				require.NoError(t, err, "positions that name nothing remove nothing, and the hash decides")

				return
			}

			require.Error(t, err)
			require.Equal(t, first, h.Version())

			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
			}
		})
	}
}

func TestSetNeverGoesBack(t *testing.T) {
	first, firstItems := version(t, 1, 1)
	second, secondItems := version(t, 2, 2)
	h := holder.New(2)
	require.NoError(t, h.Set(second, secondItems))
	require.ErrorIs(t, h.Set(first, firstItems), holder.ErrStale)
	require.ErrorIs(t, h.Set(second, secondItems), holder.ErrStale)
	require.NoError(t, h.Set(tiller.NewVersion(2, 1, first.Hash()), firstItems), "a greater generation follows every index")
}

func TestCatchUpBytesFollowTheRealDifference(t *testing.T) {
	size := func(changes int) int {
		source, behind := holder.New(4), holder.New(0)

		var timeouts [100]int

		v, items := version(t, 1, timeouts[:]...)
		require.NoError(t, source.Set(v, items))
		require.NoError(t, behind.Set(v, items))

		for i := range changes {
			timeouts[0] = i + 1
			v, items := version(t, i+2, timeouts[:]...)
			require.NoError(t, source.Set(v, items))
		}

		return proto.Size(source.Answer(&wire.Pull{Have: behind.Version().Wire(), ItemDigests: behind.Digests()}))
	}

	require.InDelta(t, size(10), size(500), 20)
}

func FuzzMerge(f *testing.F) {
	v, items := version(f, 1, 1)
	good, err := proto.Marshal(&wire.Difference{Target: v.Wire(), Whole: true, Upserts: items})
	require.NoError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &wire.Difference{}
		if proto.Unmarshal(data, d) != nil {
			return
		}

		h := holder.New(1)
		if h.Merge(d) == nil {
			require.Equal(t, h.Version().Hash(), encoder.Hash(h.Items()))
		}
	})
}

// TestPushedDifferenceReachesHoldersThatMissedVersions checks that a pushed difference brings every holder from its base on to the newest
// version, and changes nothing at the others.
func TestPushedDifferenceReachesHoldersThatMissedVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timeouts := rapid.SliceOfN(rapid.IntRange(1, 5), 0, 8)
		source := holder.New(8)
		steps := rapid.IntRange(2, 6).Draw(rt, "steps")
		behind := make([]*holder.Holder, steps)

		for i := range steps {
			v, items := version(rt, i+1, timeouts.Draw(rt, "timeouts")...)
			require.NoError(rt, source.Set(v, items))

			behind[i] = holder.New(0)
			require.NoError(rt, behind[i].Set(v, items))
		}

		d := source.Latest(1 << 20)
		require.NotNil(rt, d)

		base := tiller.VersionOf(d.GetBase())
		require.NotEqual(rt, source.Version(), base)

		for _, h := range behind[:steps-1] {
			before := h.Version()

			if base.NewerThan(before) {
				require.ErrorIs(rt, h.Merge(d), holder.ErrOtherBase)
				require.Equal(rt, before, h.Version())

				continue
			}

			require.NoError(rt, h.Merge(d))
			require.Equal(rt, source.Version(), h.Version())
			require.Equal(rt, encoder.Hash(source.Items()), encoder.Hash(h.Items()))
		}
	})
}

func TestPushedDifferenceHoldsEarlierChangesWhileItIsSmall(t *testing.T) {
	source := holder.New(8)

	for i := range 6 {
		v, items := version(t, i+1, i, 1, 1, 1)
		require.NoError(t, source.Set(v, items))
	}

	d := source.Latest(1000)
	require.Equal(t, uint64(1), d.GetBase().GetIndex(), "the same route changed each time, so that all changes take the room of one")
	require.Len(t, d.GetUpserts(), 1)

	require.Nil(t, source.Latest(10), "a change that does not fit is not pushed")
}
