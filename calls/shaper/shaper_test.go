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

// rate is a link of 1.9 Mbit/s in bytes a second.
const rate = 237_500

// link plays a core in virtual time.
type link struct {
	core *shaper.Core
	now  tiller.Millis
	next tiller.Millis
	// granted holds the writes in the order of their grants.
	granted []*shaper.Write
}

func newLink() *link { return &link{core: shaper.New(rate), now: 1, next: -1} }

func (l *link) submit(bytes int) *shaper.Write {
	w := l.core.Submit(l.now, bytes)
	if w.Granted() {
		l.granted = append(l.granted, w)
	}

	l.arm()

	return w
}

func (l *link) arm() {
	if next, ok := l.core.Next(l.now).Get(); ok && l.next < l.now {
		l.next = l.now + next
	}
}

func (l *link) run(span tiller.Millis) {
	for end := l.now + span; l.now < end; l.now++ {
		if l.now == l.next {
			l.granted = append(l.granted, l.core.Release(l.now)...)
			l.next = -1
			l.arm()
		}
	}
}

func TestCoreGrantsNoMoreThanTheLinkCarries(t *testing.T) {
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

	carried := float64(l.now-start) * rate / 1000

	require.LessOrEqual(t, float64(granted), carried+8<<10, "no queue of more than a few packets forms in front of the link")
	require.GreaterOrEqual(t, float64(granted), 0.97*carried, "the link does not run dry while writes wait")
}

func TestCoreLetsSmallWritesPassLargeOnesWithoutStarvingThem(t *testing.T) {
	l := newLink()
	for range 50 {
		l.submit(4096)
	}

	small := l.submit(300)
	l.run(40)
	require.True(t, small.Granted(), "a small write passes large ones that came with it")

	large := l.submit(4096)

	for range 4000 {
		l.submit(240)
		l.run(1)
	}

	require.True(t, large.Granted(), "small writes that fill the link do not keep a large one from it")
}

func TestCoreLeavesRoomForMessagesThatDoNotAsk(t *testing.T) {
	l := newLink()
	start, granted := l.now, 0

	for range 1000 {
		l.core.Note(l.now, 100)
		l.submit(1000)
		l.run(4)
	}

	for range l.granted {
		granted += 1000
	}

	require.LessOrEqual(t, float64(granted+1000*100), float64(l.now-start)*rate/1000+8<<10)
}

func TestWithdrawnWriteTakesNothingFromTheLink(t *testing.T) {
	l := newLink()
	for range 10 {
		l.submit(4096)
	}

	w := l.submit(4096)
	before := l.core.Wait(l.now)

	require.True(t, l.core.Withdraw(w))
	require.False(t, l.core.Withdraw(w))
	require.Less(t, l.core.Wait(l.now), before)
	l.run(1000)
	require.False(t, w.Granted())
}

func TestWriterStopsWaitingWhenItsContextEnds(t *testing.T) {
	// A clock that stands still leaves the link busy for good.
	s := shaper.NewShaper(rate, tiller.ClockFunc(func() tiller.Millis { return 1 }))
	s.Note(1 << 20)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	var out bytes.Buffer

	n, err := s.Writer(ctx, &out).Write([]byte("late"))
	require.ErrorIs(t, err, context.Canceled)
	require.Zero(t, n)
	require.Zero(t, out.Len())
}

func TestWriterWritesEverythingInOrder(t *testing.T) {
	s := shaper.NewShaper(10<<20, tiller.SteadyClock())
	data := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)

	var out bytes.Buffer

	n, err := s.Writer(context.Background(), &out).Write(data)
	require.NoError(t, err)
	require.Equal(t, len(data), n)
	require.Equal(t, data, out.Bytes())
}

func TestNoRateMeansNoWaiting(t *testing.T) {
	s := shaper.NewShaper(0, tiller.SteadyClock())
	s.Note(1 << 30)
	require.Zero(t, s.Wait())

	var out bytes.Buffer

	require.Same(t, &out, s.Writer(context.Background(), &out))
}
