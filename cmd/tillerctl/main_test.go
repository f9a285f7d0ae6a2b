package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/internal/loopback"
	"gitlab.com/sycamoretiller/sycamoretiller/process/controlserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/nodeserver"
	"gitlab.com/sycamoretiller/sycamoretiller/process/runner"
)

const maxWait = 20 * time.Second

const documentText = `
defaults:
  call_timeout_ms: 1000
services:
  - name: board
routes: []
exceptions:
  - name: slow
    scope: {worker: w1}
    setting: call_timeout_ms
    value: 4000
    reason: its disk is being replaced
`

// run runs parts until the test ends.
func run(t *testing.T, parts []runner.Part) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- runner.Run(ctx, parts...) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// deployment starts one controller and one node and returns their addresses.
func deployment(t *testing.T) (controller, node string) {
	t.Helper()

	c := controlserver.Settings{Name: "c1", DataCentre: "dc1", Address: loopback.FreeAddress(t), DataFolder: t.TempDir(), HeartbeatMs: 20}
	require.NoError(t, controlserver.Bootstrap(c))

	cs, err := controlserver.New(c, controlserver.Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	require.NoError(t, err)
	run(t, cs.Parts())

	n := nodeserver.Settings{
		Name: "w1", DataCentre: "dc1", Service: "board", Address: loopback.FreeAddress(t), CallAddress: loopback.FreeAddress(t),
		Controllers: []string{c.Address},
	}
	ns, err := nodeserver.New(n, nodeserver.Options{Log: logr.Discard(), Metrics: metrics.NewRegistry()})
	require.NoError(t, err)
	run(t, ns.Parts())

	require.Eventually(t, func() bool { return cs.Status().GetCurrent() }, maxWait, 10*time.Millisecond)

	return c.Address, n.Address
}

// tillerctl runs a command and returns its standard output and exit code.
func tillerctl(t *testing.T, args ...string) (string, int) {
	t.Helper()

	var out bytes.Buffer

	c := command()
	c.Writer = &out
	code := launcher.Run(context.Background(), c, append([]string{"tillerctl"}, args...))

	return out.String(), code
}

func writeFile(t *testing.T, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), "document.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	return path
}

func TestEditAndReadBack(t *testing.T) {
	controller, node := deployment(t)
	at := []string{"--controllers", controller}
	do := func(args ...string) (string, int) { return tillerctl(t, append(at, args...)...) }
	file := writeFile(t, documentText)

	out, code := do("config", "apply", "--reason", "first", "--author", "ann", file)
	require.Equal(t, launcher.ExitOK, code)

	version := strings.TrimSpace(strings.TrimPrefix(out, "accepted as version "))

	require.Eventually(t, func() bool {
		out, code := do("status")

		return code == launcher.ExitOK && strings.Contains(out, "dc1") && strings.Contains(out, version)
	}, maxWait, 50*time.Millisecond)

	out, code = do("config", "show")
	require.Equal(t, launcher.ExitOK, code)
	require.Contains(t, out, "its disk is being replaced")

	out, code = do("--output", "json", "explain", "--worker", "w1")
	require.Equal(t, launcher.ExitOK, code)

	var rows []settingRow

	require.NoError(t, json.Unmarshal([]byte(out), &rows))
	require.Equal(t, settingRow{"call_timeout_ms", 4000, "ms", "exception slow: its disk is being replaced"}, rows[0])

	require.Eventually(t, func() bool {
		out, code := tillerctl(t, "explain", "--node", node, "--worker", "w1")

		return code == launcher.ExitOK && strings.Contains(out, "exception slow")
	}, maxWait, 50*time.Millisecond)

	out, code = do("config", "diff", writeFile(t, strings.Replace(documentText, "1000", "2000", 1)))
	require.Equal(t, launcher.ExitOK, code)
	require.Contains(t, out, "default/call_timeout_ms")

	out, code = do("config", "history")
	require.Equal(t, launcher.ExitOK, code)
	require.Contains(t, out, "ann")

	_, code = do("config", "apply", "--reason", "late", "--base", "none", file)
	require.Equal(t, launcher.ExitConflict, code)

	out, code = tillerctl(t, "backends", "--node", node)
	require.Equal(t, launcher.ExitOK, code)
	require.Contains(t, out, "w1")

	for _, format := range []string{"text", "jsonl", "html"} {
		out, code = do("timeline", "--node", node, "--kind", "accepted", "--format", format)
		require.Equal(t, launcher.ExitOK, code)
		require.Contains(t, out, version)
	}

	_, code = do("recover", "--node", node, "--onto", controller)
	require.Equal(t, launcher.ExitConflict, code, "the controllers still have a quorum")

	_, code = tillerctl(t, "quarantine", "list", "--node", node)
	require.Equal(t, launcher.ExitOK, code)
}

func TestBadInput(t *testing.T) {
	unknownKey := writeFile(t, "defaults: {call_timeout_ms: 5}\nservices: [{name: board}]\nrouts: []\n")
	invalid := writeFile(t, "services:\n  - name: board\nexceptions:\n  - {name: x, scope: {worker: w}, setting: attempts, value: 9, reason: ''}\n")
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"no controllers", []string{"status"}, launcher.ExitBadInput},
		{"host name", []string{"--controllers", "localhost:1", "status"}, launcher.ExitBadInput},
		{"no controller answers", []string{"--controllers", "127.0.0.1:1", "status"}, launcher.ExitUnreachable},
		{"no file", []string{"config", "check"}, launcher.ExitBadInput},
		{"missing file", []string{"config", "check", "/no/such/file"}, launcher.ExitBadInput},
		{"unknown key", []string{"config", "check", unknownKey}, launcher.ExitBadInput},
		{"invalid document", []string{"config", "check", invalid}, launcher.ExitBadInput},
		{"unknown format", []string{"timeline", "--format", "pdf"}, launcher.ExitBadInput},
		{"unknown flag", []string{"status", "--nope"}, launcher.ExitBadInput},
		{"trace without a log", []string{"trace", "a1"}, launcher.ExitBadInput},
		{"trace of a missing log", []string{"trace", "a1", "/no/such/file"}, launcher.ExitBadInput},
		{"trace of an unknown id", []string{"trace", "a1", unknownKey}, launcher.ExitFailed},
		{"bad digest", []string{"quarantine", "lift", "xyz"}, launcher.ExitBadInput},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, code := tillerctl(t, tc.args...)
			require.Equal(t, tc.code, code)
		})
	}
}

func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "board-1.log")
	line := `{"level":"info","ts":"2026-12-04T09:10:00Z","msg":"call refused","id":"a1","cause":"a1","reason":"overload"}` + "\n"
	require.NoError(t, os.WriteFile(path, []byte(line), 0o600))

	out, code := tillerctl(t, "trace", "a1", path)
	require.Zero(t, code)
	require.Contains(t, out, "board-1")
	require.Contains(t, out, "reason=overload")
}

func TestFaultsNameFileAndLine(t *testing.T) {
	path := writeFile(t, `services:
  - name: board
exceptions:
  - name: x
    scope: {worker: w}
    setting: attempts
    value: 9
    reason: ''
`)
	_, err := readDocument(path)
	require.ErrorContains(t, err, path+":8: exceptions[0].reason")
	require.ErrorContains(t, err, path+":6: exceptions[0].setting")
}
