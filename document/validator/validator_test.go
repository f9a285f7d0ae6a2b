package validator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/compiler"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
)

func exception(name string, scope tiller.ScopeSpec, value int64) tiller.ExceptionSpec {
	return tiller.ExceptionSpec{Name: name, Scope: scope, Setting: "call_timeout_ms", Value: value, Reason: "old archive on slow disks"}
}

func valid() tiller.DocumentSpec {
	return tiller.DocumentSpec{
		Defaults: map[string]int64{"call_timeout_ms": 1000},
		Services: []tiller.ServiceSpec{{Name: "archive"}, {Name: "board"}},
		Routes: []tiller.RouteSpec{
			{Name: "read", Method: "GET", PathPrefix: "/a", Service: "archive", Class: "patient", Idempotent: true},
			{Name: "deep", Method: "GET", PathPrefix: "/a/b", Service: "board", Class: "interactive"},
		},
		Exceptions: []tiller.ExceptionSpec{exception("slow", tiller.ScopeSpec{Service: "archive"}, 3000)},
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		path   string
		change func(s *tiller.DocumentSpec)
	}{
		{"defaults.nope", func(s *tiller.DocumentSpec) { s.Defaults["nope"] = 1 }},
		{"defaults.call_timeout_ms", func(s *tiller.DocumentSpec) { s.Defaults["call_timeout_ms"] = 1 }},
		{"services", func(s *tiller.DocumentSpec) { s.Services, s.Routes, s.Exceptions = nil, nil, nil }},
		{"services[2].name", func(s *tiller.DocumentSpec) { s.Services = append(s.Services, tiller.ServiceSpec{Name: "board"}) }},
		{"services[0].name", func(s *tiller.DocumentSpec) { s.Services[0].Name = "Archive" }},
		{"routes[0].service", func(s *tiller.DocumentSpec) { s.Routes[0].Service = "gone" }},
		{"routes[0].class", func(s *tiller.DocumentSpec) { s.Routes[0].Class = "vip" }},
		{"routes[0].method", func(s *tiller.DocumentSpec) { s.Routes[0].Method = "get" }},
		{"routes[0].path_prefix", func(s *tiller.DocumentSpec) { s.Routes[0].PathPrefix = "a" }},
		{"routes[0]", func(s *tiller.DocumentSpec) { s.Routes[0].AtMostOnce = true }},
		{"routes[1]", func(s *tiller.DocumentSpec) { s.Routes[1].PathPrefix = "/a" }},
		{"routes[1].name", func(s *tiller.DocumentSpec) { s.Routes[1].Name = "read" }},
		{"routes[1].timeout_ms", func(s *tiller.DocumentSpec) { s.Routes[1].TimeoutMs = new(int64(-1)) }},
		{"exceptions[0].reason", func(s *tiller.DocumentSpec) { s.Exceptions[0].Reason = " \t " }},
		{"exceptions[0].reason", func(s *tiller.DocumentSpec) { s.Exceptions[0].Reason = "because" }},
		{"exceptions[0].scope", func(s *tiller.DocumentSpec) { s.Exceptions[0].Scope = tiller.ScopeSpec{} }},
		{"exceptions[0].scope.service", func(s *tiller.DocumentSpec) { s.Exceptions[0].Scope.Service = "gone" }},
		{"exceptions[0].setting", func(s *tiller.DocumentSpec) { s.Exceptions[0].Setting = "CallTimeoutMs" }},
		{"exceptions[1]", func(s *tiller.DocumentSpec) {
			s.Exceptions = append(s.Exceptions, exception("again", tiller.ScopeSpec{Service: "archive"}, 2000))
		}},
		{"exceptions", func(s *tiller.DocumentSpec) {
			s.Exceptions = make([]tiller.ExceptionSpec, validator.MaxExceptions+1)
		}},
	}

	for _, tc := range cases {
		t.Run(tc.path, func(t *testing.T) {
			s := valid()
			tc.change(&s)

			_, faults := validator.Validate(s)

			var paths []string
			for _, f := range faults {
				paths = append(paths, f.Path())
			}

			require.Contains(t, paths, tc.path)
		})
	}
}

func TestCompile(t *testing.T) {
	s := valid()
	s.Exceptions = append(s.Exceptions,
		exception("slow-here", tiller.ScopeSpec{Service: "archive", DataCentre: "hill-1"}, 4000),
		exception("slow-worker", tiller.ScopeSpec{Worker: "w7"}, 5000),
	)

	d, faults := validator.Validate(s)
	require.Empty(t, faults)

	cases := []struct {
		location tiller.Location
		value    int64
		source   string
	}{
		{tiller.NewLocation("hill-2", "board", "w1"), 1000, "default of the fleet"},
		{tiller.NewLocation("hill-2", "archive", "w1"), 3000, "exception slow: old archive on slow disks"},
		{tiller.NewLocation("hill-1", "archive", "w1"), 4000, "exception slow-here: old archive on slow disks"},
		{tiller.NewLocation("hill-1", "archive", "w7"), 5000, "exception slow-worker: old archive on slow disks"},
	}

	for _, tc := range cases {
		e := compiler.Compile(d, tc.location)
		require.Equal(t, tc.value, e.Value(tiller.SettingCallTimeoutMs))
		require.Equal(t, tc.source, e.Source(tiller.SettingCallTimeoutMs).String())
		require.Equal(t, tc.value, compiler.NewResolver(d, tiller.SettingCallTimeoutMs).At(tc.location))
		require.Equal(t, "built-in default", e.Source(tiller.SettingAttempts).String())
	}

	route, ok := compiler.NewMatcher(d).Match("any.example", "GET", "/a/b/c")
	require.True(t, ok)
	require.Equal(t, "deep", route.Name(), "the longest prefix wins")
}

func TestEncodeIsCanonical(t *testing.T) {
	s := valid()
	items, err := encoder.Encode(s)
	require.NoError(t, err)

	back, err := encoder.Decode(items)
	require.NoError(t, err)

	again, err := encoder.Encode(back)
	require.NoError(t, err)
	require.Equal(t, encoder.Hash(items), encoder.Hash(again))

	s.Routes[0], s.Routes[1] = s.Routes[1], s.Routes[0]
	swapped, err := encoder.Encode(s)
	require.NoError(t, err)
	require.Equal(t, encoder.Hash(items), encoder.Hash(swapped), "the order of routes in the file does not matter")
}
