package retrier

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// Window is the span over which retries are compared with calls.
	Window = 10 * tiller.Second
	// Reserve is how many retries a node may make to a service in a window without any call. The nodes' reserves add up, so
	// that a fleet of n nodes retries 2 n times at most where nothing else allows it.
	Reserve = 2

	buckets      = 20
	bucketLength = Window / buckets
	percent      = 100
)

// Budget bounds the retries to each service by its calls in a sliding window, so that retries not made in calm times cannot
// all come at once when a service fails. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	services map[tiller.Service]*window
}

// window counts what happened in the buckets of the last span.
type window struct {
	calls   [buckets]int64
	retries [buckets]int64
	bucket  int64
}

// NewBudget returns a budget that has seen no calls.
func NewBudget() *Budget {
	return &Budget{services: map[tiller.Service]*window{}}
}

// Note counts a call to a service.
func (b *Budget) Note(now tiller.Millis, s tiller.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, s)
	w.calls[w.bucket%buckets]++
}

// Spend takes one retry to a service and reports whether the share of its calls, in percent, allows it.
func (b *Budget) Spend(now tiller.Millis, s tiller.Service, share int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, s)
	if percent*(sum(w.retries)+1-Reserve) > share*sum(w.calls) {
		return false
	}

	w.retries[w.bucket%buckets]++

	return true
}

// window returns the counts of a service with the buckets cleared that have left the span.
func (b *Budget) window(now tiller.Millis, s tiller.Service) *window {
	w := b.services[s]
	if w == nil {
		w = &window{}
		b.services[s] = w
	}

	current := int64(now / bucketLength)
	for w.bucket = max(w.bucket, current-buckets); w.bucket < current; {
		w.bucket++
		w.calls[w.bucket%buckets] = 0
		w.retries[w.bucket%buckets] = 0
	}

	return w
}

// Forget drops the services that are no longer known.
func (b *Budget) Forget(known tiller.Set[tiller.Service]) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for s := range b.services {
		if !known.Has(s) {
			delete(b.services, s)
		}
	}
}

func sum(counts [buckets]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}

	return total
}
