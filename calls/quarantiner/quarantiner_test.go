package quarantiner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

func TestDigestTellsRequestsApart(t *testing.T) {
	base := quarantiner.DigestOf("board", "PUT", "/calls/1", "", []byte("body"))

	require.Equal(t, base, quarantiner.DigestOf("board", "PUT", "/calls/1", "", []byte("body")))

	others := map[string]quarantiner.Digest{
		"calling service": quarantiner.DigestOf("talent", "PUT", "/calls/1", "", []byte("body")),
		"method":          quarantiner.DigestOf("board", "POST", "/calls/1", "", []byte("body")),
		"target":          quarantiner.DigestOf("board", "PUT", "/calls/2", "", []byte("body")),
		"key":             quarantiner.DigestOf("board", "PUT", "/calls/1", "key", []byte("body")),
		"body":            quarantiner.DigestOf("board", "PUT", "/calls/1", "", []byte("bodies")),
	}
	for what, d := range others {
		require.NotEqual(t, base, d, what)
	}

	keyed := quarantiner.DigestOf("board", "PUT", "/calls/1", "key", nil)
	require.Equal(t, keyed, quarantiner.DigestOf("talent", "POST", "/calls/2", "key", []byte("body")))
}
