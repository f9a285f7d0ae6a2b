package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Splitter distributes the calls of each route over its services by smooth weighted round robin, so that the shares are accurate
// within a few dozen calls. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*split
}

// split is the state of the round robin of one route.
type split struct {
	targets []tiller.Target
	credit  []int64
}

// NewSplitter returns a splitter. The random source varies the position in the cycle at which a node begins, so that nodes that start
// together do not all choose the same service.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, routes: map[string]*split{}}
}

// Pick returns the service for the next call of a route.
func (s *Splitter) Pick(r tiller.Route) tiller.Service {
	targets := r.Targets()
	if len(targets) == 1 {
		return targets[0].Service()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	current := s.routes[r.Name()]
	if current == nil || !slices.Equal(current.targets, targets) {
		current = s.newSplit(targets)
		s.routes[r.Name()] = current
	}

	return current.next()
}

func (s *Splitter) newSplit(targets []tiller.Target) *split {
	started := &split{targets: targets, credit: make([]int64, len(targets))}
	for range s.random.Int64N(totalWeight(targets)) % maxRandomStart {
		started.next()
	}

	return started
}

// maxRandomStart bounds the number of steps by which the cycle of a route is advanced at its start.
const maxRandomStart = 100

// Forget removes the routes that the configuration no longer contains.
func (s *Splitter) Forget(known tiller.Set[string]) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for name := range s.routes {
		if !known.Has(name) {
			delete(s.routes, name)
		}
	}
}

func (s *split) next() tiller.Service {
	best := 0

	for i, t := range s.targets {
		s.credit[i] += t.Weight()
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}

	s.credit[best] -= totalWeight(s.targets)

	return s.targets[best].Service()
}

func totalWeight(targets []tiller.Target) int64 {
	total := int64(0)
	for _, t := range targets {
		total += t.Weight()
	}

	return total
}
