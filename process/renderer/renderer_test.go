package renderer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/renderer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func events(processes, each int) []*wire.Event {
	kinds := []string{"applied", "joined", "shed", "died", "ready"}

	var out []*wire.Event

	for p := range processes {
		for i := range each {
			out = append(out, &wire.Event{
				Stamp: uint64(1_700_000_000_000+i*700+p*13) << 16, Process: fmt.Sprintf("casting-board-%d", p),
				DataCentre: fmt.Sprintf("kigali-%d", p%4+1), Kind: kinds[(i+p)%len(kinds)], Detail: "<b>not markup</b>",
			})
		}
	}

	return renderer.Merge(renderer.Filter{}, out)
}

func TestHTML(t *testing.T) {
	for _, processes := range []int{0, 1, 4, 60} {
		var page bytes.Buffer

		require.NoError(t, renderer.HTML(&page, events(processes, 10), 3))
		require.Equal(t, processes*10, strings.Count(page.String(), "<circle "))
		require.Equal(t, processes, strings.Count(page.String(), `<tspan class="dc"`), "one lane per process")
		require.Contains(t, page.String(), "3 older events were dropped")
		require.NotContains(t, page.String(), "<b>")
		require.NotContains(t, page.String(), "http", "the page refers to no external resource")

		if folder := os.Getenv("PAGES"); folder != "" {
			require.NoError(t, os.WriteFile(fmt.Sprintf("%s/lanes-%d.html", folder, processes), page.Bytes(), 0o600))
		}
	}
}

func TestJSONLinesAndFilters(t *testing.T) {
	cases := []struct {
		filter renderer.Filter
		want   int
	}{
		{renderer.Filter{}, 40},
		{renderer.Filter{Process: "casting-board-2"}, 10},
		{renderer.Filter{DataCentre: "kigali-1"}, 10},
		{renderer.Filter{Kind: "died"}, 8},
		{renderer.Filter{Key: "nothing"}, 0},
	}

	for _, tc := range cases {
		var out bytes.Buffer

		require.NoError(t, renderer.JSONLines(&out, renderer.Merge(tc.filter, events(4, 10))))

		n := 0

		for d := json.NewDecoder(&out); d.More(); n++ {
			var l map[string]any

			require.NoError(t, d.Decode(&l))
			require.Contains(t, l, "data_centre")
		}

		require.Equal(t, tc.want, n)
	}
}
