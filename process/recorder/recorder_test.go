package recorder_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/recorder"
	"gitlab.com/sycamoretiller/sycamoretiller/process/renderer"
)

// TestMergeKeepsCausalOrderWhenClocksDiffer sends a message from a process with a fast clock to one with a slow clock.
func TestMergeKeepsCausalOrderWhenClocksDiffer(t *testing.T) {
	fast := recorder.NewHybridClock(tiller.ClockFunc(func() tiller.Millis { return 50_000 }))
	slow := recorder.NewHybridClock(tiller.ClockFunc(func() tiller.Millis { return 40_000 }))
	sender, receiver := recorder.New("sender", "a", fast), recorder.New("receiver", "b", slow)

	sender.Record(tiller.NewEvent(tiller.EventAccepted, "cause", tiller.WithKey("edit")))
	slow.Observe(fast.Next())
	receiver.Record(tiller.NewEvent(tiller.EventApplied, "effect", tiller.WithKey("edit")))

	one, _ := sender.Since(0)
	two, _ := receiver.Since(0)
	merged := renderer.Merge(renderer.Filter{Key: "edit"}, two, one)
	require.Equal(t, "cause", merged[0].GetDetail())
	require.Equal(t, "effect", merged[1].GetDetail())
	require.Empty(t, renderer.Merge(renderer.Filter{Kind: "elected"}, one, two))

	var text bytes.Buffer

	require.NoError(t, renderer.Text(&text, merged))
	require.Equal(t, 2, strings.Count(text.String(), "\n"))
}

func TestStampFarAheadIsIgnored(t *testing.T) {
	c := recorder.NewHybridClock(tiller.ClockFunc(func() tiller.Millis { return 1000 }))
	c.Observe(recorder.Stamp(uint64(tiller.Hour) << 16))
	require.Equal(t, tiller.Millis(1000), c.Wall())
}

func TestRingDropsTheOldestAndCounts(t *testing.T) {
	r := recorder.New("p", "a", recorder.NewHybridClock(tiller.ClockFunc(func() tiller.Millis { return 1 })))
	for range recorder.Capacity + 10 {
		r.Record(tiller.NewEvent(tiller.EventShed, ""))
	}

	events, dropped := r.Since(0)
	require.Len(t, events, recorder.Capacity)
	require.Equal(t, uint64(10), dropped)
	require.Less(t, events[0].GetStamp(), events[1].GetStamp())
}
