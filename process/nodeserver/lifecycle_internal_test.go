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
		want     time.Duration
	}{
		{"no configuration yet", 9000, nil, 9 * time.Second},
		{"shorter in the document", 90_000, map[string]int64{"drain_seconds": 20}, 20 * time.Second},
		{"shorter in the settings", 9000, map[string]int64{"drain_seconds": 20}, 9 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{settings: Settings{DrainMs: tc.settings}}

			if tc.document != nil {
				d, faults := validator.Validate(tiller.DocumentSpec{Defaults: tc.document, Services: []tiller.ServiceSpec{{Name: "board"}}})
				require.Empty(t, faults)
				s.table.Store(forwarder.NewTable(tiller.NewVersion(1, 1, nil), d, tiller.NewLocation("kigali-1", "board", "w0"), nil))
			}

			begun := time.Now()
			ctx, cancel := s.withDrainTimeout(context.Background())

			defer cancel()

			deadline, ok := ctx.Deadline()
			require.True(t, ok)
			require.WithinRange(t, deadline, begun.Add(tc.want), time.Now().Add(tc.want))
		})
	}
}
