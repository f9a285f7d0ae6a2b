// Package standin holds models of what surrounds the system: backend servers that announce themselves and misbehave on
// demand, and callers that check every promise from outside.
package standin

import (
	"fmt"
	"maps"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Ledger counts what really ran on the backend servers.
type Ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	received map[tiller.Worker]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, received: map[tiller.Worker]int{}}
}

// Ran notes that a server started to run a request, which may be known by several ids.
func (l *Ledger) Ran(w tiller.Worker, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.received[w]++

	for _, id := range ids {
		l.runs[id]++
	}
}

// Received returns how many requests a worker started to run.
func (l *Ledger) Received(w tiller.Worker) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.received[w]
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.runs[id]
}

// Tally counts what callers saw and which promises were broken. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	ledger   *Ledger
	served   map[string]int
	refused  map[string]int
	notRun   []string
	keys     tiller.Set[string]
	answered tiller.Set[string]
	broken   []string
}

// NewTally returns an empty tally.
func NewTally(l *Ledger) *Tally {
	return &Tally{
		ledger: l, served: map[string]int{}, refused: map[string]int{}, keys: tiller.NewSet[string](),
		answered: tiller.NewSet[string](),
	}
}

const maxBrokenKept = 20

func (t *Tally) breach(format string, args ...any) {
	if len(t.broken) < maxBrokenKept {
		t.broken = append(t.broken, fmt.Sprintf(format, args...))
	}
}

// Breach notes a broken promise.
func (t *Tally) Breach(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.breach(format, args...)
}

func (t *Tally) serve(route, id, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.served[route]++

	if key != "" {
		t.answered.Add(key)
	} else if t.ledger.Runs(id) == 0 {
		t.breach("answer to %s although it never ran", id)
	}
}

func (t *Tally) refuse(reason, verdict, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.refused[reason]++

	if verdict == tiller.VerdictNotRun.String() {
		t.notRun = append(t.notRun, id)
	}
}

func (t *Tally) addKey(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.keys.Add(key)
}

// Check compares what callers were told with what really ran and returns every broken promise.
func (t *Tally) Check() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, key := range t.keys.Sorted() {
		runs := t.ledger.Runs(key)
		if runs > 1 {
			t.breach("key %s ran %d times", key, runs)
		}

		if t.answered.Has(key) && runs != 1 {
			t.breach("key %s was answered but ran %d times", key, runs)
		}
	}

	for _, id := range t.notRun {
		if runs := t.ledger.Runs(id); runs > 0 {
			t.breach("%s was refused as not run but ran %d times", id, runs)
		}
	}

	return t.broken
}

// Served returns the answered calls by route.
func (t *Tally) Served() map[string]int { return copyOf(t, t.served) }

// Refused returns the refused calls by reason.
func (t *Tally) Refused() map[string]int { return copyOf(t, t.refused) }

// Keys returns the number of keyed requests and how many of them were answered.
func (t *Tally) Keys() (sent, answered int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.keys.Len(), t.answered.Len()
}

func copyOf(t *Tally, m map[string]int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(m)
}
