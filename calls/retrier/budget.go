package retrier

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// BudgetWindow is the length of the sliding window over which retries are compared with calls.
	BudgetWindow = 10 * tiller.Second
	// ReserveRetries is the number of retries that a node may make to a service in a window even without any call. The reserves of the nodes
	// add up: a fleet of n nodes can make 2n retries in a window regardless of the number of calls.
	ReserveRetries = 2

	buckets      = 20
	bucketLength = BudgetWindow / buckets
	percent      = 100
)

// Budget limits the retries to each service to a share of its calls in a sliding window, so that unused retries cannot accumulate and
// be made in a burst when a service fails. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	services map[tiller.Service]*window
}

// window counts the calls and retries of one service in a ring of buckets; bucket is the number of the current one.
type window struct {
	calls   [buckets]int64
	retries [buckets]int64
	bucket  int64
}

// NewBudget returns a budget without any recorded calls.
func NewBudget() *Budget {
	return &Budget{services: map[tiller.Service]*window{}}
}

// RecordCall records a call to a service.
func (b *Budget) RecordCall(now tiller.Millis, s tiller.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, s)
	w.calls[w.bucket%buckets]++
}

// Consume takes one retry to a service from the budget and reports whether one was left. The retries in a window may be share percent of
// the service's calls, plus ReserveRetries.
func (b *Budget) Consume(now tiller.Millis, s tiller.Service, share int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, s)
	if percent*(sum(w.retries)+1-ReserveRetries) > share*sum(w.calls) {
		return false
	}

	w.retries[w.bucket%buckets]++

	return true
}

// window returns the counts of a service after clearing the buckets that have left the window.
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

// Forget removes the services that are no longer known.
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
