package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/registrar"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func validAnnouncement() registrar.Announcement {
	return registrar.Announcement{Address: "127.0.0.1:80", Service: "board", Slots: 10, Connections: 130, State: "ready"}
}

func TestAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		change func(a *registrar.Announcement)
		faults int
	}{
		{"valid", func(*registrar.Announcement) {}, 0},
		{"another service", func(a *registrar.Announcement) { a.Service = "other" }, 1},
		{"host name instead of an IP address", func(a *registrar.Announcement) { a.Address = "localhost:80" }, 1},
		{"unknown state", func(a *registrar.Announcement) { a.State = "fine" }, 1},
		{"state in capitals", func(a *registrar.Announcement) { a.State = "READY" }, 1},
		{"every fault is listed", func(a *registrar.Announcement) { *a = registrar.Announcement{} }, 5},
		{"slots out of range", func(a *registrar.Announcement) { a.Slots = registrar.MaxSlots + 1 }, 1},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board")
			a := validAnnouncement()
			tc.change(&a)
			require.Len(t, c.Announce(0, a), tc.faults)
		})
	}
}

func TestLeaseAndRefusedConnection(t *testing.T) {
	c := registrar.New("board")
	require.Equal(t, wire.BackendState_BACKEND_STATE_NONE, c.Backend(0).State)
	require.Empty(t, c.Announce(0, validAnnouncement()))
	require.Equal(t, wire.BackendState_BACKEND_STATE_READY, c.Backend(registrar.DefaultLease-1).State)
	require.Equal(t, wire.BackendState_BACKEND_STATE_GONE, c.Backend(registrar.DefaultLease).State, "the lease expired")

	require.Empty(t, c.Announce(registrar.DefaultLease, validAnnouncement()))
	c.ConnectionRefused(registrar.DefaultLease)
	require.Equal(t, wire.BackendState_BACKEND_STATE_GONE, c.Backend(registrar.DefaultLease+1).State, "a refused connection overrides the announcement")

	bad := validAnnouncement()
	bad.Slots = 0
	require.NotEmpty(t, c.Announce(registrar.DefaultLease, bad))
	require.Equal(t, 10, c.Backend(registrar.DefaultLease+1).Slots, "an invalid announcement changes nothing")
}

func announcement(instance string, startedAtMs int64, sequence uint64, state string) registrar.Announcement {
	a := validAnnouncement()
	a.Instance, a.StartedAtMs, a.Sequence, a.State = instance, startedAtMs, sequence, state

	return a
}

func TestSupersededAnnouncements(t *testing.T) {
	const (
		ready    = wire.BackendState_BACKEND_STATE_READY
		draining = wire.BackendState_BACKEND_STATE_DRAINING
	)

	cases := []struct {
		name     string
		run      func(c *registrar.Core)
		instance string
		state    wire.BackendState
	}{
		{"late announcement of the same start", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 2, "draining"))
			c.Announce(20, announcement("a", 100, 1, "ready"))
		}, "a", draining},
		{"duplicate does not renew the lease", func(c *registrar.Core) {
			c.Announce(-3100, announcement("a", 100, 1, "ready"))
			c.Announce(20, announcement("a", 100, 1, "ready"))
		}, "a", wire.BackendState_BACKEND_STATE_GONE},
		{"earlier start of another instance", func(c *registrar.Core) {
			c.Announce(10, announcement("b", 200, 1, "ready"))
			c.Announce(20, announcement("a", 100, 9, "draining"))
		}, "b", ready},
		{"later start of the same instance restarts the sequence", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 50, "draining"))
			c.Announce(20, announcement("a", 300, 1, "ready"))
		}, "a", ready},
		{"start after the VM's clock was set back and the old lease expired", func(c *registrar.Core) {
			c.Announce(-3100, announcement("a", 9000, 50, "ready"))
			c.Announce(20, announcement("b", 100, 1, "ready"))
		}, "b", ready},
		{"late announcement after the withdrawal", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 1, "ready"))
			c.Withdraw(20, "a", 100)
			c.Announce(30, announcement("a", 100, 2, "ready"))
		}, "a", draining},
		{"withdrawal of an earlier start", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 300, 1, "ready"))
			c.Withdraw(20, "a", 100)
		}, "a", ready},
		{"later start after the withdrawal", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 1, "ready"))
			c.Withdraw(20, "a", 0)
			c.Announce(30, announcement("a", 101, 1, "ready"))
		}, "a", ready},
		{"late announcement after an answer said that the server leaves", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 1, "ready"))
			c.Leave(20, "a@100", false)
			c.Announce(30, announcement("a", 100, 2, "ready"))
		}, "a", draining},
		{"answer of an earlier start under the same id says that it leaves", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 300, 1, "ready"))
			c.Leave(20, "a@100", false)
		}, "a", ready},
		{"later start under the same id after one that leaves", func(c *registrar.Core) {
			c.Announce(10, announcement("a", 100, 1, "ready"))
			c.Leave(20, "a@100", false)
			c.Announce(30, announcement("a", 101, 1, "ready"))
		}, "a", ready},
		{"withdrawal of an unknown server before its announcement", func(c *registrar.Core) {
			c.Withdraw(20, "a", 100)
			c.Announce(30, announcement("a", 100, 1, "ready"))
		}, "", wire.BackendState_BACKEND_STATE_NONE},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board")
			tc.run(c)
			require.Equal(t, tc.state, c.Backend(100).State)
			require.Equal(t, tc.instance, c.Instance())
		})
	}
}

func TestRepeatedAnnouncementsChangeNothing(t *testing.T) {
	c := registrar.New("board")
	require.Empty(t, c.Announce(10, announcement("a", 100, 1, "ready")))

	before := c.Backend(20)
	for i := range uint64(5) {
		require.Empty(t, c.Announce(tiller.Millis(100*(i+1)), announcement("a", 100, 2+i, "ready")))
		require.Equal(t, before, c.Backend(20), "a changed entry is sent to every node, so a renewal must not change it")
	}
}

func TestDrainLinger(t *testing.T) {
	c := registrar.New("board", registrar.WithDrainLinger(500))
	c.Announce(0, announcement("a", 100, 1, "ready"))
	c.Announce(100, announcement("a", 100, 2, "draining"))
	c.Announce(400, announcement("a", 100, 3, "draining"))
	require.True(t, c.Accepts(599))
	require.False(t, c.Accepts(600), "a repeated announcement does not restart the linger")
}

func TestServerThatSaysItLeaves(t *testing.T) {
	for _, tc := range []struct {
		name   string
		learnt bool
	}{
		{"its own answer begins the linger", false},
		{"what a peer has known for long leaves no linger", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board", registrar.WithDrainLinger(500))
			require.False(t, c.Leave(0, "", tc.learnt), "no server is known")
			c.Announce(0, announcement("a", 100, 1, "ready"))
			require.False(t, c.Leaving())
			require.True(t, c.Leave(1000, c.Start(), tc.learnt))
			require.False(t, c.Leave(1100, c.Start(), tc.learnt), "no news")
			require.True(t, c.Leaving())
			require.Equal(t, !tc.learnt, c.Accepts(1499))
			require.False(t, c.Accepts(1500))
			require.Equal(t, wire.BackendState_BACKEND_STATE_DRAINING, c.Backend(1500).State)
		})
	}
}

func TestRefusedConnectionWithoutAnnouncements(t *testing.T) {
	c := registrar.New("board", registrar.WithLease(10_000))
	c.Announce(0, announcement("a", 100, 1, "ready"))
	c.ConnectionRefused(100)
	require.False(t, c.Accepts(2900), "no announcement was received since")
	require.True(t, c.Accepts(3200))

	c.ConnectionRefused(4000)
	c.Announce(4100, announcement("b", 200, 1, "ready"))
	require.True(t, c.Accepts(4200), "another start clears the refusal")
}

// TestRestoredWithdrawals guards against late announcements after a restart of the node, whose peers remember what it had acknowledged.
func TestRestoredWithdrawals(t *testing.T) {
	const (
		none     = wire.BackendState_BACKEND_STATE_NONE
		ready    = wire.BackendState_BACKEND_STATE_READY
		draining = wire.BackendState_BACKEND_STATE_DRAINING
	)

	withdrawn := []detector.Withdrawal{{Instance: "a", StartedAtMs: 100, Sequence: detector.AllSequences}}
	drains := []detector.Withdrawal{{Instance: "a", StartedAtMs: 100, Sequence: 5}}

	cases := []struct {
		name     string
		restored []detector.Withdrawal
		run      func(c *registrar.Core)
		state    wire.BackendState
	}{
		{"late announcement of a withdrawn start", withdrawn, func(c *registrar.Core) { c.Announce(20, announcement("a", 100, 9, "ready")) }, none},
		{"late announcement of an earlier start", withdrawn, func(c *registrar.Core) { c.Announce(20, announcement("a", 90, 9, "ready")) }, none},
		{"later start of the same instance", withdrawn, func(c *registrar.Core) { c.Announce(20, announcement("a", 101, 1, "ready")) }, ready},
		{"another instance", withdrawn, func(c *registrar.Core) { c.Announce(20, announcement("b", 100, 1, "ready")) }, ready},
		{"announcement from before the drain", drains, func(c *registrar.Core) { c.Announce(20, announcement("a", 100, 4, "ready")) }, none},
		{"the drain goes on", drains, func(c *registrar.Core) { c.Announce(20, announcement("a", 100, 6, "draining")) }, draining},
		{"the drain was called off", drains, func(c *registrar.Core) { c.Announce(20, announcement("a", 100, 6, "ready")) }, ready},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board", registrar.WithDrainLinger(500))
			c.Restore(10, tc.restored)
			tc.run(c)
			require.Equal(t, tc.state, c.Backend(30).State)
			require.Equal(t, tc.state == ready, c.Accepts(30), "no linger is left after a restart")
		})
	}

	t.Run("the announcement arrives before the restored withdrawal", func(t *testing.T) {
		c := registrar.New("board", registrar.WithDrainLinger(500))
		c.Announce(10, announcement("a", 100, 4, "ready"))
		c.Restore(20, drains)
		require.Equal(t, draining, c.Backend(30).State)
		require.False(t, c.Accepts(30))
	})
}

func TestWithdrawalsExpire(t *testing.T) {
	c := registrar.New("board")
	c.Announce(0, announcement("a", 100, 1, "ready"))
	c.Withdraw(10, "a", 100)
	require.Len(t, c.Backend(60_009).Withdrawals, 1)
	require.Empty(t, c.Backend(60_010).Withdrawals)

	c.Announce(60_010, announcement("a", 90, 1, "ready"))
	require.True(t, c.Accepts(60_011), "the server started again after its VM's clock was set back")
}

// TestServerStartsAgainWithAnEarlierClock guards against a server that is not used since its start seems earlier than one that left, and against
// late announcements that seem to be of such a server.
func TestServerStartsAgainWithAnEarlierClock(t *testing.T) {
	const (
		withdrawnAt = tiller.Second
		heartbeat   = tiller.Second
		earlier     = int64(90)
	)

	announce := func(c *registrar.Core, from, until tiller.Millis, start int64, state string) {
		for at := from; at < until; at += heartbeat {
			c.Announce(at, announcement("a", start, uint64(at/heartbeat), state))
		}
	}
	withdraw := func(c *registrar.Core) {
		c.Announce(0, announcement("a", 100, 1, "ready"))
		c.Withdraw(withdrawnAt, "a", 100)
	}

	cases := []struct {
		name  string
		leave func(c *registrar.Core)
		run   func(c *registrar.Core)
		used  bool
	}{
		{"runs on", withdraw, func(c *registrar.Core) { announce(c, 2000, 20_000, earlier, "ready") }, true},
		{"runs on after a start that drained", func(c *registrar.Core) {
			c.Announce(0, announcement("a", 100, 1, "draining"))
		}, func(c *registrar.Core) { announce(c, 2000, 20_000, earlier, "ready") }, true},
		{"a late announcement of the start that left", withdraw, func(c *registrar.Core) {
			announce(c, 2000, 20_000, earlier, "ready")
			c.Announce(19_500, announcement("a", 100, 9, "draining"))
		}, true},
		{"leaves too", withdraw, func(c *registrar.Core) {
			announce(c, 2000, 20_000, earlier, "ready")
			c.Withdraw(19_500, "a", earlier)
			c.Announce(19_600, announcement("a", earlier, 99, "ready"))
			c.Announce(19_700, announcement("a", 100, 99, "ready"))
		}, false},
		{"announcements that are late by seconds", withdraw, func(c *registrar.Core) {
			announce(c, 2000, 10_000, earlier, "ready")
		}, false},
		{"two late ones with a gap", withdraw, func(c *registrar.Core) {
			announce(c, 2000, 3000, earlier, "ready")
			announce(c, 19_000, 20_000, earlier, "ready")
		}, false},
		{"copies", withdraw, func(c *registrar.Core) {
			for at := tiller.Millis(2000); at < 20_000; at += heartbeat {
				c.Announce(at, announcement("a", earlier, 7, "ready"))
			}
		}, false},
		{"the start that left announces itself between", func(c *registrar.Core) {
			c.Announce(0, announcement("a", 100, 1, "draining"))
		}, func(c *registrar.Core) {
			for at := tiller.Millis(2000); at < 20_000; at += heartbeat {
				c.Announce(at, announcement("a", earlier, uint64(at), "ready"))
				c.Announce(at+100, announcement("a", 100, uint64(at), "draining"))
			}
		}, false},
		{"the start that left is not known for certain", func(c *registrar.Core) {
			c.Withdraw(withdrawnAt, "a", 100)
		}, func(c *registrar.Core) { announce(c, 2000, 20_000, earlier, "ready") }, false},
		{"the withdrawal was restored", func(c *registrar.Core) {
			c.Restore(withdrawnAt, []detector.Withdrawal{{Instance: "a", StartedAtMs: 100, Sequence: detector.AllSequences}})
		}, func(c *registrar.Core) { announce(c, 2000, 20_000, earlier, "ready") }, false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board")
			tc.leave(c)
			tc.run(c)
			require.Equal(t, tc.used, c.Accepts(20_000))
		})
	}

	t.Run("other nodes remember both starts that left", func(t *testing.T) {
		c := registrar.New("board")
		withdraw(c)
		announce(c, 2000, 20_000, earlier, "ready")
		c.Withdraw(20_000, "a", earlier)
		require.ElementsMatch(t, []detector.Withdrawal{
			{Instance: "a", StartedAtMs: 100, Sequence: detector.AllSequences},
			{Instance: "a", StartedAtMs: earlier, Sequence: detector.AllSequences},
		}, c.Backend(20_000).Withdrawals)
		require.Len(t, c.Backend(70_000).Withdrawals, 1, "the second one is remembered for as long as any other")
	})
}

// TestSequenceOfAnotherWriter guards against one announcement with a sequence far ahead, after which the server's own would be ignored until it
// starts again.
func TestSequenceOfAnotherWriter(t *testing.T) {
	c := registrar.New("board")
	c.Announce(0, announcement("a", 100, 7, "ready"))
	c.Announce(10, announcement("a", 100, registrar.MaxSequence, "ready"))

	for i := range uint64(4) {
		c.Announce(tiller.Millis(1000+1000*i), announcement("a", 100, 8+i, "ready"))
	}

	require.True(t, c.Accepts(4100), "the server's own announcements count again after the lease of the odd one")

	for _, tc := range []struct {
		name      string
		sequences []uint64
	}{
		{"one late announcement", []uint64{5}},
		{"late announcements out of order", []uint64{5, 4, 3}},
		{"copies of the latest announcement", []uint64{7, 7, 7}},
		{"copies of one announcement", []uint64{5, 5, 5}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := registrar.New("board")
			c.Announce(0, announcement("a", 100, 7, "ready"))

			for i, sequence := range tc.sequences {
				c.Announce(registrar.DefaultLease+tiller.Millis(i), announcement("a", 100, sequence, "ready"))
			}

			require.False(t, c.Accepts(registrar.DefaultLease+10))
		})
	}
}
