package quarantiner_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
)

func TestDigestDistinguishesRequests(t *testing.T) {
	base := quarantiner.DigestOf("PUT", "/calls/1", "", "", []byte("body"))

	require.Equal(t, base, quarantiner.DigestOf("PUT", "/calls/1", "", "", []byte("body")))

	others := map[string]quarantiner.Digest{
		"method": quarantiner.DigestOf("POST", "/calls/1", "", "", []byte("body")),
		"target": quarantiner.DigestOf("PUT", "/calls/2", "", "", []byte("body")),
		"key":    quarantiner.DigestOf("PUT", "/calls/1", "key", "", []byte("body")),
		"caller": quarantiner.DigestOf("PUT", "/calls/1", "", "board", []byte("body")),
		"body":   quarantiner.DigestOf("PUT", "/calls/1", "", "", []byte("bodies")),
	}
	for part, d := range others {
		require.NotEqual(t, base, d, part)
	}

	keyed := quarantiner.DigestOf("PUT", "/calls/1", "key", "", nil)
	require.Equal(t, keyed, quarantiner.DigestOf("POST", "/calls/2", "key", "", []byte("body")))
}

// TestConcurrentReportsOfACrashRaiseTheStrikesOnce reports the same total from several goroutines, as the attempts and answers of a call
// do when its copies end together.
func TestConcurrentReportsOfACrashRaiseTheStrikesOnce(t *testing.T) {
	const (
		reporters = 4
		totals    = 20_000
	)

	r := quarantiner.NewRegistry()
	d := quarantiner.DigestOf("GET", "/calls/1", "", "", nil)

	var reports sync.WaitGroup

	for range reporters {
		reports.Go(func() {
			for total := range totals {
				r.RaiseStrikes(0, d, "calls", total+1)
			}
		})
	}

	reports.Wait()
	require.Equal(t, totals, r.Strikes(d))
}
