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

// TestCrashingRequestIsKnownAfterAKillOfAllNodes guards against a request that crashes servers anew because no process remembers it.
func TestCrashingRequestIsKnownAfterAKillOfAllNodes(t *testing.T) {
	const strikeLimit = 2

	crashing := quarantiner.DigestOf("PUT", "/calls/1", "", "", nil)
	innocent := quarantiner.DigestOf("PUT", "/calls/2", "", "", nil)

	for _, controllers := range []bool{false, true} {
		t.Run(fmt.Sprintf("controllers killed %t", controllers), func(t *testing.T) {
			f, _ := settledFleet(t, 2, 5)
			for crash := range uint64(strikeLimit) {
				for i, d := range []quarantiner.Digest{crashing, innocent} {
					f.stepNode(f.nodes[0], node.CrashReport{Token: 2*crash + uint64(i) + 1, Crash: crash + 1, Digest: d, Route: "browse"})
				}

				f.run(tiller.Second)
			}

			f.stepNode(f.nodes[1], node.ClearStrikes{Digest: innocent})
			f.run(tiller.Second)

			for _, n := range f.nodes {
				n.up = false
			}

			if controllers {
				for _, c := range f.controllers {
					c.up = false
				}
			}

			f.run(restartDelay)

			if controllers {
				for _, c := range f.controllers {
					f.startController(c)
				}
			}

			for _, n := range f.nodes {
				f.startNode(n)
			}

			f.until(restoreBound, "all nodes know the request again", func() bool {
				return !slices.ContainsFunc(f.nodes, func(n *testNode) bool { return n.crashRecords.Strikes(crashing) < strikeLimit })
			})

			for _, n := range f.nodes {
				require.Equal(t, strikeLimit, n.crashRecords.Strikes(crashing), "strikes are not counted twice")
				require.False(t, n.crashRecords.Has(innocent), "a lifted quarantine stays lifted")
			}
		})
	}
}
