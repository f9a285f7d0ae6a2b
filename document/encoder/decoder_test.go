package encoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func spec(timeout int64) tiller.DocumentSpec {
	return tiller.DocumentSpec{
		Revision: uint64(timeout),
		Defaults: map[string]int64{"call_timeout_ms": timeout},
		Services: []tiller.ServiceSpec{{Name: "board"}},
		Routes: []tiller.RouteSpec{
			{Name: "browse", PathPrefix: "/calls", Service: "board", Targets: []tiller.TargetSpec{}, TimeoutMs: new(int64(1200))},
			{Name: "submit", PathPrefix: "/auditions", Service: "board", TimeoutMs: &timeout},
		},
		Exceptions: []tiller.ExceptionSpec{{Name: "slow", Setting: "call_timeout_ms", Value: 5000, Reason: "old records"}},
	}
}

func encode(t *testing.T, s tiller.DocumentSpec) []*wire.Item {
	t.Helper()

	items, err := encoder.Encode(s)
	require.NoError(t, err)

	return items
}

// TestDecoderReusesUnchangedItems decodes versions that share items with the previous one, while others were changed, removed or
// restored.
func TestDecoderReusesUnchangedItems(t *testing.T) {
	first, second := encode(t, spec(1000)), encode(t, spec(2000))
	mixed := append([]*wire.Item{second[0]}, first[1:]...)
	versions := [][]*wire.Item{first, second, mixed, first[:3], first, second}
	d := encoder.NewDecoder()

	for i, items := range versions {
		want, err := encoder.Decode(items)
		require.NoError(t, err)

		got, err := d.Decode(items)
		require.NoError(t, err)
		require.Equal(t, want, got, "version %d", i)
	}
}

func TestDecoderRecoversFromInvalidItem(t *testing.T) {
	d := encoder.NewDecoder()
	items := encode(t, spec(1000))
	_, err := d.Decode(items)
	require.NoError(t, err)

	for name, item := range map[string]*wire.Item{
		"name differs from path": {Path: "route/browse", Value: []byte(`{"name":"other","path_prefix":"/"}`)},
		"unknown field":          {Path: "route/browse", Value: []byte(`{"name":"browse","path_prefix":"/","colour":"red"}`)},
		"invalid JSON":           {Path: "default/call_timeout_ms", Value: []byte(`{`)},
		"two values":             {Path: "revision", Value: []byte(`1 2`)},
		"unknown kind":           {Path: "colour/red", Value: []byte(`1`)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := d.Decode(append([]*wire.Item{item}, items...))
			require.ErrorContains(t, err, item.GetPath())

			got, err := d.Decode(items)
			require.NoError(t, err)
			require.Equal(t, spec(1000).Routes[1], got.Routes[1])
		})
	}
}
