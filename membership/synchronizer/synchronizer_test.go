package synchronizer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/detector"
	"gitlab.com/sycamoretiller/sycamoretiller/membership/synchronizer"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

var leaving = detector.Withdrawal{Instance: "i-1", StartedAtMs: 100, Sequence: detector.AllSequences}

func newCore(seed uint64, controllers ...tiller.Address) *synchronizer.Core {
	return synchronizer.New("n1", "n1", controllers, rand.New(rand.NewPCG(seed, 1)))
}

func reply(request *wire.Envelope, voters ...string) *wire.WithdrawalSyncReply {
	return &wire.WithdrawalSyncReply{Nonce: request.GetWithdrawalSync().GetNonce(), Controllers: voters}
}

func recipients(messages []*wire.Envelope) []string {
	var out []string
	for _, m := range messages {
		out = append(out, m.GetTo())
	}

	return out
}

func TestStoredByAMajority(t *testing.T) {
	c := newCore(1, "a", "b", "c")
	require.False(t, c.Recalled())

	messages := c.Tick(1)
	require.Equal(t, []string{"a", "b", "c"}, recipients(messages))
	c.Receive("a", reply(messages[0]))
	require.False(t, c.Recalled())
	c.Receive("b", reply(messages[1]))
	require.True(t, c.Recalled())

	c.Store(10, []detector.Withdrawal{leaving})
	require.False(t, c.Stored())

	messages = c.Tick(10)
	require.Equal(t, []string{"a", "b", "c"}, recipients(messages))
	c.Receive("a", reply(messages[0]))
	c.Receive("a", reply(messages[0]))
	require.False(t, c.Stored(), "one controller that replies twice is no majority")
	c.Receive("c", reply(messages[2]))
	require.True(t, c.Stored())

	require.Empty(t, c.Tick(11))
	require.Equal(t, []string{"b"}, recipients(c.Tick(tiller.Minute)), "the others are asked until they reply")

	c.Store(tiller.Minute, nil)
	require.True(t, c.Stored(), "an expired withdrawal needs no message")
}

func TestRepliesThatConfirmNothing(t *testing.T) {
	other := newCore(2, "a", "b", "c")
	other.Store(5, []detector.Withdrawal{leaving})
	foreign := other.Tick(5)

	c := newCore(1, "a", "b", "c")
	early := c.Tick(1)
	c.Store(10, []detector.Withdrawal{leaving})

	for i, from := range []string{"a", "b", "c"} {
		c.Receive(from, reply(foreign[i]))
	}

	require.False(t, c.Recalled(), "replies to another process")

	messages := c.Tick(10)
	for _, m := range messages {
		c.Receive("x", reply(m))
	}

	require.False(t, c.Recalled(), "replies of a process that is no controller")

	for i, from := range []string{"a", "b", "c"} {
		c.Receive(from, reply(early[i]))
	}

	require.True(t, c.Recalled())
	require.False(t, c.Stored(), "replies to a request without the withdrawal")
}

// TestControllersAreLearned guards against a majority of the few controllers in the settings, which may differ after the next start.
func TestControllersAreLearned(t *testing.T) {
	c := newCore(1, "a", "b", "old")
	messages := c.Tick(1)
	c.Receive("a", reply(messages[0], "a", "b", "c", "d", "e"))
	c.Receive("b", reply(messages[1], "a", "b", "c", "d", "e"))
	require.False(t, c.Recalled())

	messages = c.Tick(2)
	require.Equal(t, []string{"c", "d", "e"}, recipients(messages))
	c.Receive("d", reply(messages[1], "a", "b", "c", "d", "e"))
	require.True(t, c.Recalled())

	c.SetControllers([]tiller.Address{"a"})
	require.Equal(t, []string{"c", "e"}, recipients(c.Tick(tiller.Minute)), "a controller that is neither configured nor listed is forgotten")
}

func TestWithdrawalsAreRecalledOnce(t *testing.T) {
	c := newCore(1, "a")
	r := reply(c.Tick(1)[0])
	r.Withdrawals = detector.ToWire([]detector.Withdrawal{leaving})

	require.Equal(t, []detector.Withdrawal{leaving}, c.Receive("a", r))
	require.Empty(t, c.Receive("a", r))
}
