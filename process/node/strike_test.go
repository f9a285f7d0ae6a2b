package node_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestCopiesOfARequestGetOneStrikeInACrash guards against the quarantine of a request that was in flight more than once when another
// request crashed the backend server.
func TestCopiesOfARequestGetOneStrikeInACrash(t *testing.T) {
	crashed := quarantiner.DigestOf("GET", "/profiles/7", "", "", nil)
	other := quarantiner.DigestOf("GET", "/profiles/8", "", "", nil)

	cases := []struct {
		name    string
		reports []node.CrashReport
		strikes int
		others  int
	}{
		{"two copies in one crash", []node.CrashReport{{Crash: 1, Digest: crashed}, {Crash: 1, Digest: crashed}}, 1, 0},
		{"one copy in each of two crashes", []node.CrashReport{{Crash: 1, Digest: crashed}, {Crash: 2, Digest: crashed}}, 2, 0},
		{
			"copies whose reports cross that of another crash",
			[]node.CrashReport{{Crash: 1, Digest: crashed}, {Crash: 2, Digest: other}, {Crash: 1, Digest: crashed}},
			1, 1,
		},
		{"two requests in one crash", []node.CrashReport{{Crash: 1, Digest: crashed}, {Crash: 1, Digest: other}}, 1, 1},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			records, peer := quarantiner.NewRegistry(), quarantiner.NewRegistry()
			core := newNode("n0", records)
			receiver := newNode("n1", peer)

			for i, r := range tc.reports {
				r.Token = uint64(i + 1)
				effects := core.Step(0, r)
				require.Equal(t, []uint64{r.Token}, effects.FinishedCrashReports, "no peer is known")
			}

			require.Equal(t, tc.strikes, records.Strikes(crashed))
			require.Equal(t, tc.others, records.Strikes(other))

			nonce := uint64(7)
			for range 2 {
				receiver.Step(0, node.Receive{Envelope: &wire.Envelope{From: "n0", To: "n1", Body: &wire.Envelope_Strike{
					Strike: &wire.Strike{Digest: []byte(crashed), Count: 1, Nonce: nonce},
				}}})
			}

			require.Equal(t, 1, peer.Strikes(crashed), "the same strike delivered twice")
		})
	}
}

func newNode(name string, records *quarantiner.Registry) *node.Core {
	return node.New(node.Config{
		Name: name, DataCentre: "kigali-1", Address: tiller.Address(name), CallAddress: tiller.Address(name), Service: "board",
	}, 1, records, rand.New(rand.NewPCG(1, 1)))
}
