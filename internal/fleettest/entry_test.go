package fleettest

import (
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"

	"github.com/stretchr/testify/require"
)

// TestEntriesOfAnotherWriterAreRefused guards against a membership entry whose numbers are so large that its owner cannot refute it: all nodes
// then take a live node for dead, or ignore what it reports, until it restarts.
func TestEntriesOfAnotherWriterAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *wire.NodeEntry)
	}{
		{"largest incarnation", func(e *wire.NodeEntry) { e.Incarnation = math.MaxUint64 }},
		{"incarnation of 63 bits", func(e *wire.NodeEntry) { e.Incarnation = math.MaxInt64 }},
		{"largest sequence", func(e *wire.NodeEntry) { e.Sequence = math.MaxUint64 }},
		{"sequence before the largest", func(e *wire.NodeEntry) { e.Sequence = math.MaxUint64 - 1 }},
		{"largest incarnation and sequence", func(e *wire.NodeEntry) { e.Incarnation, e.Sequence = math.MaxUint64, math.MaxUint64 }},
		{"unknown liveness", func(e *wire.NodeEntry) { e.Sequence += 5; e.Liveness = 77 }},
		{"unknown state", func(e *wire.NodeEntry) { e.Sequence += 5; e.State = 77 }},
		{"too many slots", func(e *wire.NodeEntry) { e.Sequence += 5; e.Slots = math.MaxUint32 }},
		{"times out of range", func(e *wire.NodeEntry) { e.Sequence += 5; e.ReadySince, e.ColdUntil = math.MinInt64, math.MaxInt64 }},
		{"another data centre", func(e *wire.NodeEntry) { e.Sequence += 5; e.DataCentre = "elsewhere" }},
		{"long name", func(e *wire.NodeEntry) { e.Name = strings.Repeat("x", 100_000) }},
		{"long instance", func(e *wire.NodeEntry) { e.Sequence += 5; e.Instance = strings.Repeat("x", 100_000) }},
		{"many withdrawals", func(e *wire.NodeEntry) {
			e.Sequence += 5
			for range 10_000 {
				e.Withdrawals = append(e.Withdrawals, &wire.Withdrawal{Instance: "i"})
			}
		}},
	}

	for _, tc := range cases {
		for _, liveness := range []wire.Liveness{wire.Liveness_LIVENESS_ALIVE, wire.Liveness_LIVENESS_DEAD} {
			t.Run(tc.name+"/"+liveness.String(), func(t *testing.T) {
				f, _ := settledFleet(t, 2, 4)
				target := f.nodes[3]

				e, ok := proto.Clone(target.core.Self()).(*wire.NodeEntry)
				require.True(t, ok)

				e.Liveness = liveness
				tc.change(e)

				for _, n := range f.nodes {
					f.net.Send(f.now, &wire.Envelope{From: "dc0/n0", To: string(n.config.Address), Body: &wire.Envelope_TablePush{
						TablePush: &wire.TablePush{Entries: []*wire.NodeEntry{e}, DataCentre: e.GetDataCentre()},
					}})
				}

				f.run(stepMs * 4)
				f.until(2*detectionBound, "every node routes to the worker", f.routedBy(target.config.Name, true, everywhere))
				f.stepNode(target, node.Announce{Backend: detector.Backend{
					Service: "casting-board", State: wire.BackendState_BACKEND_STATE_DRAINING, Slots: 10, Connections: 130,
				}})
				f.until(detectionBound, "every node follows what the node reports", f.routedBy(target.config.Name, false, everywhere))

				for _, n := range f.nodes {
					for _, known := range n.core.Entries() {
						require.Less(t, proto.Size(known), 2000, "an oversized entry is stored")
					}
				}
			})
		}
	}
}
