package shaper_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/shaper"
)

// rate is the rate of the link in bytes per second (1.9 Mbit/s).
const rate = 237_500

// link runs a scheduler in virtual time.
type link struct {
	scheduler *shaper.Scheduler
	now       tiller.Millis
	next      tiller.Millis
	// granted holds the granted writes in order.
	granted []*shaper.Write
}

func newLink() *link { return &link{scheduler: shaper.NewScheduler(rate), now: 1, next: -1} }

func (l *link) submit(bytes int) *shaper.Write {
	w := l.scheduler.Submit(l.now, bytes)
	if w.Granted() {
		l.granted = append(l.granted, w)
	}

	l.setNext()

	return w
}

func (l *link) setNext() {
	if next, ok := l.scheduler.NextRelease(l.now).Get(); ok && l.next < l.now {
		l.next = l.now + next
	}
}

func (l *link) run(span tiller.Millis) {
	for end := l.now + span; l.now < end; l.now++ {
		if l.now == l.next {
			l.granted = append(l.granted, l.scheduler.Release(l.now)...)
			l.next = -1
			l.setNext()
		}
	}
}

func TestGrantsMatchTheRateOfTheLink(t *testing.T) {
	l := newLink()
	random := rand.New(rand.NewPCG(1, 1))
	sizes := map[*shaper.Write]int{}
	start := l.now

	for range 2000 {
		size := 200 + random.IntN(4000)
		sizes[l.submit(size)] = size
		l.run(tiller.Millis(random.IntN(10)))
	}

	granted := 0
	for _, w := range l.granted {
		granted += sizes[w]
	}

	capacity := float64(l.now-start) * rate / 1000

	require.LessOrEqual(t, float64(granted), capacity+8<<10, "at most a few packets queue at the link")
	require.GreaterOrEqual(t, float64(granted), 0.97*capacity, "the link is not idle while writes are queued")
}

func TestSmallWritesPassLargeOnesWithoutStarvation(t *testing.T) {
	l := newLink()
	for range 50 {
		l.submit(4096)
	}

	small := l.submit(300)
	l.run(40)
	require.True(t, small.Granted(), "a small write passes large ones submitted at the same time")

	large := l.submit(4096)

	for range 4000 {
		l.submit(240)
		l.run(1)
	}

	require.True(t, large.Granted(), "small writes that saturate the link do not starve a large one")
}

// TestPartsOfAMessageStayTogether sends several answers at the same time, each in packets of which the next is submitted once the one before
// is granted. If their packets alternated, all answers would end when the last one does.
func TestPartsOfAMessageStayTogether(t *testing.T) {
	const (
		messages = 10
		parts    = 4
		packet   = 1400
		answer   = parts * packet
	)

	l := newLink()
	ranks := make([]shaper.Rank, messages)
	current := make([]*shaper.Write, messages)
	sent := make([]int, messages)
	endedAt := make([]tiller.Millis, messages)

	for i := range messages {
		ranks[i] = l.scheduler.Rank(l.now, answer)
		current[i] = l.scheduler.SubmitPart(l.now, packet, ranks[i])
		l.setNext()
	}

	for left := messages; left > 0; l.run(1) {
		for i := range messages {
			if sent[i] == parts || !current[i].Granted() {
				continue
			}

			if sent[i]++; sent[i] == parts {
				endedAt[i] = l.now
				left--

				continue
			}

			current[i] = l.scheduler.SubmitPart(l.now, packet, ranks[i])
			l.setNext()
		}
	}

	all := tiller.Millis(messages * answer * 1000 / rate)

	var mean tiller.Millis
	for _, at := range endedAt {
		mean += at / messages
	}

	require.Less(t, mean, all*2/3, "one answer after the other ends after %d ms in the mean, all together after %d ms", all/2, all)
}

func TestDirectlyWrittenBytesReduceGrants(t *testing.T) {
	l := newLink()
	start, granted := l.now, 0

	for range 1000 {
		l.scheduler.RecordSent(l.now, 100)
		l.submit(1000)
		l.run(4)
	}

	for range l.granted {
		granted += 1000
	}

	require.LessOrEqual(t, float64(granted+1000*100), float64(l.now-start)*rate/1000+8<<10)
}

func TestCancelledWriteIsNotGranted(t *testing.T) {
	l := newLink()
	for range 10 {
		l.submit(4096)
	}

	w := l.submit(4096)
	before := l.scheduler.QueueDelay(l.now)

	require.True(t, l.scheduler.Cancel(w))
	require.False(t, l.scheduler.Cancel(w))
	require.Less(t, l.scheduler.QueueDelay(l.now), before)
	l.run(1000)
	require.False(t, w.Granted())
}

func TestWriterReturnsWhenItsContextEnds(t *testing.T) {
	// With a stopped clock the link never becomes free.
	s := shaper.New(rate, tiller.ClockFunc(func() tiller.Millis { return 1 }))
	s.RecordSent(1 << 20)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	var out bytes.Buffer

	n, err := s.Writer(ctx, &out).Write([]byte("late"))
	require.ErrorIs(t, err, context.Canceled)
	require.Zero(t, n)
	require.Zero(t, out.Len())
}

func TestWriterWritesEverythingInOrder(t *testing.T) {
	s := shaper.New(10<<20, tiller.SteadyClock())
	data := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)

	var out bytes.Buffer

	n, err := s.Writer(context.Background(), &out).Write(data)
	require.NoError(t, err)
	require.Equal(t, len(data), n)
	require.Equal(t, data, out.Bytes())
}

func TestZeroRateDisablesShaping(t *testing.T) {
	s := shaper.New(0, tiller.SteadyClock())
	s.RecordSent(1 << 30)
	require.Zero(t, s.QueueDelay())

	var out bytes.Buffer

	require.Same(t, &out, s.Writer(context.Background(), &out))
}
