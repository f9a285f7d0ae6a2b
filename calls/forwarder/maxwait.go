package forwarder

import (
	"sync"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// maxWaitRetention is how long the maximum wait of a route is stored after it was last seen; callers may change to shorter deadlines.
	maxWaitRetention = 30 * tiller.Second
	// maxWaitRoutes is the number of stored routes at which all are discarded.
	maxWaitRoutes = 1024
)

// maxWaits stores the maximum wait (the longest deadline that callers state) of each route. It is safe for concurrent use.
type maxWaits struct {
	mu     sync.Mutex
	routes map[string]routeMaxWait
}

type routeMaxWait struct {
	maxWait tiller.Millis
	seenAt  tiller.Millis
}

func newMaxWaits() *maxWaits { return &maxWaits{routes: map[string]routeMaxWait{}} }

// observe records the time left of a call on a route and returns the maximum wait of the route, this call included.
func (m *maxWaits) observe(now tiller.Millis, route string, left tiller.Millis) tiller.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()

	known, ok := m.routes[route]
	if !ok || left >= known.maxWait || now >= known.seenAt+maxWaitRetention {
		if !ok && len(m.routes) >= maxWaitRoutes {
			clear(m.routes)
		}

		known = routeMaxWait{maxWait: left, seenAt: now}
		m.routes[route] = known
	}

	return known.maxWait
}
