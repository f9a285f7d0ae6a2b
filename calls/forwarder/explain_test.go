package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
	"gitlab.com/sycamoretiller/sycamoretiller/process/launcher"
	"gitlab.com/sycamoretiller/sycamoretiller/process/tracer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// logBuffer stores what a process writes to its standard output.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.data.Write(p)
}

func (l *logBuffer) lines(t *testing.T, process string) []tracer.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()

	lines, skipped, err := tracer.Read(process, bytes.NewReader(l.data.Bytes()))
	require.NoError(t, err)
	require.Zero(t, skipped)

	return lines
}

// captureLogs gives each node a separate log in the format of the programs.
func captureLogs(nodes []*fakeNode) []*logBuffer {
	files := make([]*logBuffer, 0, len(nodes))

	for _, n := range nodes {
		f := &logBuffer{}
		log, _ := launcher.NewLogTo(f, false)
		options := n.forward.Options
		options.Log = log
		n.forward = forwarder.New(options)
		n.server.Config.Handler = n.forward

		files = append(files, f)
	}

	return files
}

// sendWithID sends a call with an id that its caller chose.
func sendWithID(t *testing.T, n *fakeNode, method, path, id string) {
	t.Helper()

	r, err := http.NewRequestWithContext(context.Background(), method, n.server.URL+path, nil)
	require.NoError(t, err)
	r.Header.Set(forwarder.HeaderCause, id)

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// TestTraceByIDFindsTheCause injects one fault for each kind of failed request. The trace of the request's id through the logs of all
// nodes, which is the documented procedure, must show the cause.
func TestTraceByIDFindsTheCause(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(120 * time.Millisecond)
		ok(w, r)
	}

	cases := map[string]struct {
		handle      http.HandlerFunc
		injectFault func(t *testing.T, nodes []*fakeNode)
		method      string
		path        string
		message     string
		fields      map[string]string
	}{
		"refused as not run: no slot is free": {
			handle: ok, method: "PUT", path: "/calls/1",
			injectFault: func(t *testing.T, nodes []*fakeNode) {
				t.Helper()

				for _, n := range nodes {
					t.Cleanup(occupy(t, n))
					n.forward.Limiter.WithCore(func(c *limiter.Core) { c.Configure(limiter.Options{Slots: 1, QueueTimeout: tiller.Second}) })
				}
			},
			message: "attempt refused", fields: map[string]string{"reason": "overload", "load": "1", "limit": "1"},
		},
		"failed after it may have run: the backend server crashed": {
			handle: crash, method: "PUT", path: "/calls/1",
			message: "call refused", fields: map[string]string{"reason": "backend_failed", "verdict": "may_have_run"},
		},
		"late: the backend server took too long": {
			handle: slow, method: "GET", path: "/aimed/1",
			message: "call served late", fields: map[string]string{"attempts": "1", "status": "200"},
		},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			nodes := newNodes(t, tc.handle, tc.handle)
			files := captureLogs(nodes)

			if tc.injectFault != nil {
				tc.injectFault(t, nodes)
			}

			sendWithID(t, nodes[0], tc.method, tc.path, "request-1")
			sendWithID(t, nodes[1], "GET", "/nowhere", "request-2")

			var found []tracer.Line

			require.Eventually(t, func() bool {
				var lines []tracer.Line
				for i, f := range files {
					lines = append(lines, f.lines(t, string(nodes[i].name))...)
				}

				found = tracer.RequestLines("request-1", lines)

				return hasLine(found, tc.message, tc.fields)
			}, 5*time.Second, 10*time.Millisecond, "no line %q with %v in %v", tc.message, tc.fields, found)

			for _, l := range found {
				require.NotEqual(t, "request-2", l.Field("cause"))
			}
		})
	}
}

// hasLine reports whether a line with the message has all the fields.
func hasLine(lines []tracer.Line, message string, fields map[string]string) bool {
	for _, l := range lines {
		if l.Message() != message {
			continue
		}

		all := true
		for name, want := range fields {
			all = all && l.Field(name) == want
		}

		if all {
			return true
		}
	}

	return false
}

// TestTableOfAnotherMembershipKeepsTheVersion checks that a change of the membership changes nothing but the candidates.
func TestTableOfAnotherMembershipKeepsTheVersion(t *testing.T) {
	entry := func(name string) *wire.NodeEntry {
		return &wire.NodeEntry{
			Name: name, DataCentre: string(centre), CallAddress: "127.0.0.1:1", Service: "board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 1,
		}
	}
	location := tiller.NewLocation(centre, "board", "w0")
	first := forwarder.NewTable(tiller.NewVersion(1, 2, []byte("hash")), document(t), location, []*wire.NodeEntry{entry("w0")})
	second := first.WithEntries([]*wire.NodeEntry{entry("w1"), entry("w2")})

	require.Equal(t, first.Version(), second.Version())
	require.Equal(t, first.RouteNames(), second.RouteNames())
	require.Len(t, first.Candidates("board"), 1)
	require.Len(t, second.Candidates("board"), 2)
	require.Equal(t, first.Settings("board"), second.Settings("board"))
}
