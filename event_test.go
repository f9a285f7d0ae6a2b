package sycamoretiller_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// TestEventsPageListsEveryKind guards against log lines that operators cannot look up.
func TestEventsPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("docs/EVENTS.md")
	require.NoError(t, err)

	var listed []string

	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.Contains(cells[1], "`") {
			continue
		}

		for _, name := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
			listed = append(listed, name[1])
		}
	}

	require.ElementsMatch(t, tiller.EventKindStrings(), listed)
}
