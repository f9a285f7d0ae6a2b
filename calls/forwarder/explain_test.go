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

// logFile keeps what a process writes to its standard output.
type logFile struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.data.Write(p)
}

func (l *logFile) lines(t *testing.T, process string) []tracer.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()

	lines, skipped, err := tracer.Read(process, bytes.NewReader(l.data.Bytes()))
	require.NoError(t, err)
	require.Zero(t, skipped)

	return lines
}

// logged gives each node a log of its own, as the programs have it.
func logged(nodes []*fakeNode) []*logFile {
	files := make([]*logFile, 0, len(nodes))

	for _, n := range nodes {
		f := &logFile{}
		log, _ := launcher.NewLogTo(f, false)
		options := n.forward.Options
		options.Log = log
		n.forward = forwarder.New(options)
		n.server.Config.Handler = n.forward

		files = append(files, f)
	}

	return files
}

// sendNamed sends a call with an id that its caller knows.
func sendNamed(t *testing.T, n *fakeNode, method, path, id string) {
	t.Helper()

	r, err := http.NewRequestWithContext(context.Background(), method, n.server.URL+path, nil)
	require.NoError(t, err)
	r.Header.Set(forwarder.HeaderCause, id)

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// TestCauseIsFoundFromTheID breaks one thing for each kind of failed request and finds it by the documented step alone: the trace of the
// request's id through the logs of all nodes.
func TestCauseIsFoundFromTheID(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(120 * time.Millisecond)
		ok(w, r)
	}

	cases := map[string]struct {
		handle  http.HandlerFunc
		harm    func(t *testing.T, nodes []*fakeNode)
		method  string
		path    string
		message string
		says    map[string]string
	}{
		"refused as not run: the gate is full": {
			handle: ok, method: "PUT", path: "/calls/1",
			harm: func(t *testing.T, nodes []*fakeNode) {
				t.Helper()

				for _, n := range nodes {
					t.Cleanup(occupy(t, n))
					n.forward.Gate.Do(func(c *limiter.Core) { c.Configure(limiter.Options{Slots: 1, QueueTimeout: tiller.Second}) })
				}
			},
			message: "attempt refused", says: map[string]string{"reason": "overload", "load": "1", "limit": "1"},
		},
		"failed after it may have run: the backend server died": {
			handle: die, method: "PUT", path: "/calls/1",
			message: "call refused", says: map[string]string{"reason": "backend_failed", "verdict": "may_have_run"},
		},
		"late: the backend server took too long": {
			handle: slow, method: "GET", path: "/aimed/1",
			message: "call served late", says: map[string]string{"attempts": "1", "status": "200"},
		},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			nodes := newNodes(t, tc.handle, tc.handle)
			files := logged(nodes)

			if tc.harm != nil {
				tc.harm(t, nodes)
			}

			sendNamed(t, nodes[0], tc.method, tc.path, "request-1")
			sendNamed(t, nodes[1], "GET", "/nowhere", "request-2")

			var found []tracer.Line

			require.Eventually(t, func() bool {
				var lines []tracer.Line
				for i, f := range files {
					lines = append(lines, f.lines(t, string(nodes[i].name))...)
				}

				found = tracer.Request("request-1", lines)

				return says(found, tc.message, tc.says)
			}, 5*time.Second, 10*time.Millisecond, "no line %q with %v in %v", tc.message, tc.says, found)

			for _, l := range found {
				require.NotEqual(t, "request-2", l.Field("cause"))
			}
		})
	}
}

// says reports whether a line with a message has all the fields.
func says(lines []tracer.Line, message string, fields map[string]string) bool {
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

// TestTableOfAnotherMembershipKeepsTheVersion checks that a change of the membership changes the candidates alone.
func TestTableOfAnotherMembershipKeepsTheVersion(t *testing.T) {
	entry := func(name string) *wire.NodeEntry {
		return &wire.NodeEntry{
			Name: name, DataCentre: string(centre), CallAddress: "127.0.0.1:1", Service: "board", State: wire.BackendState_BACKEND_STATE_READY, Slots: 1,
		}
	}
	place := tiller.NewPlace(centre, "board", "w0")
	first := forwarder.NewTable(tiller.NewVersion(1, 2, []byte("hash")), document(t), place, []*wire.NodeEntry{entry("w0")})
	second := first.WithEntries([]*wire.NodeEntry{entry("w1"), entry("w2")})

	require.Equal(t, first.Version(), second.Version())
	require.Equal(t, first.RouteNames(), second.RouteNames())
	require.Len(t, first.Candidates("board"), 1)
	require.Len(t, second.Candidates("board"), 2)
	require.Equal(t, first.Settings("board"), second.Settings("board"))
}
