package replicator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func TestLostDiskIsReplacedWhileTheLeaderIsNotASeed(t *testing.T) {
	c := threeVoters(t)
	index := c.propose()
	c.run(tiller.Second)

	leader := c.leader()
	other := (leader + 2) % 3
	c.seeds = []string{c.address(other)}
	fresh := c.wipe((leader + 1) % 3)
	c.run(4 * tiller.Second)
	require.Equal(t, leader, c.leader())
	require.NotEmpty(t, c.servers[fresh].core.Cluster(), "the follower that is asked passes the request on to the leader")

	for _, i := range []int{other, fresh} {
		c.kill(i)
		c.start(i)
	}

	c.wipe(leader)
	c.run(4 * tiller.Second)
	require.NotEqual(t, -1, c.leader(), "the second lost disk leaves two of three voters")
	require.NotZero(t, c.propose())
	require.Contains(t, c.committed, index)
}

// TestLearnerWithoutASnapshotGetsItFromTheNextLeader guards against a lost disk that is never replaced: the leader that added the
// learner is gone before its snapshot arrived.
func TestLearnerWithoutASnapshotGetsItFromTheNextLeader(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.run(10 * tiller.Second)

	leader := c.leader()
	victim := (leader + 1) % 4
	fresh := c.wipe(victim)
	c.net.Partition(func(from, to string) bool { return from == c.address(leader) && to == c.address(victim) })
	c.run(3 * tiller.Second)
	require.Empty(t, c.servers[fresh].core.Cluster())
	require.True(t, slices.ContainsFunc(c.servers[leader].core.Members(), func(m *wire.Member) bool {
		return m.GetId() == c.servers[fresh].member.GetId()
	}), "the learner is added before it has the snapshot")

	c.kill(leader)
	c.run(4 * tiller.Second)
	require.NotEqual(t, -1, c.leader())
	require.NotEmpty(t, c.servers[fresh].core.Cluster(), "the next leader sends the snapshot")
}

// repairTime is how long a cluster has to be ready for the next loss: 4 s at a heartbeat of 75 ms, here at 100 ms.
const repairTime = 5300

// repairs is a cluster of four controllers that loses disks and controllers one at a time.
type repairs struct {
	*cluster
	rt *rapid.T
	// live are the indexes of the controllers that are not gone for good.
	live []int
}

// drawSeeds lists three of the controllers for those that join next, as an operator's list would: it may name the joining one itself.
func (r *repairs) drawSeeds() {
	r.seeds = nil
	for _, i := range rapid.Permutation(r.live).Draw(r.rt, "seeds")[:3] {
		r.seeds = append(r.seeds, r.address(i))
	}
}

func (r *repairs) lose(i int) {
	r.drawSeeds()

	switch index := r.live[i]; rapid.IntRange(0, 4).Draw(r.rt, "loss") {
	case 0:
		r.live[i] = r.wipe(index)
	case 1:
		r.kill(index)
		r.run(tiller.Second)
		r.live[i] = r.add(fmt.Sprintf("replacement%d", len(r.servers)), false)
	case 2:
		r.kill(index)
		r.run(tiller.Second)
		r.start(index)
	case 3:
		r.restart(-1)
	default:
		r.isolate(r.address(index))
		r.run(2 * tiller.Second)
		r.net.Partition(nil)
	}
}

// restart cuts the power of all live controllers but one at the same time.
func (r *repairs) restart(except int) {
	for _, i := range r.live {
		if i != except {
			r.kill(i)
			r.start(i)
		}
	}
}

// requireRepaired checks that every live controller is a member and that one more of them may be lost.
func (r *repairs) requireRepaired() int {
	r.t.Helper()

	leader := r.leader()
	require.NotEqual(r.t, -1, leader, "a leader is elected")

	members := map[string]*wire.Member{}
	for _, m := range r.servers[leader].core.Members() {
		members[m.GetId()] = m
	}

	up := 0

	for _, i := range r.live {
		m := members[r.servers[i].member.GetId()]
		require.NotNil(r.t, m, "%s was taken in", r.servers[i].member.GetId())

		if m.GetVoter() {
			up++
		}
	}

	require.GreaterOrEqual(r.t, up-1, r.voters()/2+1, "one more of %d voters may be lost", r.voters())

	return leader
}

// TestEveryLossIsRepairedBeforeTheNext guards against a lost disk that goes unnoticed until the next one takes the majority.
func TestEveryLossIsRepairedBeforeTheNext(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &repairs{cluster: newCluster(rt, rapid.Uint64().Draw(rt, "seed"), 4), rt: rt, live: []int{0, 1, 2, 3}}
		r.run(10 * tiller.Second)
		leader := r.requireRepaired()

		for range rapid.IntRange(1, 6).Draw(rt, "losses") {
			r.lose(rapid.IntRange(0, len(r.live)-1).Draw(rt, "controller"))
			r.run(repairTime)
			leader = r.requireRepaired()
			require.NotZero(rt, r.propose())
		}

		index := r.propose()
		r.run(tiller.Second)
		r.restart(leader)
		r.kill(leader)
		r.run(repairTime)
		require.NotEqual(rt, -1, r.leader(), "the leader's disk and the power of the others are lost")
		require.NotZero(rt, r.propose())
		r.run(tiller.Second)
		require.Contains(rt, r.committed, index)
	})
}
