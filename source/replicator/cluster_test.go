package replicator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/internal/faultnet"
	"gitlab.com/sycamoretiller/sycamoretiller/source/journaler"
	"gitlab.com/sycamoretiller/sycamoretiller/source/replicator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestMain fixes rapid's seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()

	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

const stepMs = 20

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

type server struct {
	member  *wire.Member
	core    *replicator.Core
	disk    replicator.RestoredState
	up      bool
	skew    tiller.Millis
	applied []*wire.Entry
	// suspended marks a server whose clock was stopped, so that its view of the lease is not checked.
	suspended bool
}

// cluster runs the cores of several controllers in virtual time and checks the protocol's invariants after every step.
type cluster struct {
	t         testingT
	net       *faultnet.Net
	now       tiller.Millis
	seed      uint64
	servers   []*server
	leaders   map[uint64]string
	committed map[uint64]*wire.Entry
	proposals int
	// failDisk makes the next disk write of a server fail, which stops the server.
	failDisk map[int]bool
	// reads maps the token of each answered read to whether it was confirmed.
	reads map[uint64]bool
	// seeds are the addresses that a controller without a cluster asks to join; nil means all.
	seeds []string
}

func newCluster(t testingT, seed uint64, size int) *cluster {
	c := &cluster{
		t: t, seed: seed, now: 1000, leaders: map[uint64]string{}, committed: map[uint64]*wire.Entry{}, failDisk: map[int]bool{}, reads: map[uint64]bool{},
		net: faultnet.New(seed, faultnet.Faults{MinDelay: 1, MaxDelay: 30}),
	}

	for i := range size {
		c.add(fmt.Sprintf("c%d", i), i == 0)
	}

	return c
}

func (c *cluster) add(name string, bootstrap bool) int {
	i := len(c.servers)
	s := &server{member: &wire.Member{Id: fmt.Sprintf("%s-disk%d", name, i), Name: name, Address: name}}

	if bootstrap {
		s.disk.Snapshot = replicator.Bootstrap("cluster", nil, s.member)
		s.disk.HardState = &wire.HardState{Term: 1}
	}

	c.servers = append(c.servers, s)
	c.start(i)

	return i
}

func (c *cluster) start(i int) {
	s := c.servers[i]
	s.core = replicator.New(s.member.GetId(), tiller.Address(s.member.GetAddress()), replicator.NewTiming(100),
		rand.New(rand.NewPCG(c.seed, uint64(i)+1)), s.disk)
	s.up = true
	s.applied = nil
}

func (c *cluster) kill(i int) { c.servers[i].up = false }

// wipe replaces the disk of a server: the controller restarts under a new identity.
func (c *cluster) wipe(i int) int {
	c.kill(i)

	return c.add(c.servers[i].member.GetName(), false)
}

func (c *cluster) step(i int, input replicator.Input) uint64 {
	s := c.servers[i]
	if !s.up {
		return 0
	}

	e := s.core.Step(c.now+s.skew, input)

	if c.failDisk[i] && (e.Record != nil || e.Snapshot != nil) {
		delete(c.failDisk, i)
		c.kill(i)

		return 0
	}

	if e.Record != nil {
		journaler.ApplyRecord(&s.disk, e.Record)
	}

	if e.Snapshot != nil {
		s.disk = replicator.RestoredState{Snapshot: e.Snapshot, HardState: s.core.HardState(), Entries: s.core.Tail()}
	}

	for _, entry := range e.Committed {
		c.checkCommitted(entry)
		s.applied = append(s.applied, entry)
	}

	for _, token := range e.Confirmed {
		c.reads[token] = true
	}

	for _, token := range e.Unconfirmed {
		c.reads[token] = false
	}

	c.net.Send(c.now, e.Messages...)
	c.checkLeader(s)

	return e.Proposed
}

func (c *cluster) checkCommitted(entry *wire.Entry) {
	c.t.Helper()

	if old := c.committed[entry.GetIndex()]; old != nil {
		require.Equal(c.t, old.GetTerm(), entry.GetTerm(), "two entries are committed at index %d", entry.GetIndex())
		require.Equal(c.t, old.GetData(), entry.GetData(), "two entries are committed at index %d", entry.GetIndex())
	}

	c.committed[entry.GetIndex()] = entry
}

func (c *cluster) checkLeader(s *server) {
	c.t.Helper()

	if s.core.Role() != replicator.RoleLeader {
		return
	}

	if id, ok := c.leaders[s.core.Term()]; ok {
		require.Equal(c.t, id, s.core.ID(), "two leaders in term %d", s.core.Term())
	}

	c.leaders[s.core.Term()] = s.core.ID()
}

// run advances virtual time and checks that at most one controller holds the lease.
func (c *cluster) run(span tiller.Millis) {
	c.t.Helper()

	for end := c.now + span; c.now < end; c.now += stepMs {
		for _, e := range c.net.Due(c.now) {
			for i, s := range c.servers {
				if s.up && s.member.GetAddress() == e.GetTo() {
					c.step(i, replicator.Receive{Envelope: e})
				}
			}
		}

		leaseholders := 0

		for i, s := range c.servers {
			c.step(i, replicator.Tick{})
			c.join(s)

			if s.up && !s.suspended && s.core.HoldsLease(c.now+s.skew) {
				leaseholders++
			}
		}

		require.LessOrEqual(c.t, leaseholders, 1, "two controllers hold the lease")
	}
}

// join asks the other servers to add a controller that has no cluster yet.
func (c *cluster) join(s *server) {
	if !s.up || s.core.Cluster() != "" || c.now%1000 >= stepMs {
		return
	}

	for _, o := range c.servers {
		if o.up && o != s && (c.seeds == nil || slices.Contains(c.seeds, o.member.GetAddress())) {
			c.net.Send(c.now, &wire.Envelope{
				From: s.member.GetAddress(), To: o.member.GetAddress(), Body: &wire.Envelope_Join{Join: &wire.Join{Member: s.member}},
			})
		}
	}
}

func (c *cluster) leader() int {
	for i, s := range c.servers {
		if s.up && s.core.HoldsLease(c.now+s.skew) {
			return i
		}
	}

	return -1
}

func (c *cluster) voters() int {
	i := c.leader()
	if i < 0 {
		return 0
	}

	n := 0

	for _, m := range c.servers[i].core.Members() {
		if m.GetVoter() {
			n++
		}
	}

	return n
}

// propose appends a command at the leader and returns its index, or zero without a leader.
func (c *cluster) propose() uint64 {
	i := c.leader()
	if i < 0 {
		return 0
	}

	c.proposals++

	return c.step(i, replicator.Propose{Data: []byte(fmt.Sprintf("command %d", c.proposals))})
}

// read requests a confirmation from a controller; the result is stored in reads.
func (c *cluster) read(i int, token uint64) { c.step(i, replicator.Confirm{Token: token}) }

func (c *cluster) isolate(addresses ...string) {
	set := tiller.NewSet(addresses...)
	c.net.Partition(func(from, to string) bool { return set.Has(from) != set.Has(to) })
}

func (c *cluster) address(i int) string { return c.servers[i].member.GetAddress() }
