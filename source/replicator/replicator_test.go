package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// threeVoters returns a cluster that has grown to three voters.
func threeVoters(t testingT) *cluster {
	c := newCluster(t, 1, 3)
	c.run(10 * tiller.Second)
	require.Equal(t, 3, c.voters())

	return c
}

func TestLearnersThatCaughtUpArePromoted(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(3 * tiller.Second)

	for range 50 {
		require.NotZero(t, c.propose())
	}

	c.add("c1", false)
	c.add("c2", false)
	c.run(10 * tiller.Second)
	require.Equal(t, 3, c.voters())

	for _, s := range c.servers {
		require.Equal(t, c.servers[0].core.Commit(), s.core.Commit())
	}
}

func TestLeaderLoss(t *testing.T) {
	const committedSpan = 500

	cases := []struct {
		name string
		// fail makes a proposal, injects the fault and returns whether the proposal must survive.
		fail func(c *cluster, leader int) bool
	}{
		{"before the entry is durable", func(c *cluster, leader int) bool {
			c.failDisk[leader] = true
			c.propose()

			return false
		}},
		{"after the entry is durable but before it is sent", func(c *cluster, leader int) bool {
			c.isolate(c.address(leader))
			c.propose()
			c.kill(leader)

			return false
		}},
		{"after the entry was sent but before any answer", func(c *cluster, leader int) bool {
			c.propose()
			c.kill(leader)

			return false
		}},
		{"after the commit", func(c *cluster, leader int) bool {
			c.propose()
			c.run(committedSpan)
			c.kill(leader)

			return true
		}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := threeVoters(t)
			old := c.leader()
			before := c.servers[old].core.Commit()
			survives := tc.fail(c, old)

			c.run(5 * tiller.Second)
			c.net.Partition(nil)

			leader := c.leader()
			require.NotEqual(t, -1, leader)
			require.NotEqual(t, old, leader)

			if survives {
				require.Contains(t, c.committed, before+1)
			}

			c.start(old)
			require.NotZero(t, c.propose())
			c.run(5 * tiller.Second)
			require.Equal(t, c.servers[leader].core.Commit(), c.servers[old].core.Commit())
		})
	}
}

// TestIsolatedLeaderLosesItsLeaseInTime guards against two leaders at once. A leader that is cut off loses its lease before another
// one is elected, and its campaigns while it is alone must not force an election when it returns.
func TestIsolatedLeaderLosesItsLeaseInTime(t *testing.T) {
	c := threeVoters(t)
	old := c.leader()
	c.isolate(c.address(old))
	c.run(replicator.NewTiming(100).Lease() + 2*stepMs)
	require.False(t, c.servers[old].core.HoldsLease(c.now))

	c.run(5 * tiller.Minute)
	require.NotEqual(t, old, c.leader())
	require.NotEqual(t, -1, c.leader())

	term := c.servers[c.leader()].core.Term()

	c.net.Partition(nil)
	c.run(5 * tiller.Second)
	require.Equal(t, term, c.servers[c.leader()].core.Term(), "the returning controller must not disturb the leader")
}

func TestWipedDiskGetsANewIdentityAndTheOldOneIsRetired(t *testing.T) {
	c := threeVoters(t)
	victim := (c.leader() + 1) % 3
	fresh := c.wipe(victim)
	c.run(10 * tiller.Second)
	require.Equal(t, 3, c.voters())

	for _, m := range c.servers[c.leader()].core.Members() {
		require.NotEqual(t, c.servers[victim].member.GetId(), m.GetId())
	}

	require.NotEmpty(t, c.servers[fresh].core.Cluster())
}

// TestInitialVoterIsRetiredByItsAddress guards against a stale voter that counts towards the quorum after its disk was replaced: the
// new identity has another name, so that only the address shows that both are the same controller.
func TestInitialVoterIsRetiredByItsAddress(t *testing.T) {
	c := threeVoters(t)
	victim := (c.leader() + 1) % 3
	c.kill(victim)

	fresh := c.add(c.servers[victim].member.GetName(), false)
	c.kill(fresh)
	c.servers[fresh].member.Name = "renamed"
	c.start(fresh)
	c.run(1500)
	require.Equal(t, 3, c.voters())

	for _, m := range c.servers[c.leader()].core.Members() {
		require.NotEqual(t, c.servers[victim].member.GetId(), m.GetId(), "retired long before it counts as unresponsive")
	}
}

// TestSuspendedLeaderConfirmsNothing stops a leader's clock while another leader is elected: by its own clock, its lease is
// still valid.
func TestSuspendedLeaderConfirmsNothing(t *testing.T) {
	c := threeVoters(t)
	old := c.leader()
	confirm := func(i int) bool {
		c.read(i, 7)
		c.run(1500)

		confirmed, answered := c.reads[7]
		require.True(t, answered)
		delete(c.reads, 7)

		return confirmed
	}

	require.True(t, confirm(old))

	before := c.now
	c.servers[old].up = false
	c.run(10 * tiller.Second)
	require.NotEqual(t, -1, c.leader())
	require.NotEqual(t, old, c.leader())

	c.servers[old].skew -= c.now - before
	c.servers[old].up = true
	c.servers[old].suspended = true
	require.True(t, c.servers[old].core.HoldsLease(c.now+c.servers[old].skew), "the lease is still valid by its own clock")
	c.read(old, 7)
	c.run(1500)
	require.False(t, c.reads[7])

	delete(c.reads, 7)
	require.True(t, confirm(c.leader()))
}

func TestReadsAreConfirmedByAQuorumOnly(t *testing.T) {
	c := threeVoters(t)
	leader := c.leader()
	c.read((leader+1)%3, 1)
	require.False(t, c.reads[1], "a follower refuses at once")

	c.isolate(c.address(leader))
	c.read(leader, 2)
	c.run(2 * tiller.Second)

	confirmed, answered := c.reads[2]
	require.True(t, answered)
	require.False(t, confirmed)
}

func TestInitialVotersFormOneClusterByThemselves(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 0)
		for i := range 3 {
			c.add(fmt.Sprintf("c%d", i), false)
		}

		var voters []*wire.Member
		for _, s := range c.servers {
			voters = append(voters, s.member)
		}

		for i, s := range c.servers {
			s.disk = replicator.RestoredState{Snapshot: replicator.Bootstrap("cluster", nil, voters...), HardState: &wire.HardState{Term: 1}}
			c.start(i)
		}

		c.run(5 * tiller.Second)
		require.Equal(t, 3, c.voters())
		require.NotZero(t, c.propose())
	}
}

func TestSecondVoterLostRightAfterTheFirstWasReplaced(t *testing.T) {
	c := threeVoters(t)
	index := c.propose()
	c.run(tiller.Second)

	leader := c.leader()
	fresh := c.wipe((leader + 1) % 3)
	c.run(10 * tiller.Second)
	require.Equal(t, 3, c.voters())

	c.kill((leader + 2) % 3)
	c.run(5 * tiller.Second)
	require.NotZero(t, c.propose(), "two of three voters are a quorum")
	c.run(tiller.Second)
	require.Contains(t, c.committed, index)
	require.Equal(t, c.servers[leader].core.Commit(), c.servers[fresh].core.Commit())
}

// TestWipedDiskDoesNotVoteUnderItsOldIdentity guards against lost commits: a controller that lost its log would elect a leader that
// lacks entries which the controller had acknowledged.
func TestWipedDiskDoesNotVoteUnderItsOldIdentity(t *testing.T) {
	c := threeVoters(t)
	leader := c.leader()
	c.kill(leader)
	c.wipe((leader + 1) % 3)
	c.run(30 * tiller.Second)
	require.Equal(t, -1, c.leader(), "one voter and a wiped disk are no quorum of three")
}

func TestClockJumpsDoNotStopTheCluster(t *testing.T) {
	for _, jump := range []tiller.Millis{-tiller.Hour, tiller.Hour} {
		c := threeVoters(t)
		c.servers[c.leader()].skew = jump
		c.run(5 * tiller.Second)
		require.NotZero(t, c.propose())

		other := (c.leader() + 1) % 3
		c.servers[other].skew = -jump
		c.run(5 * tiller.Second)
		require.NotEqual(t, -1, c.leader())
		require.NotZero(t, c.propose())
		c.run(5 * tiller.Second)
		require.Len(t, c.committed, int(c.servers[other].core.Commit()-1))
	}
}

func TestLaggingFollowerInstallsTheSnapshot(t *testing.T) {
	c := threeVoters(t)
	leader := c.leader()
	lagging := (leader + 1) % 3
	c.kill(lagging)

	for range 200 {
		require.NotZero(t, c.propose())
		c.run(stepMs)
	}

	c.run(tiller.Second)
	c.step(leader, replicator.Compact{Index: c.servers[leader].core.Commit(), Data: []byte("state")})
	c.start(lagging)
	c.run(5 * tiller.Second)
	require.Equal(t, c.servers[leader].core.Commit(), c.servers[lagging].core.Commit())
	require.Equal(t, []byte("state"), c.servers[lagging].disk.Snapshot.GetData())
}

// TestDelayedSnapshotKeepsAcknowledgedEntries guards against lost commits: a snapshot that arrives late must not remove the entries
// after it, which the follower has acknowledged and the leader may have committed.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	self := &wire.Member{Id: "a", Name: "a", Address: "a", Voter: true}
	leader := &wire.Member{Id: "b", Name: "b", Address: "b", Voter: true}
	members := &wire.Members{Members: []*wire.Member{self, leader}}
	disk := replicator.RestoredState{
		HardState: &wire.HardState{Term: 2},
		Snapshot:  &wire.Snapshot{Index: 1, Term: 1, Cluster: "cluster", Members: members},
	}

	for i := uint64(2); i <= 20; i++ {
		disk.Entries = append(disk.Entries, &wire.Entry{Index: i, Term: 2})
	}

	core := replicator.New("a", "a", replicator.NewTiming(100), rand.New(rand.NewPCG(1, 1)), disk)
	core.Step(1000, replicator.Receive{Envelope: &wire.Envelope{
		From: "b", To: "a", Cluster: "cluster", Body: &wire.Envelope_InstallSnapshot{InstallSnapshot: &wire.InstallSnapshot{
			Term: 2, Leader: "b", Snapshot: &wire.Snapshot{Index: 10, Term: 2, Cluster: "cluster", Members: members},
		}},
	}})

	require.Equal(t, uint64(10), core.Commit())
	require.Len(t, core.Tail(), 10, "a quorum may count on the entries after the snapshot")
}

// TestRandomSchedules kills and isolates servers, fails disk writes, and loses, duplicates and delays messages at random.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt, rapid.Uint64().Draw(rt, "seed"), 3)
		c.run(10 * tiller.Second)
		c.net.SetFaults(faultnet.Faults{Loss: 0.1, Duplication: 0.1, MinDelay: 1, MaxDelay: 150})

		for range rapid.IntRange(5, 15).Draw(rt, "faults") {
			i := rapid.IntRange(0, 2).Draw(rt, "server")

			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				c.kill(i)
			case 1:
				if !c.servers[i].up {
					c.start(i)
				}
			case 2:
				c.isolate(c.address(i))
			case 3:
				c.net.Partition(nil)
			case 4:
				c.failDisk[i] = true
			case 5:
				c.propose()
			}

			c.run(tiller.Millis(rapid.IntRange(1, 100).Draw(rt, "span")) * stepMs)
		}

		c.net.Partition(nil)
		c.net.SetFaults(faultnet.Faults{MinDelay: 1, MaxDelay: 30})

		for i, s := range c.servers {
			delete(c.failDisk, i)

			if !s.up {
				c.start(i)
			}
		}

		c.run(10 * tiller.Second)
		require.NotEqual(rt, -1, c.leader(), "a healed cluster elects a leader")
		require.NotZero(rt, c.propose())
		c.run(2 * tiller.Second)

		for _, s := range c.servers {
			require.Equal(rt, c.servers[c.leader()].core.Commit(), s.core.Commit())
		}
	})
}
