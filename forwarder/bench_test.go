package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func get(b *testing.B, url string) {
	b.Helper()

	resp, err := http.Get(url)
	require.NoError(b, err)

	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
}

// BenchmarkCall compares a call through two nodes with a direct one, without pauses between calls.
func BenchmarkCall(b *testing.B) {
	nodes := newNodes(b, ok, ok)
	nodes[0].table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, nil), document(b), tiller.NewPlace(centre, "board", "w0"), []*wire.NodeEntry{{
		Name: "w1", DataCentre: string(centre), CallAddress: strings.TrimPrefix(nodes[1].server.URL, "http://"), Service: "board",
		State: wire.BackendState_BACKEND_STATE_READY, Slots: 32,
	}}))

	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			get(b, nodes[1].backend.server.URL+"/calls/1")
		}
	})
	b.Run("nodes", func(b *testing.B) {
		for b.Loop() {
			get(b, nodes[0].server.URL+"/calls/1")
		}
	})
}
