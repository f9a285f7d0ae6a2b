package encoder_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// TestHashesAreStable guards against a change of the hash functions, after which versions stored on disk would look corrupted.
func TestHashesAreStable(t *testing.T) {
	items := make([]*wire.Item, 0, 400)
	for i := range 400 {
		items = append(items, &wire.Item{Path: fmt.Sprintf("route/r-%03d", i), Value: fmt.Appendf(nil, `{"name":"r-%03d","timeout_ms":%d}`, i, i*7)})
	}

	items = append(items, &wire.Item{Path: "route/x", Value: make([]byte, 20_000)})

	require.Equal(t, "43bc359336a15d072668c207ca6e361d", hex.EncodeToString(encoder.Hash(items)))
	require.Equal(t, "9d41408b45b96ebd", fmt.Sprintf("%016x", encoder.Digest(items[7])))
}
