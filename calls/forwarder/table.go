package forwarder

import (
	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/balancer"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Table is the routing table of a node: one complete version of the configuration and the known backend servers. It is immutable; a
// change is made by replacing it.
type Table struct {
	version     tiller.Version
	matcher     compiler.Matcher
	candidates  map[tiller.Service][]balancer.Candidate
	settings    map[tiller.Service]compiler.Effective
	ownSettings compiler.Effective
	// shares resolves the traffic percentage of each worker.
	shares compiler.Resolver
}

// NewTable compiles a document and the membership for a node's location. Only services that the document declares and that some node has
// announced get candidates.
func NewTable(version tiller.Version, d tiller.Document, location tiller.Location, entries []*wire.NodeEntry) *Table {
	t := &Table{
		version: version, matcher: compiler.NewMatcher(d), candidates: map[tiller.Service][]balancer.Candidate{},
		settings: map[tiller.Service]compiler.Effective{}, ownSettings: compiler.Compile(d, location),
	}

	for _, s := range d.Services() {
		t.settings[s] = compiler.Compile(d, tiller.NewLocation(location.DataCentre(), s, ""))
	}

	t.shares = compiler.NewResolver(d, tiller.SettingTrafficPercent)

	return t.WithEntries(entries)
}

// WithEntries returns a table of the same version with the candidates of another membership.
func (t *Table) WithEntries(entries []*wire.NodeEntry) *Table {
	next := *t
	next.candidates = map[tiller.Service][]balancer.Candidate{}

	for _, e := range entries {
		next.add(e)
	}

	return &next
}

func (t *Table) add(e *wire.NodeEntry) {
	b := tiller.BackendOf(e)
	if _, declared := t.settings[b.Service()]; !declared || !b.Ready() || !reachable(e) {
		return
	}

	share := t.shares.At(tiller.NewLocation(b.DataCentre(), b.Service(), b.Worker()))
	t.candidates[b.Service()] = append(t.candidates[b.Service()], balancer.NewCandidate(b, share))
}

func reachable(e *wire.NodeEntry) bool {
	return e.GetLiveness() == wire.Liveness_LIVENESS_ALIVE || e.GetLiveness() == wire.Liveness_LIVENESS_SUSPECT
}

// Version returns the configuration version of the table.
func (t *Table) Version() tiller.Version { return t.version }

// RouteNames returns the names of all routes.
func (t *Table) RouteNames() tiller.Set[string] { return t.matcher.Names() }

// Candidates returns the workers of a service that are ready and alive or suspected.
func (t *Table) Candidates(s tiller.Service) []balancer.Candidate { return t.candidates[s] }

// Settings returns the settings for calls to a service.
func (t *Table) Settings(s tiller.Service) compiler.Effective { return t.settings[s] }

// OwnSettings returns the settings for this node's worker.
func (t *Table) OwnSettings() compiler.Effective { return t.ownSettings }

// Match returns the route of a call and whether there is one. The path is matched as sent, without decoding.
func (t *Table) Match(host, method, path string) (tiller.Route, bool) {
	return t.matcher.Match(host, method, path)
}

func policyOf(e compiler.Effective) balancer.Policy {
	return balancer.Policy{
		SlowStart:          e.Millis(tiller.SettingSlowStartMs),
		EjectAfterFailures: int(e.Value(tiller.SettingEjectAfterFailures)),
		EjectFor:           e.Millis(tiller.SettingEjectMs),
		MaxEjectedPercent:  int(e.Value(tiller.SettingMaxEjectedPercent)),
	}
}
