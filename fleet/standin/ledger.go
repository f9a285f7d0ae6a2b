// Package standin simulates the surroundings of the system: backend servers that announce themselves and fail on demand, and callers that
// check the guarantees of the system from outside.
package standin

import (
	"fmt"
	"maps"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// RunLog records which requests ran on the backend servers. It is safe for concurrent use.
type RunLog struct {
	mu       sync.Mutex
	runs     map[string]int
	received map[tiller.Worker]int
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog {
	return &RunLog{runs: map[string]int{}, received: map[tiller.Worker]int{}}
}

// RecordRun records that a worker started to run a request, which may have several ids.
func (l *RunLog) RecordRun(w tiller.Worker, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.received[w]++

	for _, id := range ids {
		l.runs[id]++
	}
}

// Received returns how many requests a worker has started to run.
func (l *RunLog) Received(w tiller.Worker) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.received[w]
}

// Runs returns how often the request with the given id has started to run.
func (l *RunLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.runs[id]
}

// Tally counts the outcomes that callers saw and collects violations of the system's guarantees. It is safe for concurrent use.
type Tally struct {
	mu         sync.Mutex
	runLog     *RunLog
	served     map[string]int
	refused    map[string]int
	notRun     []string
	keys       tiller.Set[string]
	answered   tiller.Set[string]
	violations []string
}

// NewTally returns an empty tally that compares outcomes with the given run log.
func NewTally(l *RunLog) *Tally {
	return &Tally{
		runLog: l, served: map[string]int{}, refused: map[string]int{}, keys: tiller.NewSet[string](),
		answered: tiller.NewSet[string](),
	}
}

// maxViolations is how many violations a tally keeps; later ones are discarded.
const maxViolations = 20

// addViolation records a violation. The caller must hold the mutex.
func (t *Tally) addViolation(format string, args ...any) {
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, fmt.Sprintf(format, args...))
	}
}

// AddViolation records a violation of a guarantee.
func (t *Tally) AddViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.addViolation(format, args...)
}

func (t *Tally) recordServed(route, id, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.served[route]++

	if key != "" {
		t.answered.Add(key)
	} else if t.runLog.Runs(id) == 0 {
		t.addViolation("answer to %s although it never ran", id)
	}
}

func (t *Tally) recordRefused(reason, verdict, id string) {
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

// Check compares the outcomes that callers saw with the requests that ran, and returns all recorded violations.
func (t *Tally) Check() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, key := range t.keys.Sorted() {
		runs := t.runLog.Runs(key)
		if runs > 1 {
			t.addViolation("key %s ran %d times", key, runs)
		}

		if t.answered.Has(key) && runs != 1 {
			t.addViolation("key %s was answered but ran %d times", key, runs)
		}
	}

	for _, id := range t.notRun {
		if runs := t.runLog.Runs(id); runs > 0 {
			t.addViolation("%s was refused as not run but ran %d times", id, runs)
		}
	}

	return t.violations
}

// Served returns the number of served calls by the name of their call kind.
func (t *Tally) Served() map[string]int { return cloneCounts(t, t.served) }

// Refused returns the number of failed and refused calls by reason.
func (t *Tally) Refused() map[string]int { return cloneCounts(t, t.refused) }

// Keys returns the number of keyed requests and how many of them were answered at least once.
func (t *Tally) Keys() (sent, answered int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.keys.Len(), t.answered.Len()
}

func cloneCounts(t *Tally, m map[string]int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(m)
}
