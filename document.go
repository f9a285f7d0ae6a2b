package sycamoretiller

import "maps"

// DocumentSpec is the operators' document as written, before validation.
type DocumentSpec struct {
	// Revision is the operators' own revision number of the document, zero if they keep none.
	Revision   uint64           `json:"revision,omitempty" yaml:"revision,omitempty"`
	Defaults   map[string]int64 `json:"defaults"   yaml:"defaults"`
	Services   []ServiceSpec    `json:"services"   yaml:"services"`
	Routes     []RouteSpec      `json:"routes"     yaml:"routes"`
	Exceptions []ExceptionSpec  `json:"exceptions" yaml:"exceptions"`
}

// ServiceSpec declares a service that routes may name.
type ServiceSpec struct {
	Name        string `json:"name"                  yaml:"name"`
	Description string `json:"description,omitempty" yaml:"description,omitempty"`
	// HealthPath is the path of a backend server's health check.
	HealthPath string `json:"health_path,omitempty" yaml:"health_path,omitempty"`
	// MaxConnections limits the connections to one backend server, zero for no limit.
	MaxConnections int64 `json:"max_connections,omitempty" yaml:"max_connections,omitempty"`
	// Annotations are stored for operators and have no effect.
	Annotations map[string]string `json:"annotations,omitempty" yaml:"annotations,omitempty"`
}

// TargetSpec assigns a service a share of a route's calls.
type TargetSpec struct {
	Service string `json:"service" yaml:"service"`
	Weight  int64  `json:"weight"  yaml:"weight"`
}

// RouteSpec sends calls of one host, method and path prefix to a service; an empty host or method matches all.
type RouteSpec struct {
	Name       string `json:"name"                  yaml:"name"`
	Host       string `json:"host,omitempty"        yaml:"host,omitempty"`
	Method     string `json:"method,omitempty"      yaml:"method,omitempty"`
	PathPrefix string `json:"path_prefix"           yaml:"path_prefix"`
	Service    string `json:"service,omitempty"     yaml:"service,omitempty"`
	// Targets share the calls by weight; they replace Service.
	Targets []TargetSpec `json:"targets,omitempty"  yaml:"targets,omitempty"`
	Class   string       `json:"class,omitempty"    yaml:"class,omitempty"`
	// Priority ranks calls under load, lowest first; it replaces Class.
	Priority   *int64 `json:"priority,omitempty"    yaml:"priority,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"  yaml:"idempotent,omitempty"`
	AtMostOnce bool   `json:"at_most_once,omitempty" yaml:"at_most_once,omitempty"`
	Internal   bool   `json:"internal,omitempty"    yaml:"internal,omitempty"`
	TimeoutMs  *int64 `json:"timeout_ms,omitempty"  yaml:"timeout_ms,omitempty"`
	// TargetLatencyMs is the time within which an answer has its full value, zero if unknown.
	TargetLatencyMs int64 `json:"target_latency_ms,omitempty" yaml:"target_latency_ms,omitempty"`
	// MaxAttempts limits the workers that one call is sent to, zero for the setting attempts.
	MaxAttempts int64 `json:"max_attempts,omitempty" yaml:"max_attempts,omitempty"`
	// Annotations are stored for operators and have no effect.
	Annotations map[string]string `json:"annotations,omitempty" yaml:"annotations,omitempty"`
}

// ScopeSpec limits an exception; an empty part matches everything.
type ScopeSpec struct {
	DataCentre string `json:"data_centre,omitempty" yaml:"data_centre,omitempty"`
	Service    string `json:"service,omitempty"     yaml:"service,omitempty"`
	Worker     string `json:"worker,omitempty"      yaml:"worker,omitempty"`
}

// ExceptionSpec overrides one setting within a scope for a written reason.
type ExceptionSpec struct {
	Name    string    `json:"name"    yaml:"name"`
	Scope   ScopeSpec `json:"scope"   yaml:"scope"`
	Setting string    `json:"setting" yaml:"setting"`
	Value   int64     `json:"value"   yaml:"value"`
	Reason  string    `json:"reason"  yaml:"reason"`
}

// Document is a configuration that has passed validation.
type Document struct {
	revision    uint64
	defaults    map[Setting]int64
	services    []Service
	connections map[Service]int
	routes      []Route
	exceptions  []Exception
}

// NewDocument assembles a document from validated parts.
func NewDocument(spec DocumentSpec, defaults map[Setting]int64, routes []Route, exceptions []Exception) Document {
	d := Document{
		revision: spec.Revision, defaults: maps.Clone(defaults), connections: map[Service]int{}, routes: routes, exceptions: exceptions,
	}
	for _, s := range spec.Services {
		d.services = append(d.services, Service(s.Name))
		d.connections[Service(s.Name)] = int(s.MaxConnections)
	}

	return d
}

// Revision returns the operators' own revision number of the document, zero if they keep none.
func (d Document) Revision() uint64 { return d.revision }

// MaxConnections returns the maximum number of connections to one backend server of a service, zero for no limit.
func (d Document) MaxConnections(s Service) int { return d.connections[s] }

// Default returns the fleet-wide value of a setting and whether the document states it.
func (d Document) Default(s Setting) (int64, bool) {
	v, ok := d.defaults[s]

	return v, ok
}

// Services returns the declared services.
func (d Document) Services() []Service { return d.services }

// Routes returns the routes, longest path prefix first.
func (d Document) Routes() []Route { return d.routes }

// Exceptions returns the exceptions.
func (d Document) Exceptions() []Exception { return d.exceptions }

// Route is a validated route.
type Route struct {
	spec  RouteSpec
	class Class
}

// NewRoute returns a route with its parsed class.
func NewRoute(spec RouteSpec, class Class) Route { return Route{spec: spec, class: class} }

// Name returns the route's name.
func (r Route) Name() string { return r.spec.Name }

// Method returns the HTTP method.
func (r Route) Method() string { return r.spec.Method }

// PathPrefix returns the path prefix that calls must have.
func (r Route) PathPrefix() string { return r.spec.PathPrefix }

// Host returns the host that calls must name, empty for all.
func (r Route) Host() string { return r.spec.Host }

// Targets returns the services that share the calls, with their weights.
func (r Route) Targets() []Target {
	if len(r.spec.Targets) == 0 {
		return []Target{{service: Service(r.spec.Service), weight: 1}}
	}

	out := make([]Target, 0, len(r.spec.Targets))
	for _, t := range r.spec.Targets {
		out = append(out, Target{service: Service(t.Service), weight: t.Weight})
	}

	return out
}

// Priority ranks calls under load; lower values are served first.
func (r Route) Priority() int {
	if r.spec.Priority != nil {
		return int(*r.spec.Priority)
	}

	return int(r.class)
}

// TargetLatency returns the time within which an answer has its full value, zero if unknown.
func (r Route) TargetLatency() Millis { return Millis(r.spec.TargetLatencyMs) }

// MaxAttempts returns the maximum number of workers that one call may be sent to, zero if the route states none.
func (r Route) MaxAttempts() int { return int(r.spec.MaxAttempts) }

// Class returns the call class, interactive if the route states a priority instead.
func (r Route) Class() Class { return r.class }

// Idempotent reports whether the call may run more than once.
func (r Route) Idempotent() bool { return r.spec.Idempotent }

// AtMostOnce reports whether the call must carry an idempotency key.
func (r Route) AtMostOnce() bool { return r.spec.AtMostOnce }

// Internal reports whether only workers may call.
func (r Route) Internal() bool { return r.spec.Internal }

// Timeout returns the route's own time limit, zero if it has none.
func (r Route) Timeout() Millis {
	if r.spec.TimeoutMs == nil {
		return 0
	}

	return Millis(*r.spec.TimeoutMs)
}

// Target is a service with its share of a route's calls.
type Target struct {
	service Service
	weight  int64
}

// Service returns the service that receives the share.
func (t Target) Service() Service { return t.service }

// Weight returns the share relative to the other targets of the route.
func (t Target) Weight() int64 { return t.weight }

// Exception is a validated exception.
type Exception struct {
	spec    ExceptionSpec
	setting Setting
}

// NewException returns an exception with its parsed setting.
func NewException(spec ExceptionSpec, setting Setting) Exception {
	return Exception{spec: spec, setting: setting}
}

// Name returns the exception's name.
func (e Exception) Name() string { return e.spec.Name }

// Setting returns the setting that it overrides.
func (e Exception) Setting() Setting { return e.setting }

// Value returns the value of the setting within the scope.
func (e Exception) Value() int64 { return e.spec.Value }

// Reason returns why the exception exists.
func (e Exception) Reason() string { return e.spec.Reason }

// Covers reports whether the exception applies at a location.
func (e Exception) Covers(l Location) bool {
	s := e.spec.Scope

	return covers(s.DataCentre, string(l.dataCentre)) && covers(s.Service, string(l.service)) && covers(s.Worker, string(l.worker))
}

func covers(scope, value string) bool { return scope == "" || scope == value }

// Weights of the parts of a scope: a worker outweighs a service together with a data centre.
const (
	workerWeight     = 4
	serviceWeight    = 2
	dataCentreWeight = 1
)

// Specificity ranks the scope; where several exceptions cover a location, the highest rank applies.
func (e Exception) Specificity() int {
	rank := 0
	if e.spec.Scope.Worker != "" {
		rank += workerWeight
	}

	if e.spec.Scope.Service != "" {
		rank += serviceWeight
	}

	if e.spec.Scope.DataCentre != "" {
		rank += dataCentreWeight
	}

	return rank
}
