package nodeserver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
)

func TestDrainTimeoutIsTheShorterOfSettingsAndDocument(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings int64
		document map[string]int64
		want     tiller.Millis
	}{
		{"no configuration yet", 9000, nil, 9 * tiller.Second},
		{"shorter in the document", 90_000, map[string]int64{"drain_seconds": 20}, 20 * tiller.Second},
		{"shorter in the settings", 9000, map[string]int64{"drain_seconds": 20}, 9 * tiller.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const now = tiller.Minute

			s := &Server{settings: Settings{DrainMs: tc.settings, LeaveNoticeMs: 2000}, clock: tiller.ClockFunc(func() tiller.Millis { return now })}

			if tc.document != nil {
				d, faults := validator.Validate(tiller.DocumentSpec{Defaults: tc.document, Services: []tiller.ServiceSpec{{Name: "board"}}})
				require.Empty(t, faults)
				s.table.Store(forwarder.NewTable(tiller.NewVersion(1, 1, nil), d, tiller.NewLocation("kigali-1", "board", "w0"), nil))
			}

			require.Equal(t, now+2*tiller.Second+tc.want, s.beginStop())
		})
	}
}

// TestPartsShareTheStopTime guards against a stop in which each part takes the whole drain time, so that the process is killed before it has
// answered.
func TestPartsShareTheStopTime(t *testing.T) {
	now := tiller.Minute
	s := &Server{settings: Settings{DrainMs: 3200, LeaveNoticeMs: 2300}, clock: tiller.ClockFunc(func() tiller.Millis { return now })}
	s.beginStop()

	left := func() time.Duration {
		ctx, cancel := s.untilStop(context.Background())
		defer cancel()

		deadline, ok := ctx.Deadline()
		require.True(t, ok)

		return time.Until(deadline)
	}

	now += 2300

	require.LessOrEqual(t, left(), 3200*time.Millisecond)

	now += 3000

	require.LessOrEqual(t, left(), 200*time.Millisecond)

	now += 3000

	require.LessOrEqual(t, left(), minStopTime.Duration(), "only idle connections remain")
}
