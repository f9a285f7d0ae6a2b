package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/forwarder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
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

// BenchmarkTable builds the routing table of a node in a fleet of 1100 workers with the largest number of exceptions.
func BenchmarkTable(b *testing.B) {
	const (
		services = 83
		workers  = 1100
	)

	spec := tiller.DocumentSpec{}
	for i := range services {
		spec.Services = append(spec.Services, tiller.ServiceSpec{Name: fmt.Sprintf("s%d", i)})
	}

	for i := range validator.MaxExceptions {
		spec.Exceptions = append(spec.Exceptions, tiller.ExceptionSpec{
			Name: fmt.Sprintf("e%d", i), Scope: tiller.ScopeSpec{Worker: fmt.Sprintf("w%d", i)}, Setting: "queue_length", Value: 5,
			Reason: "this worker has little memory",
		})
	}

	d, faults := validator.Validate(spec)
	require.Empty(b, faults)

	var entries []*wire.NodeEntry
	for i := range workers {
		entries = append(entries, &wire.NodeEntry{
			Name: fmt.Sprintf("w%d", i), DataCentre: string(centre), Service: fmt.Sprintf("s%d", i%services),
			State: wire.BackendState_BACKEND_STATE_READY, Slots: 10,
		})
	}

	for b.Loop() {
		forwarder.NewTable(tiller.NewVersion(1, 2, nil), d, tiller.NewLocation(centre, "s1", "w1"), entries)
	}
}

// BenchmarkCall compares the latency of a call through two nodes with that of a direct call, without pauses between calls.
func BenchmarkCall(b *testing.B) {
	nodes := newNodes(b, ok, ok)
	nodes[0].table.Store(forwarder.NewTable(tiller.NewVersion(1, 2, nil), document(b), tiller.NewLocation(centre, "board", "w0"), []*wire.NodeEntry{{
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
