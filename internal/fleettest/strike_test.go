package fleettest

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/process/node"
)

// TestStartedNodeKnowsCrashingRequests guards against a node that runs a quarantined request again, because it was not there, or was restarted,
// when the request crashed its servers.
func TestStartedNodeKnowsCrashingRequests(t *testing.T) {
	const (
		strikeLimit = 2
		waited      = tiller.Minute
	)

	d := quarantiner.DigestOf("PUT", "/calls/1", "", "", nil)
	knows := func(n *testNode) func() bool { return func() bool { return n.crashRecords.Strikes(d) >= strikeLimit } }

	for _, seeds := range []bool{true, false} {
		t.Run(fmt.Sprintf("seeds %t", seeds), func(t *testing.T) {
			f, _ := settledFleet(t, 2, 5)
			for crash := range uint64(strikeLimit) {
				f.stepNode(f.nodes[0], node.CrashReport{Token: crash + 1, Crash: crash + 1, Digest: d, Route: "browse"})
				f.run(tiller.Second)
			}

			for _, n := range f.nodes {
				require.True(t, knows(n)(), n.config.Name)
			}

			f.run(waited)

			// The nodes that saw the crashes are among those that are restarted in turn.
			for _, n := range f.nodes {
				n.up = false
				f.run(restartDelay)

				if !seeds {
					n.config.Seeds = nil
				}

				f.startNode(n)
				f.until(restoreBound, n.config.Name+" knows the request again", knows(n))
				require.Equal(t, strikeLimit, n.crashRecords.Strikes(d), "strikes are not counted twice")
				require.Less(t, n.crashRecords.List()[0].At(), f.now-waited+restoreBound, "the quarantine does not begin anew")
			}

			f.addNode(1, 9)
			added := f.nodes[len(f.nodes)-1]
			f.until(restoreBound, "a new node knows the request", knows(added))

			// A lifted quarantine stays lifted.
			f.stepNode(f.nodes[0], node.ClearStrikes{Digest: d})
			f.run(tiller.Second)
			require.False(t, slices.ContainsFunc(f.nodes, func(n *testNode) bool { return n.crashRecords.Has(d) }))
		})
	}
}
