package limiter_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/limiter"
)

const (
	rateStart  = "i-1@100"
	rateWindow = 4 * tiller.Second
)

// rateBench offers requests to a limiter whose server states a rate, in virtual time.
type rateBench struct {
	*testBench
	random  *rand.Rand
	starts  []tiller.Millis
	refused []*tiller.CallError
}

func newRateBench() *rateBench {
	b := &rateBench{
		testBench: newTestBench(limiter.Options{Slots: 9, QueueLength: 64, QueueTimeout: 5 * tiller.Second}),
		random:    rand.New(rand.NewPCG(1, 1)),
	}
	b.core.BeginStart(rateStart)

	return b
}

// state delivers an answer that states a rate and reports whether the limit has changed.
func (b *rateBench) state(rate tiller.Rate) bool {
	return b.core.ObserveRate(b.now, limiter.RateStatement{Start: rateStart, SentAt: b.now, Rate: tiller.Some(rate)})
}

// run offers the given number of requests a second, each with a deadline in 1 to 2 s.
func (b *rateBench) run(span tiller.Millis, perSecond float64) {
	for end := b.now + span; b.now < end; {
		if b.random.Float64() < perSecond/float64(tiller.Second) {
			b.request(b.random.IntN(3), tiller.Second+tiller.Millis(b.random.Int64N(1000)), 60)
		}

		b.advance()
	}
}

func (b *rateBench) request(priority int, deadline, takes tiller.Millis) {
	var ticket *limiter.Ticket

	started := false
	begin := func() { b.running = append(b.running, run{ticket: ticket, endsAt: b.now + takes}) }

	ticket = b.core.Acquire(b.now, limiter.NewDemand(priority, b.now+deadline), func(err *tiller.CallError) {
		if err != nil {
			b.refused = append(b.refused, err)

			return
		}

		b.starts = append(b.starts, b.now)

		if started = ticket == nil; !started {
			begin()
		}
	})

	if started {
		begin()
	}
}

// most returns the largest number of starts in a window, and the number since the given time.
func (b *rateBench) most(since tiller.Millis) (inWindow, total int) {
	for i, from := range b.starts {
		if from < since {
			continue
		}

		total++

		n := 0
		for n < len(b.starts)-i && b.starts[i+n] < from+rateWindow {
			n++
		}

		inWindow = max(inWindow, n)
	}

	return inWindow, total
}

func TestServerGetsNoMoreThanTheRateItStates(t *testing.T) {
	const (
		span        = 30 * tiller.Second
		spanSeconds = 30
	)

	for _, rate := range []tiller.Rate{0, 0.01, 0.5, 1, 4, 14.5, 60} {
		t.Run(rate.String(), func(t *testing.T) {
			b := newRateBench()
			b.run(3*tiller.Second, 100)

			since := b.now
			require.True(t, b.state(rate))
			b.run(span, 100)

			perWindow, total := b.most(since)
			require.LessOrEqual(t, float64(perWindow), max(4*float64(rate), 1)+max(float64(rate)/4, 1), "starts in 4 s")
			require.GreaterOrEqual(t, float64(total), 0.95*float64(rate)*spanSeconds-1, "what the server accepts is used")
			require.NotEmpty(t, b.refused)

			for _, err := range b.refused {
				require.Equal(t, tiller.VerdictNotRun, err.Verdict())
				require.True(t, err.Untried())
				require.Positive(t, err.RetryAfter())
			}
		})
	}
}

func TestRateThatIsFarAboveTheLoadHoldsNothingBack(t *testing.T) {
	b := newRateBench()
	require.False(t, b.state(1e300), "no limit, so nothing changes")
	b.run(5*tiller.Second, 100)
	require.Empty(t, b.refused)
	require.Equal(t, tiller.None[tiller.Rate](), b.core.Rate())
}

func TestRateChangesWhileRequestsWait(t *testing.T) {
	b := newRateBench()
	b.state(20)
	b.run(3*tiller.Second, 60)
	require.NotZero(t, b.core.Waiting())

	since := b.now
	require.True(t, b.state(2))
	require.LessOrEqual(t, b.core.Waiting(), 4, "requests that cannot start in time any more are refused at once")
	b.run(8*tiller.Second, 60)

	perWindow, _ := b.most(since)
	require.LessOrEqual(t, perWindow, 9)

	since = b.now
	require.True(t, b.state(40))
	b.run(8*tiller.Second, 60)

	_, total := b.most(since)
	require.Greater(t, total, 300)
}

// TestEndOfARateLimit delivers answers without a rate.
func TestEndOfARateLimit(t *testing.T) {
	limited := tiller.Some[tiller.Rate](5)
	none := tiller.None[tiller.Rate]()

	for _, tc := range []struct {
		name      string
		statement limiter.RateStatement
		rate      tiller.Option[tiller.Rate]
	}{
		{"a later request's answer ends it", limiter.RateStatement{Start: rateStart, SentAt: 2001, Silent: true}, none},
		{"an answer that was overtaken does not", limiter.RateStatement{Start: rateStart, SentAt: 1999, Silent: true}, limited},
		{"a damaged answer does not", limiter.RateStatement{Start: rateStart, SentAt: 2001}, limited},
		{"another start begins without one", limiter.RateStatement{Start: "i-1@200", SentAt: 2001}, none},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core := newRateBench().core
			core.ObserveRate(2000, limiter.RateStatement{Start: rateStart, SentAt: 1500, Rate: limited})
			require.Equal(t, limited, core.Rate())
			require.Equal(t, tc.rate != limited, core.ObserveRate(2100, tc.statement))
			require.Equal(t, tc.rate, core.Rate())
		})
	}
}

// TestRateLearntFromAPeer covers a node that restarts beside a server which has stated a rate.
func TestRateLearntFromAPeer(t *testing.T) {
	core := newRateBench().core
	require.True(t, core.LearnRate(2000, rateStart, 5))
	require.Equal(t, tiller.Some[tiller.Rate](5), core.Rate())
	require.True(t, core.ObserveRate(2100, limiter.RateStatement{Start: rateStart, SentAt: 2050, Silent: true}))
	require.False(t, core.LearnRate(2200, rateStart, 5), "the server's own answer counts more")
	require.Equal(t, tiller.None[tiller.Rate](), core.Rate())

	core.BeginStart("i-1@200")
	require.True(t, core.LearnRate(2300, "i-1@200", 7))
}

func TestNoWaitAttemptIsRefusedBeyondTheRate(t *testing.T) {
	b := newRateBench()
	b.state(5)

	var refused *tiller.CallError

	b.core.Acquire(b.now, limiter.NewDemand(0, b.now+1000).WithoutWait(), func(err *tiller.CallError) { refused = err })
	require.Equal(t, tiller.ReasonNoSlot, refused.Reason())
	require.Equal(t, tiller.Millis(200), b.core.EstimateWait(b.now, limiter.NewDemand(0, b.now+1000)))
}

func TestUrgentRequestsComeFirstWithinTheRate(t *testing.T) {
	b := newRateBench()
	b.state(10)

	var order []int

	for _, priority := range []int{2, 1, 0} {
		b.core.Acquire(b.now, limiter.NewDemand(priority, b.now+1000), func(*tiller.CallError) { order = append(order, priority) })
	}

	for range 3 {
		b.now += 100
		b.core.Tick(b.now)
	}

	require.Equal(t, []int{0, 1, 2}, order)
}

func TestReportedLimitFollowsTheRate(t *testing.T) {
	b := newRateBench()
	b.run(tiller.Second, 50)
	require.Equal(t, 9, b.core.Limit())
	b.state(30)
	require.Equal(t, 2, b.core.Limit(), "30 requests a second of 60 ms each")
}

// TestWaitingRequestIsStartedByATimer has no other event that could start it.
func TestWaitingRequestIsStartedByATimer(t *testing.T) {
	clock := tiller.SteadyClock()
	l := limiter.New(limiter.NewCore(limiter.Options{Slots: 9, QueueLength: 9, QueueTimeout: tiller.Minute}), clock)
	l.WithCore(func(c *limiter.Core) {
		c.ObserveRate(clock.Now(), limiter.RateStatement{Rate: tiller.Some[tiller.Rate](100)})
	})

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	for range 3 {
		_, err := l.Acquire(ctx, limiter.NewDemand(0, clock.Now()+tiller.Minute))
		require.Nil(t, err)
	}
}
