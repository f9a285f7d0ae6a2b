// Package quarantiner counts the backend servers that a request has crashed and refuses the request after a few.
package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// MaxStruck bounds the remembered requests; the oldest are forgotten first.
const MaxStruck = 10_000

const digestBytes = 16

// Digest identifies a request across resends.
type Digest string

// DigestOf returns the digest of a request; a keyed request is known by its key. It leaves out which node took the request, so that one
// sent again through any other is known.
func DigestOf(method, target, key string, body []byte) Digest {
	h := sha256.New()
	if key != "" {
		h.Write([]byte(key))
	} else {
		h.Write([]byte(method + " " + target + "\n"))
		h.Write(body)
	}

	return Digest(h.Sum(nil)[:digestBytes])
}

// String formats the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString([]byte(d)) }

// Struck is a request that was in flight when a backend server died.
type Struck struct {
	digest  Digest
	route   string
	strikes int
	at      tiller.Millis
}

// Digest returns the request's digest.
func (s Struck) Digest() Digest { return s.digest }

// Route returns the route of the request.
func (s Struck) Route() string { return s.route }

// Strikes returns the number of crashes.
func (s Struck) Strikes() int { return s.strikes }

// Register counts strikes; it is safe for concurrent use.
type Register struct {
	mu     sync.Mutex
	struck map[Digest]Struck
	order  []Digest
}

// New returns an empty register.
func New() *Register {
	return &Register{struck: map[Digest]Struck{}}
}

// Strike adds crashes of a request and returns their sum.
func (r *Register) Strike(now tiller.Millis, d Digest, route string, strikes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	s, known := r.struck[d]
	if !known {
		r.order = append(r.order, d)
	}

	s = Struck{digest: d, route: route, strikes: s.strikes + strikes, at: now}
	r.struck[d] = s

	for len(r.order) > MaxStruck {
		delete(r.struck, r.order[0])
		r.order = r.order[1:]
	}

	return s.strikes
}

// Raise takes over a higher sum of strikes that another node knows.
func (r *Register) Raise(now tiller.Millis, d Digest, route string, total int) {
	if missing := total - r.Count(d); missing > 0 {
		r.Strike(now, d, route, missing)
	}
}

// Count returns the strikes of a request.
func (r *Register) Count(d Digest) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.struck[d].strikes
}

// Refuses reports whether a request has reached the limit of strikes within the given span.
func (r *Register) Refuses(now tiller.Millis, d Digest, limit int, span tiller.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	s, ok := r.struck[d]
	if !ok {
		return false
	}

	if now >= s.at+span {
		r.remove(d)

		return false
	}

	return s.strikes >= limit
}

// Lift forgets a request's strikes and reports whether it had any.
func (r *Register) Lift(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, ok := r.struck[d]
	if ok {
		r.remove(d)
	}

	return ok
}

func (r *Register) remove(d Digest) {
	delete(r.struck, d)

	r.order = slices.DeleteFunc(r.order, func(o Digest) bool { return o == d })
}

// List returns the struck requests, oldest first.
func (r *Register) List() []Struck {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := make([]Struck, 0, len(r.order))
	for _, d := range r.order {
		out = append(out, r.struck[d])
	}

	return out
}

// Has reports whether a request has any strikes.
func (r *Register) Has(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, ok := r.struck[d]

	return ok
}
