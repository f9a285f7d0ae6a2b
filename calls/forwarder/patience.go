package forwarder

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// patienceMemory is how long the longest deadline of a route is remembered; callers may become less patient.
	patienceMemory = 30 * tiller.Second
	maxPatient     = 1024
)

// patience remembers the longest deadline that callers of each route state.
type patience struct {
	mu     sync.Mutex
	routes map[string]patient
}

type patient struct {
	longest tiller.Millis
	seenAt  tiller.Millis
}

func newPatience() *patience { return &patience{routes: map[string]patient{}} }

// longest returns the longest deadline seen on a route, this one included.
func (p *patience) longest(now tiller.Millis, route string, left tiller.Millis) tiller.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()

	known, ok := p.routes[route]
	if !ok || left >= known.longest || now >= known.seenAt+patienceMemory {
		if !ok && len(p.routes) >= maxPatient {
			clear(p.routes)
		}

		known = patient{longest: left, seenAt: now}
		p.routes[route] = known
	}

	return known.longest
}
