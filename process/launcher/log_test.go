package launcher_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
)

// output is a standard output that blocks while its mutex is held.
type output struct {
	mu    sync.Mutex
	lines bytes.Buffer
	wrote chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	select {
	case o.wrote <- struct{}{}:
	default:
	}

	return o.lines.Write(p)
}

func TestLinesAreJSONWithFields(t *testing.T) {
	out := &output{wrote: make(chan struct{}, 1)}
	log, _ := launcher.NewLogTo(out, false)
	log.Info("call refused", "id", "a1", "time_left_ms", 12)
	log.V(1).Info("call served", "id", "a2")
	<-out.wrote

	var line map[string]any

	out.mu.Lock()
	defer out.mu.Unlock()
	require.NoError(t, json.Unmarshal(out.lines.Bytes(), &line))
	require.Equal(t, "call refused", line["msg"])
	require.Equal(t, "a1", line["id"])
	require.InDelta(t, 12, line["time_left_ms"], 0)
}

// TestBlockedOutputDoesNotBlockCallers blocks the output and logs more lines, each with its own message, than the queue holds.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	const kinds = 3000

	out := &output{wrote: make(chan struct{}, 1)}
	out.mu.Lock()

	log, counts := launcher.NewLogTo(out, false)
	done := make(chan struct{})

	go func() {
		defer close(done)

		for i := range kinds {
			log.Info(fmt.Sprintf("kind %d", i))
		}
	}()

	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "logging waits for the output")
	}

	_, lost := counts.Dropped()
	require.Positive(t, lost)
	out.mu.Unlock()
}

func TestLinesWithSameMessageAreRateLimited(t *testing.T) {
	log, counts := launcher.NewLogTo(&output{wrote: make(chan struct{}, 1)}, false)
	for range 1000 {
		log.Info("call refused")
	}

	limited, _ := counts.Dropped()
	require.GreaterOrEqual(t, limited, int64(800))
}
