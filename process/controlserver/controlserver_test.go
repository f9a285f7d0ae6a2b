package controlserver_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
	"gitlab.com/sycamoretiller/sycamoretiller/source/editor"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const maxWait = 20 * time.Second

// TestMain checks that stopped controllers leak no goroutines; the metrics library keeps one running for its meters.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// fullDiskJournal is a journal that fails to append while its disk is full.
type fullDiskJournal struct {
	tiller.Journal
	isFull *atomic.Bool
}

func (j fullDiskJournal) Append(r *wire.Record) error {
	if j.isFull.Load() {
		return errors.New("no space left on device")
	}

	return j.Journal.Append(r)
}

func settings(t *testing.T) controlserver.Settings {
	t.Helper()

	return controlserver.Settings{Name: "c1", DataCentre: "kigali-1", Address: loopback.FreeAddress(t), DataFolder: t.TempDir(), HeartbeatMs: 20}
}

// start runs a controller until the test ends or the returned function is called.
func start(t *testing.T, s controlserver.Settings, wrap func(tiller.Journal) tiller.Journal) (*editor.Client, func()) {
	t.Helper()

	server, err := controlserver.New(s, controlserver.Options{Log: logr.Discard(), Metrics: metrics.NewRegistry(), WrapJournal: wrap})
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- runner.Run(ctx, server.Parts()...) }()

	stop := func() {
		cancel()
		require.NoError(t, <-done)
	}

	return editor.New([]tiller.Address{tiller.Address(s.Address)}), stop
}

func waitForLeader(t *testing.T, c *editor.Client) {
	t.Helper()
	require.Eventually(t, func() bool {
		s, err := c.Status(context.Background())

		return err == nil && s.GetCurrent()
	}, maxWait, 10*time.Millisecond)
}

func document(value int64) tiller.DocumentSpec {
	return tiller.DocumentSpec{Defaults: map[string]int64{"queue_length": value}, Services: []tiller.ServiceSpec{{Name: "board"}}}
}

func apply(t *testing.T, c *editor.Client, value int64) *wire.ApplyReply {
	t.Helper()

	shown, err := c.Show(context.Background())
	require.NoError(t, err)

	e, err := editor.NewEdit(document(value), tiller.VersionOf(shown.GetVersion()), "test", "a reason")
	require.NoError(t, err)

	r, err := c.Apply(context.Background(), e)
	require.NoError(t, err)

	return r
}

func TestEditSurvivesARestart(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))
	require.ErrorContains(t, controlserver.Bootstrap(s), "already holds a log")

	c, stop := start(t, s, nil)
	waitForLeader(t, c)
	require.True(t, apply(t, c, 7).GetOutcome().GetAccepted())
	stop()

	c, stop = start(t, s, nil)
	defer stop()

	waitForLeader(t, c)

	shown, err := c.Show(context.Background())
	require.NoError(t, err)

	spec, err := encoder.Decode(shown.GetItems())
	require.NoError(t, err)
	require.Equal(t, int64(7), spec.Defaults["queue_length"])
	require.Len(t, shown.GetHistory(), 1)
}

// TestEditOnFullDiskMayHaveRun checks that an edit gets a reply while the disk is full, and that the controller recovers.
func TestEditOnFullDiskMayHaveRun(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))

	var isFull atomic.Bool

	c, stop := start(t, s, func(j tiller.Journal) tiller.Journal { return fullDiskJournal{Journal: j, isFull: &isFull} })

	defer stop()

	waitForLeader(t, c)
	require.True(t, apply(t, c, 1).GetOutcome().GetAccepted())

	isFull.Store(true)
	r := apply(t, c, 2)
	require.Nil(t, r.GetOutcome())
	require.Equal(t, tiller.VerdictMayHaveRun.String(), r.GetVerdict())
	require.Contains(t, r.GetAdvice(), "disk")

	isFull.Store(false)
	waitForLeader(t, c)
	require.True(t, apply(t, c, 3).GetOutcome().GetAccepted(), "the disk has room again")
}

// panickingJournal panics once, at the next entry after it is told to.
type panickingJournal struct {
	tiller.Journal
	panics *atomic.Bool
}

func (j panickingJournal) Append(r *wire.Record) error {
	if len(r.GetEntries()) > 0 && j.panics.CompareAndSwap(true, false) {
		panic("a fault in the middle of a step")
	}

	return j.Journal.Append(r)
}

// TestPanicInAStepRestoresTheCoreFromItsDisk guards against a controller that ends, hangs, or goes on with entries that were never written.
func TestPanicInAStepRestoresTheCoreFromItsDisk(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))

	var panics atomic.Bool

	c, stop := start(t, s, func(j tiller.Journal) tiller.Journal { return panickingJournal{Journal: j, panics: &panics} })
	waitForLeader(t, c)
	require.True(t, apply(t, c, 1).GetOutcome().GetAccepted())

	panics.Store(true)

	// The client sends the edit again if the controller is back in time.
	accepted := 1
	if apply(t, c, 2).GetOutcome().GetAccepted() {
		accepted++
	}

	waitForLeader(t, c)

	shown, err := c.Show(context.Background())
	require.NoError(t, err)
	require.False(t, panics.Load())
	require.Len(t, shown.GetHistory(), accepted, "what was not written is not in force")
	require.True(t, apply(t, c, 3).GetOutcome().GetAccepted())
	accepted++

	stop()

	c, stop = start(t, s, nil)
	defer stop()

	waitForLeader(t, c)

	shown, err = c.Show(context.Background())
	require.NoError(t, err)
	require.Len(t, shown.GetHistory(), accepted, "what was acknowledged is on the disk")
}

func TestErrorOfCorruptLogNamesFileAndOffset(t *testing.T) {
	s := settings(t)
	require.NoError(t, controlserver.Bootstrap(s))

	log := filepath.Join(s.DataFolder, "wal-1")
	data, err := os.ReadFile(log)
	require.NoError(t, err)

	data[13] ^= 1
	require.NoError(t, os.WriteFile(log, append(data, data...), 0o600))

	_, err = controlserver.New(s, controlserver.Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	require.ErrorContains(t, err, log+": offset 0")
}

func TestRecoverStartsHigherGeneration(t *testing.T) {
	s := settings(t)
	c, stop := start(t, s, nil)

	defer stop()

	items, err := encoder.Encode(document(5))
	require.NoError(t, err)

	lost := tiller.NewVersion(3, 900, encoder.Hash(items))
	placements := &wire.ClaimPlacements{Revision: 4, Placements: []*wire.ClaimPlacement{{DataCentre: "kigali-1", Epoch: 9}}}
	operator := c.Operator(tiller.Address(s.Address))

	_, err = operator.Recover(context.Background(), &wire.RecoverRequest{Version: lost.Wire(), Items: items[:1]})
	require.ErrorContains(t, err, "not valid")

	_, err = operator.Recover(context.Background(), &wire.RecoverRequest{Version: lost.Wire(), Items: items, Placements: placements})
	require.NoError(t, err)
	waitForLeader(t, c)

	status, err := c.Status(context.Background())
	require.NoError(t, err)

	recovered := tiller.VersionOf(status.GetVersion())
	require.True(t, recovered.NewerThan(lost))
	require.True(t, recovered.SameContent(lost))
	require.Equal(t, uint64(9), status.GetPlacements().GetPlacements()[0].GetEpoch())

	_, err = operator.Recover(context.Background(), &wire.RecoverRequest{Version: lost.Wire(), Items: items})
	require.ErrorContains(t, err, "belongs to a cluster")

	r := apply(t, c, 6)
	require.True(t, tiller.VersionOf(r.GetOutcome().GetVersion()).NewerThan(recovered))
}
