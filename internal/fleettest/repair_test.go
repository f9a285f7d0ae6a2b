package fleettest

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// makeLead restarts the leaders until the given controller leads.
func (f *fleet) makeLead(c *testController) {
	f.t.Helper()

	for range 20 {
		f.until(convergenceBound, "a controller leads", func() bool { return f.leader() != nil })

		if f.leader() == c {
			return
		}

		old := f.leader()
		old.up = false
		f.run(2 * tiller.Second)
		f.startController(old)
		f.run(tiller.Second)
	}

	require.Fail(f.t, "another controller leads each time")
}

// isVoter reports whether the leader counts a controller's present disk as a voter.
func (f *fleet) isVoter(c *testController) bool {
	leader := f.leader()
	if leader == nil {
		return false
	}

	for _, m := range leader.core.Status(f.now).GetMembers() {
		if m.GetId() == f.controllerMember(c).GetId() {
			return m.GetVoter()
		}
	}

	return false
}

// TestServiceReturnsAfterALostDiskWhileAReplacementLeads guards against a fleet without a configuration: a controller that is nobody's seed leads
// while a disk is lost, later the leader's disk and the power of all VMs.
func TestServiceReturnsAfterALostDiskWhileAReplacementLeads(t *testing.T) {
	const repairTime = 5300

	f, _ := settledFleet(t, 3, 2)
	f.controllers[0].up = false
	f.addController(3)

	replacement := f.controllers[3]
	f.until(convergenceBound, "the replacement votes", func() bool { return f.isVoter(replacement) })
	f.makeLead(replacement)

	f.loseDisk(f.controllers[1])
	f.run(repairTime)
	require.Equal(t, replacement, f.leader())

	version := f.edit(9)

	f.loseDisk(replacement)

	for _, c := range f.controllers[1:3] {
		f.startController(c)
	}

	for _, n := range f.nodes {
		f.startNode(n)
	}

	f.until(convergenceBound, "the last edit is in force", f.inForce(version, everywhere))
	f.edit(10)
}
