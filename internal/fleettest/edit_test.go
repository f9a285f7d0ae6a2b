package fleettest

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func tickOf(f *fleet) node.Input { return node.Tick{Wall: f.now} }

func TestConcurrentEditsAndTheirResends(t *testing.T) {
	f, base := settledFleet(t, 1, 3)
	one, two := f.newEdit(base, 2), f.newEdit(base, 3)
	two.Id = "second"

	first := f.send(f.leader(), one)
	second := f.send(f.leader(), two)
	f.run(tiller.Second)

	require.True(t, f.replies[first].GetOutcome().GetAccepted())
	require.True(t, f.replies[second].GetOutcome().GetConflict())
	require.Equal(t, tiller.VerdictNotRun.String(), f.replies[second].GetVerdict())
	require.Len(t, f.replies[second].GetSince(), 1, "the refused operator receives the edit that was accepted instead")

	accepted := tiller.VersionOf(f.replies[first].GetOutcome().GetVersion())
	again, lost := f.send(f.leader(), one), f.send(f.leader(), two)
	f.run(tiller.Second)
	require.Equal(t, accepted, tiller.VersionOf(f.replies[again].GetOutcome().GetVersion()))
	require.True(t, f.replies[lost].GetOutcome().GetConflict())
	require.Equal(t, accepted, f.leader().core.Version())
}

func TestResendAfterLeaderFailureReturnsTheFirstOutcome(t *testing.T) {
	f, base := settledFleet(t, 1, 3)
	e := f.newEdit(base, 2)
	old := f.leader()
	token := f.send(old, e)
	f.until(convergenceBound, "the edit is decided", func() bool { return f.replies[token] != nil })

	// The leader fails before the operator receives the answer.
	old.up = false

	f.until(convergenceBound, "another controller leads", func() bool { return f.leader() != nil })

	again := f.send(f.leader(), e)
	f.run(tiller.Second)
	require.Equal(t, f.replies[token].GetOutcome().GetVersion().GetIndex(), f.replies[again].GetOutcome().GetVersion().GetIndex())
}

// TestProposedEditWithoutQuorumMayHaveRun guards against a leader that reports a proposed edit as not run when it loses its quorum: the
// next leader may still commit it.
func TestProposedEditWithoutQuorumMayHaveRun(t *testing.T) {
	f, base := settledFleet(t, 1, 3)
	leader := f.leader()
	f.net.Partition(func(from, to string) bool { return from == leader.address || to == leader.address })

	e := f.newEdit(base, 2)
	token := f.send(leader, e)
	f.until(convergenceBound, "the edit is answered", func() bool { return f.replies[token] != nil })
	require.Equal(t, tiller.VerdictMayHaveRun.String(), f.replies[token].GetVerdict())

	f.net.Partition(nil)
	f.until(convergenceBound, "a controller leads", func() bool { return f.leader() != nil })

	again := f.send(f.leader(), e)
	f.until(convergenceBound, "the resend is decided", func() bool { return f.replies[again] != nil })
	require.True(t, f.replies[again].GetOutcome().GetAccepted())
}

func TestRefusedEdits(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *wire.Edit)
	}{
		{"empty id", func(e *wire.Edit) { e.Id = "" }},
		{"unknown service in a route", func(e *wire.Edit) {
			e.Items = append(e.Items, &wire.Item{Path: "service/zz", Value: []byte(`{"name":"zz","service":"nope"}`)})
		}},
		{"unordered items", func(e *wire.Edit) { e.Items[0], e.Items[1] = e.Items[1], e.Items[0] }},
		{"no services", func(e *wire.Edit) { e.Items = nil }},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, base := settledFleet(t, 1, 2)
			e := f.newEdit(base, 2)
			tc.change(e)

			token := f.send(f.leader(), e)
			require.NotEmpty(t, f.replies[token].GetFaults())
			require.Equal(t, tiller.VerdictNotRun.String(), f.replies[token].GetVerdict())
			f.run(tiller.Second)
			require.Equal(t, base, f.leader().core.Version())
		})
	}
}

func TestEditIDUsedForAnotherEdit(t *testing.T) {
	f, base := settledFleet(t, 1, 2)
	one := f.newEdit(base, 2)
	first := f.send(f.leader(), one)
	f.run(tiller.Second)
	require.True(t, f.replies[first].GetOutcome().GetAccepted())

	other := f.newEdit(f.leader().core.Version(), 3)
	other.Id = one.GetId()
	second := f.send(f.leader(), other)
	f.run(tiller.Second)
	require.NotEmpty(t, f.replies[second].GetFaults())
}
