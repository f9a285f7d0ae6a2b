// Package quarantiner counts how many backend servers a request has crashed and quarantines the request after a few, so that resends of
// a crashing request do not bring down one backend server after another.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// MaxCrashRecords bounds the number of crash records; the oldest are evicted first.
const MaxCrashRecords = 10_000

const digestBytes = 16

// Digest identifies a request across retries and resends.
type Digest string

// DigestOf returns the digest of a request. A request with an idempotency key is identified by the key alone, any other by its method,
// target, body and caller. The caller is empty if the same request of another caller counts as a resend. The digest does not depend on the node
// that received the request, so that a resend through another node is recognised.
func DigestOf(method, target, key, caller string, body []byte) Digest {
	h := sha256.New()
	if key != "" {
		h.Write([]byte(key))
	} else {
		h.Write([]byte(method + " " + target + "\n"))
		h.Write(body)

		if caller != "" {
			h.Write([]byte("\n" + caller + "\n" + strconv.Itoa(len(body))))
		}
	}

	return Digest(h.Sum(nil)[:digestBytes])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString([]byte(d)) }

// CrashRecord counts the crashes of backend servers while a request was in flight.
type CrashRecord struct {
	digest  Digest
	route   string
	strikes int
	at      tiller.Millis
}

// Digest returns the request's digest.
func (c CrashRecord) Digest() Digest { return c.digest }

// Route returns the route of the request.
func (c CrashRecord) Route() string { return c.route }

// At returns the time of the last crash.
func (c CrashRecord) At() tiller.Millis { return c.at }

// Strikes returns the number of crashes counted for the request.
func (c CrashRecord) Strikes() int { return c.strikes }

// Registry holds the crash records that a node knows. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	records map[Digest]CrashRecord
	order   []Digest
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[Digest]CrashRecord{}}
}

// AddStrikes adds a number of strikes to a request and returns the new total.
func (r *Registry) AddStrikes(now tiller.Millis, d Digest, route string, strikes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.add(now, d, route, strikes)
}

// RaiseStrikes raises the strikes of a request to a total reported by another node, the last of them at the given time; a lower total has no
// effect.
func (r *Registry) RaiseStrikes(at tiller.Millis, d Digest, route string, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if missing := total - r.records[d].strikes; missing > 0 {
		r.add(at, d, route, missing)
	}
}

// add adds strikes to a request and returns the new total. The lock is held.
func (r *Registry) add(now tiller.Millis, d Digest, route string, strikes int) int {
	record, known := r.records[d]
	if !known {
		r.order = append(r.order, d)
	}

	record = CrashRecord{digest: d, route: route, strikes: record.strikes + strikes, at: max(record.at, now)}
	r.records[d] = record

	for len(r.order) > MaxCrashRecords {
		delete(r.records, r.order[0])
		r.order = r.order[1:]
	}

	return record.strikes
}

// Strikes returns the number of strikes of a request.
func (r *Registry) Strikes(d Digest) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.records[d].strikes
}

// Quarantined reports whether a request has reached the limit of strikes. A record whose last strike is older than the span is deleted.
func (r *Registry) Quarantined(now tiller.Millis, d Digest, limit int, span tiller.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	record, ok := r.records[d]
	if !ok {
		return false
	}

	if now >= record.at+span {
		r.remove(d)

		return false
	}

	return record.strikes >= limit
}

// Clear deletes the crash record of a request and reports whether there was one.
func (r *Registry) Clear(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, ok := r.records[d]
	if ok {
		r.remove(d)
	}

	return ok
}

func (r *Registry) remove(d Digest) {
	delete(r.records, d)

	r.order = slices.DeleteFunc(r.order, func(o Digest) bool { return o == d })
}

// List returns the crash records, oldest first.
func (r *Registry) List() []CrashRecord {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := make([]CrashRecord, 0, len(r.order))
	for _, d := range r.order {
		out = append(out, r.records[d])
	}

	return out
}

// Has reports whether a request has a crash record.
func (r *Registry) Has(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, ok := r.records[d]

	return ok
}
