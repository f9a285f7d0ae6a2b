// Package compiler resolves a document to the settings that apply at a location, with the source of each value, and finds the routes
// of calls.
package compiler

import (
	"net"
	"strings"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

// Source is where an effective value comes from: an exception, a default in the document or the built-in default.
type Source struct {
	exception string
	reason    string
	stated    bool
}

// Exception returns the name of the exception, empty for a default value.
func (s Source) Exception() string { return s.exception }

// Reason returns the written reason of the exception, empty for a default value.
func (s Source) Reason() string { return s.reason }

// String formats the source for operators.
func (s Source) String() string {
	switch {
	case s.exception != "":
		return "exception " + s.exception + ": " + s.reason
	case s.stated:
		return "default of the fleet"
	default:
		return "built-in default"
	}
}

// Effective holds the value and the source of every setting at one location.
type Effective struct {
	values  []int64
	sources []Source
}

// Value returns the value of a setting.
func (e Effective) Value(s tiller.Setting) int64 { return e.values[s] }

// Millis returns the value of a setting in milliseconds as a duration.
func (e Effective) Millis(s tiller.Setting) tiller.Millis { return tiller.Millis(e.values[s]) }

// Seconds returns the value of a setting in seconds as a duration.
func (e Effective) Seconds(s tiller.Setting) tiller.Millis {
	return tiller.Millis(e.values[s]) * tiller.Second
}

// Source returns where the value of a setting comes from.
func (e Effective) Source(s tiller.Setting) Source { return e.sources[s] }

// Compile returns the settings that apply at a location.
func Compile(d tiller.Document, location tiller.Location) Effective {
	settings := tiller.SettingValues()
	e := Effective{values: make([]int64, len(settings)), sources: make([]Source, len(settings))}

	for _, s := range settings {
		value, stated := d.Default(s)
		if !stated {
			value = s.Range().Default()
		}

		e.values[s] = value
		e.sources[s] = Source{stated: stated}
	}

	rank := make([]int, len(settings))

	for _, x := range d.Exceptions() {
		if !x.Covers(location) || x.Specificity() <= rank[x.Setting()] {
			continue
		}

		rank[x.Setting()] = x.Specificity()
		e.values[x.Setting()] = x.Value()
		e.sources[x.Setting()] = Source{exception: x.Name(), reason: x.Reason()}
	}

	return e
}

// Resolver returns the values of one setting at many locations.
type Resolver struct {
	fallback   int64
	exceptions []tiller.Exception
}

// NewResolver collects the default and the exceptions of a setting from a document.
func NewResolver(d tiller.Document, s tiller.Setting) Resolver {
	fallback, stated := d.Default(s)
	if !stated {
		fallback = s.Range().Default()
	}

	r := Resolver{fallback: fallback}

	for _, x := range d.Exceptions() {
		if x.Setting() == s {
			r.exceptions = append(r.exceptions, x)
		}
	}

	return r
}

// At returns the value of the setting at a location.
func (r Resolver) At(location tiller.Location) int64 {
	value, rank := r.fallback, 0

	for _, x := range r.exceptions {
		if x.Specificity() > rank && x.Covers(location) {
			rank = x.Specificity()
			value = x.Value()
		}
	}

	return value
}

// Matcher finds the routes of calls.
type Matcher struct {
	byHost map[string][]tiller.Route
}

// NewMatcher groups the routes of a document by host and keeps their order, longest path prefix first.
func NewMatcher(d tiller.Document) Matcher {
	m := Matcher{byHost: map[string][]tiller.Route{}}
	counts := map[string]int{}

	for _, r := range d.Routes() {
		counts[strings.ToLower(r.Host())]++
	}

	for _, r := range d.Routes() {
		host := strings.ToLower(r.Host())
		if m.byHost[host] == nil {
			m.byHost[host] = make([]tiller.Route, 0, counts[host])
		}

		m.byHost[host] = append(m.byHost[host], r)
	}

	return m
}

// Names returns the names of the routes.
func (m Matcher) Names() tiller.Set[string] {
	names := tiller.NewSet[string]()

	for _, routes := range m.byHost {
		for _, r := range routes {
			names.Add(r.Name())
		}
	}

	return names
}

// Match returns the route of a call and whether there is one. Routes for the call's host come before routes for all hosts. The path
// is compared as it was sent, without decoding.
func (m Matcher) Match(host, method, path string) (tiller.Route, bool) {
	if route, ok := match(m.byHost[hostName(host)], method, path); ok {
		return route, true
	}

	return match(m.byHost[""], method, path)
}

func match(routes []tiller.Route, method, path string) (tiller.Route, bool) {
	for _, r := range routes {
		if (r.Method() == "" || r.Method() == method) && hasPathPrefix(path, r.PathPrefix()) {
			return r, true
		}
	}

	return tiller.Route{}, false
}

// hostName strips the port from a Host header and returns the name in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}

	return strings.ToLower(host)
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}

	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
