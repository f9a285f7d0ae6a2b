package balancer

import tiller "gitlab.com/sycamoretiller/sycamoretiller"

// ServerState is what a start of a backend server has stated about itself.
type ServerState struct {
	start   string
	rate    tiller.Option[tiller.Rate]
	leaving bool
}

// NewServerState returns the state of a start of a backend server: the request rate that it accepts, none if it states none, and whether it is
// leaving.
func NewServerState(start string, rate tiller.Option[tiller.Rate], leaving bool) ServerState {
	return ServerState{start: start, rate: rate, leaving: leaving}
}

// Start identifies the start of the backend server, empty if nothing is known.
func (s ServerState) Start() string { return s.start }

// Rate returns the accepted rate, none for no limit.
func (s ServerState) Rate() tiller.Option[tiller.Rate] { return s.rate }

// Leaving reports whether the start is leaving.
func (s ServerState) Leaving() bool { return s.leaving }

// Restricts reports whether the start has stated anything that holds requests back.
func (s ServerState) Restricts() bool {
	_, limited := s.rate.Get()

	return limited || s.leaving
}

// RecordServerState records the state of a backend server that its worker's node has reported.
func (b *Balancer) RecordServerState(w tiller.Worker, s ServerState) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.observationOf(w).server = s
}

// ServerState returns the state of a backend server that its worker's node has reported last.
func (b *Balancer) ServerState(w tiller.Worker) ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.observationOf(w).server
}
