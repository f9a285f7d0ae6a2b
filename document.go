package sycamoretiller

import "maps"

// DocumentSpec is the operators' document as it is written down.
type DocumentSpec struct {
	Defaults   map[string]int64 `json:"defaults"   yaml:"defaults"`
	Services   []ServiceSpec    `json:"services"   yaml:"services"`
	Routes     []RouteSpec      `json:"routes"     yaml:"routes"`
	Exceptions []ExceptionSpec  `json:"exceptions" yaml:"exceptions"`
}

// ServiceSpec declares a service that routes may name.
type ServiceSpec struct {
	Name        string `json:"name"                  yaml:"name"`
	Description string `json:"description,omitempty" yaml:"description,omitempty"`
}

// RouteSpec sends calls of one method and path prefix to a service.
type RouteSpec struct {
	Name       string `json:"name"                  yaml:"name"`
	Method     string `json:"method"                yaml:"method"`
	PathPrefix string `json:"path_prefix"           yaml:"path_prefix"`
	Service    string `json:"service"               yaml:"service"`
	Class      string `json:"class"                 yaml:"class"`
	Idempotent bool   `json:"idempotent,omitempty"  yaml:"idempotent,omitempty"`
	AtMostOnce bool   `json:"at_most_once,omitempty" yaml:"at_most_once,omitempty"`
	Internal   bool   `json:"internal,omitempty"    yaml:"internal,omitempty"`
	TimeoutMs  int64  `json:"timeout_ms,omitempty"  yaml:"timeout_ms,omitempty"`
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
	defaults   map[Setting]int64
	services   []Service
	routes     []Route
	exceptions []Exception
}

// NewDocument assembles a document from validated parts.
func NewDocument(defaults map[Setting]int64, services []Service, routes []Route, exceptions []Exception) Document {
	return Document{defaults: maps.Clone(defaults), services: services, routes: routes, exceptions: exceptions}
}

// Default returns the fleet's value of a setting and whether the document states it.
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

// Service returns the service that answers.
func (r Route) Service() Service { return Service(r.spec.Service) }

// Class returns the class under load.
func (r Route) Class() Class { return r.class }

// Idempotent reports whether the call may run more than once.
func (r Route) Idempotent() bool { return r.spec.Idempotent }

// AtMostOnce reports whether the call must carry an idempotency key.
func (r Route) AtMostOnce() bool { return r.spec.AtMostOnce }

// Internal reports whether only workers may call.
func (r Route) Internal() bool { return r.spec.Internal }

// Timeout returns the route's own time limit, zero if it has none.
func (r Route) Timeout() Millis { return Millis(r.spec.TimeoutMs) }

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

// Setting returns which setting it overrides.
func (e Exception) Setting() Setting { return e.setting }

// Value returns the value within the scope.
func (e Exception) Value() int64 { return e.spec.Value }

// Reason returns why the exception exists.
func (e Exception) Reason() string { return e.spec.Reason }

// Covers reports whether the exception applies at a place.
func (e Exception) Covers(p Place) bool {
	s := e.spec.Scope

	return covers(s.DataCentre, string(p.dataCentre)) && covers(s.Service, string(p.service)) && covers(s.Worker, string(p.worker))
}

func covers(scope, value string) bool { return scope == "" || scope == value }

// Weights by which a narrower scope wins.
const (
	workerWeight     = 4
	serviceWeight    = 2
	dataCentreWeight = 1
)

// Specificity ranks the scope; where several exceptions cover a place the highest wins.
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
