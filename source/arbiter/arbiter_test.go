package arbiter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/source/arbiter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func edit(t *testing.T, s *arbiter.State, id string, value int64) *wire.Edit {
	t.Helper()

	items, err := encoder.Encode(tiller.DocumentSpec{
		Defaults: map[string]int64{"queue_length": value}, Services: []tiller.ServiceSpec{{Name: "board"}},
	})
	require.NoError(t, err)

	return s.DeltaEdit(&wire.Edit{Id: id, Base: s.Version().Wire(), Author: "ann", Items: items})
}

func command(at tiller.Millis, e *wire.Edit) *wire.Command {
	return &wire.Command{At: int64(at), Change: &wire.Command_Edit{Edit: e}}
}

func TestEditThatIsTwiceInTheLogAppliesOnce(t *testing.T) {
	s := arbiter.New(1)
	e := edit(t, s, "one", 1)
	first := s.Apply(5, command(10, e))
	second := s.Apply(6, command(20, e))
	require.True(t, first.GetAccepted())
	require.Same(t, first, second)
	require.Equal(t, uint64(5), s.Version().Index())
	require.Len(t, s.History(), 1)
}

func TestLogStoresDifferencesAndConcurrentEditsAreDecided(t *testing.T) {
	s := arbiter.New(1)
	s.Apply(2, command(1, edit(t, s, "first", 1)))

	one, two := edit(t, s, "one", 2), edit(t, s, "two", 3)
	require.Len(t, one.GetItems(), 1, "only the changed item goes into the log")
	require.True(t, s.Apply(3, command(2, one)).GetAccepted())
	require.True(t, s.Apply(4, command(3, two)).GetConflict())

	forged := edit(t, s, "forged", 4)
	forged.TargetHash = one.GetTargetHash()
	require.True(t, s.Apply(5, command(4, forged)).GetConflict(), "a difference whose result does not match the target hash changes nothing")
	require.Equal(t, uint64(3), s.Version().Index())
}

func TestOutcomesExpireAfterTheWindow(t *testing.T) {
	s := arbiter.New(1)
	s.Apply(2, command(0, edit(t, s, "old", 1)))
	s.Apply(3, command(arbiter.OutcomeWindow-1, edit(t, s, "new", 2)))

	_, known := s.Outcome("old")
	require.True(t, known)

	s.Apply(4, command(arbiter.OutcomeWindow, edit(t, s, "newer", 3)))

	_, known = s.Outcome("old")
	require.False(t, known)
}

func TestReplicaFromASnapshotStaysEqual(t *testing.T) {
	one := arbiter.New(1)
	one.Apply(2, command(100, edit(t, one, "a", 1)))
	one.Apply(3, &wire.Command{At: 900, Change: &wire.Command_ClaimPlacement{ClaimPlacement: &wire.ClaimPlacement{DataCentre: "x", Epoch: 1}}})

	data, err := one.Encode()
	require.NoError(t, err)

	two, err := arbiter.Decode(data)
	require.NoError(t, err)

	for i := range 20 {
		c := command(tiller.Millis(i)*arbiter.OutcomeWindow/10, edit(t, one, fmt.Sprint(i), int64(i)))
		one.Apply(uint64(i)+4, c)
		two.Apply(uint64(i)+4, c)
	}

	first, err := one.Encode()
	require.NoError(t, err)
	second, err := two.Encode()
	require.NoError(t, err)
	require.Equal(t, first, second)
}

func TestPlacementsFollowTheirEpochs(t *testing.T) {
	s := arbiter.New(1)
	setPlacement := func(dc string, epoch uint64) {
		s.Apply(2, &wire.Command{Change: &wire.Command_ClaimPlacement{ClaimPlacement: &wire.ClaimPlacement{DataCentre: dc, Epoch: epoch}}})
	}

	setPlacement("a", 2)
	require.Empty(t, s.Placements().GetPlacements(), "the first epoch is one")
	setPlacement("a", 1)
	setPlacement("a", 1)
	setPlacement("a", 3)
	setPlacement("b", 1)
	setPlacement("a", 2)
	require.Equal(t, uint64(3), s.Placements().GetRevision())
	require.Equal(t, uint64(2), s.Placements().GetPlacements()[0].GetEpoch())
}
