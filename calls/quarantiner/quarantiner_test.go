package quarantiner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

func TestDigestDistinguishesRequests(t *testing.T) {
	base := quarantiner.DigestOf("PUT", "/calls/1", "", []byte("body"))

	require.Equal(t, base, quarantiner.DigestOf("PUT", "/calls/1", "", []byte("body")))

	others := map[string]quarantiner.Digest{
		"method": quarantiner.DigestOf("POST", "/calls/1", "", []byte("body")),
		"target": quarantiner.DigestOf("PUT", "/calls/2", "", []byte("body")),
		"key":    quarantiner.DigestOf("PUT", "/calls/1", "key", []byte("body")),
		"body":   quarantiner.DigestOf("PUT", "/calls/1", "", []byte("bodies")),
	}
	for part, d := range others {
		require.NotEqual(t, base, d, part)
	}

	keyed := quarantiner.DigestOf("PUT", "/calls/1", "key", nil)
	require.Equal(t, keyed, quarantiner.DigestOf("POST", "/calls/2", "key", []byte("body")))
}
