package limiter_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
)

// testBench drives a limiter in virtual time against a simulated backend server.
type testBench struct {
	core    *limiter.Core
	now     tiller.Millis
	running []run
	granted map[tiller.Class]int
	refused map[tiller.Reason]int
}

type run struct {
	ticket  *limiter.Ticket
	endsAt  tiller.Millis
	outcome limiter.Outcome
}

func newTestBench(o limiter.Options) *testBench {
	return &testBench{core: limiter.NewCore(o), now: 1000, granted: map[tiller.Class]int{}, refused: map[tiller.Reason]int{}}
}

// offer sends a request that takes the given time once it has a slot.
func (b *testBench) offer(class tiller.Class, deadline, takes tiller.Millis) {
	b.offerTo(class, deadline, func(int) (limiter.Outcome, tiller.Millis) { return limiter.OutcomeServed, takes })
}

// offerTo sends a request whose outcome and latency the server chooses by the number of requests that it is running.
func (b *testBench) offerTo(class tiller.Class, deadline tiller.Millis, serve func(running int) (limiter.Outcome, tiller.Millis)) {
	var ticket *limiter.Ticket

	begin := func() {
		outcome, takes := serve(len(b.running))
		b.running = append(b.running, run{ticket: ticket, endsAt: b.now + takes, outcome: outcome})
	}
	started := false

	ticket = b.core.Acquire(b.now, limiter.NewDemand(int(class), b.now+deadline), func(err *tiller.CallError) {
		if err != nil {
			b.refused[err.Reason()]++

			return
		}

		b.granted[class]++

		// If a slot is free, the callback runs before Acquire returns the ticket.
		if started = ticket == nil; !started {
			begin()
		}
	})

	if started {
		begin()
	}
}

func (b *testBench) advance() {
	b.now++

	running := b.running
	b.running = nil

	for _, r := range running {
		if r.endsAt > b.now {
			b.running = append(b.running, r)
		}
	}

	for _, r := range running {
		if r.endsAt <= b.now {
			b.core.Release(b.now, r.ticket, r.outcome)
		}
	}

	b.core.Tick(b.now)
}

func TestGoodputUnderOverload(t *testing.T) {
	const (
		slots   = 10
		takes   = tiller.Millis(10)
		seconds = 5
	)

	// One request per millisecond is exactly the capacity.
	served := func(perMillis int) map[tiller.Class]int {
		b := newTestBench(limiter.Options{Slots: slots, QueueLength: 40, QueueTimeout: 500})
		for range seconds * 1000 {
			for i := range perMillis {
				class := tiller.ClassInteractive
				if i > 0 {
					class = tiller.ClassBackground
				}

				b.offer(class, 100, takes)
			}

			b.advance()
		}

		return b.granted
	}

	one, three := served(1), served(3)
	sum := func(m map[tiller.Class]int) int { return m[tiller.ClassInteractive] + m[tiller.ClassBackground] }
	require.GreaterOrEqual(t, float64(sum(three)), 0.9*float64(sum(one)))
	require.GreaterOrEqual(t, three[tiller.ClassInteractive], 95*one[tiller.ClassInteractive]/100, "background calls yield to interactive ones")
}

func TestRefusals(t *testing.T) {
	o := limiter.Options{Slots: 1, QueueLength: 2, QueueTimeout: 50}
	cases := []struct {
		name   string
		run    func(b *testBench)
		reason tiller.Reason
		count  int
	}{
		{"full queue refuses the newest request of the lowest class", func(b *testBench) {
			for range 3 {
				b.offer(tiller.ClassBackground, 1000, 100)
			}

			b.offer(tiller.ClassInteractive, 1000, 100)
		}, tiller.ReasonOverload, 1},
		{"wait longer than the queue timeout", func(b *testBench) {
			b.offer(tiller.ClassInteractive, 1000, 500)
			b.offer(tiller.ClassInteractive, 1000, 500)

			for range 60 {
				b.advance()
			}
		}, tiller.ReasonDeadline, 1},
		{"deadline passes in the queue", func(b *testBench) {
			b.offer(tiller.ClassInteractive, 1000, 500)
			b.offer(tiller.ClassInteractive, 10, 500)

			for range 20 {
				b.advance()
			}
		}, tiller.ReasonDeadline, 1},
		{"no slots", func(b *testBench) {
			b.core.Configure(limiter.Options{})
			b.offer(tiller.ClassInteractive, 1000, 1)
		}, tiller.ReasonNoBackend, 1},
		{"leaving worker refuses all waiting requests", func(b *testBench) {
			for range 3 {
				b.offer(tiller.ClassInteractive, 1000, 100)
			}

			b.core.RefuseAll(b.now, tiller.ReasonDraining, "leaving")
		}, tiller.ReasonDraining, 2},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(o)
			tc.run(b)
			require.Equal(t, tc.count, b.refused[tc.reason], b.refused)
		})
	}
}

// TestLimitFollowsAServerThatOverstatesItsSlots guards against a limit above the real capacity of a server that declares more slots
// than it has and sheds the requests beyond its capacity.
func TestLimitFollowsAServerThatOverstatesItsSlots(t *testing.T) {
	const realCapacity = 8

	b := newTestBench(limiter.Options{Slots: 20, QueueLength: 40, QueueTimeout: 1000})

	load := func(steps, capacity int) {
		serve := func(running int) (limiter.Outcome, tiller.Millis) {
			if running >= capacity {
				return limiter.OutcomeShed, 1
			}

			return limiter.OutcomeServed, 10
		}

		for range steps {
			b.offerTo(tiller.ClassInteractive, 1000, serve)
			b.offerTo(tiller.ClassInteractive, 1000, serve)
			b.advance()
		}
	}

	load(200, realCapacity)
	require.InDelta(t, realCapacity, b.core.Limit(), 2)

	load(2000, 100)
	require.Equal(t, 20, b.core.Limit(), "the limit recovers with the server")
}

// TestLimitStaysWhereAServerShedsAtRandom guards against a lowered limit where it does not help: the server sheds every second request
// at any concurrency.
func TestLimitStaysWhereAServerShedsAtRandom(t *testing.T) {
	b := newTestBench(limiter.Options{Slots: 9, QueueLength: 40, QueueTimeout: 1000})

	count := 0
	serve := func(int) (limiter.Outcome, tiller.Millis) {
		if count++; count%2 == 0 {
			return limiter.OutcomeShed, 1
		}

		return limiter.OutcomeServed, 20
	}

	const steps = 20_000

	below := 0

	for range steps {
		b.offerTo(tiller.ClassInteractive, 1000, serve)
		b.advance()

		if b.core.Limit() < 9 {
			below++
		}
	}

	require.Less(t, below, steps/20, "lower concurrency would not help")
}

func TestAcquireWithCancelledContext(t *testing.T) {
	clock := tiller.ClockFunc(func() tiller.Millis { return 1000 })
	l := limiter.New(limiter.NewCore(limiter.Options{Slots: 1, QueueLength: 5, QueueTimeout: 1000}), clock)

	slot, err := l.Acquire(context.Background(), limiter.NewDemand(int(tiller.ClassInteractive), 2000))
	require.Nil(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	_, err = l.Acquire(ctx, limiter.NewDemand(int(tiller.ClassInteractive), 2000))
	require.Equal(t, tiller.VerdictNotRun, err.Verdict())

	slot.Release(limiter.OutcomeServed)

	load, limit, _ := l.Load()
	require.Zero(t, load)
	require.Equal(t, 1, limit)
}

// TestBurstBeforeAnyLatencyIsKnown guards against queueing more requests than can be answered in time when a burst arrives before any
// request has ended, so that no latency is known yet.
func TestBurstBeforeAnyLatencyIsKnown(t *testing.T) {
	core := limiter.NewCore(limiter.Options{Slots: 4, QueueLength: 100, QueueTimeout: 5000})
	refused := 0

	for range 60 {
		d := limiter.NewDemand(2, 2200).WithSoftDeadline(1500).WithKind("browse")
		core.Acquire(1000, d, func(err *tiller.CallError) {
			if err != nil {
				refused++

				require.True(t, err.Untried())
			}
		})
	}

	require.Equal(t, 4, core.InFlight())
	require.Less(t, core.Waiting(), 12, "about two more batches fit into the latency target and the tolerated lateness")
	require.Equal(t, 60-4-core.Waiting(), refused, "the others are refused immediately")
}

// TestQueuePrefersRequestsThatMeetTheirSoftDeadline guards against slots spent on late requests: it mixes requests past their soft
// deadline with fresh ones.
func TestQueuePrefersRequestsThatMeetTheirSoftDeadline(t *testing.T) {
	core := limiter.NewCore(limiter.Options{Slots: 1, QueueLength: 100, QueueTimeout: 5000})

	var order []string

	offer := func(name string, priority int, softDeadline tiller.Millis) *limiter.Ticket {
		d := limiter.NewDemand(priority, 9000).WithSoftDeadline(softDeadline).WithKind("browse")

		return core.Acquire(1000, d, func(err *tiller.CallError) {
			require.Nil(t, err)

			order = append(order, name)
		})
	}

	running := offer("first", 2, 1500)
	core.Release(1010, running, limiter.OutcomeServed)

	running = offer("second", 2, 1500)
	tickets := []*limiter.Ticket{offer("late", 2, 900), offer("fresh", 2, 1900), offer("sooner", 2, 1600), offer("urgent", 1, 1900)}
	core.Release(1020, running, limiter.OutcomeServed)

	for i, next := range []int{3, 2, 1} {
		core.Release(1030+tiller.Millis(i), tickets[next], limiter.OutcomeServed)
	}

	require.Equal(t, []string{"first", "second", "urgent", "sooner", "fresh", "late"}, order)
}

func TestConnectionsBoundTheLimit(t *testing.T) {
	for _, tc := range []struct {
		name                     string
		slots, connections, want int
	}{
		{"no limit", 9, 0, 9},
		{"fewer connections than slots", 9, 4, 4},
		{"more connections than slots", 9, 130, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBench(limiter.Options{Slots: tc.slots, Connections: tc.connections, QueueLength: 32, QueueTimeout: tiller.Second})
			for range 20 {
				b.offer(tiller.ClassInteractive, 10*tiller.Second, 50)
			}

			require.Equal(t, tc.want, b.core.InFlight())
			require.Equal(t, tc.want, b.core.Limit())
		})
	}
}
