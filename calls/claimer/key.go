package claimer

import (
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// KeyWindow is the time after its creation for which a key is accepted and its outcome is stored.
	KeyWindow = 10 * tiller.Minute
	// MaxAhead is how far the creation time of a key may be ahead of the node's clock.
	MaxAhead = 5 * tiller.Second
	// MaxSkew is the largest clock skew between nodes that is tolerated.
	MaxSkew = 5 * tiller.Second

	keySeparator   = "."
	uuidVersion    = 7
	nanosPerMillis = 1_000_000
)

// Errors for idempotency keys that are rejected.
var (
	ErrKeyFormat  = eris.New("key must be <data_centre>.<UUID version 7>")
	ErrKeyExpired = eris.New("key is older than the window in which outcomes are kept")
	ErrKeyAhead   = eris.New("key was created in the future")
)

// Key is a parsed idempotency key.
type Key struct {
	text    string
	home    tiller.DataCentre
	created tiller.Millis
}

// ParseKey parses a key of the form <data_centre>.<UUID version 7>. The prefix names the home data centre, whose claim group decides
// about the key. Any other form returns ErrKeyFormat.
func ParseKey(text string) (Key, error) {
	home, id, found := cutLast(text, keySeparator)
	if !found || home == "" {
		return Key{}, ErrKeyFormat
	}

	u, err := uuid.Parse(id)
	if err != nil || u.Version() != uuidVersion || u.String() != id {
		return Key{}, ErrKeyFormat
	}

	seconds, nanos := u.Time().UnixTime()

	return Key{text: text, home: tiller.DataCentre(home), created: tiller.Millis(seconds*int64(tiller.Second) + nanos/nanosPerMillis)}, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}

	return s[:i], s[i+len(sep):], true
}

// String returns the key as the caller wrote it.
func (k Key) String() string { return k.text }

// Home returns the data centre whose claim group decides about the key.
func (k Key) Home() tiller.DataCentre { return k.home }

// Created returns the creation time in the key's UUID.
func (k Key) Created() tiller.Millis { return k.created }

// Check returns ErrKeyAhead or ErrKeyExpired if the key is not valid at the given wall-clock time.
func (k Key) Check(now tiller.Millis) error {
	if k.created > now+MaxAhead {
		return ErrKeyAhead
	}

	if k.created+KeyWindow < now {
		return ErrKeyExpired
	}

	return nil
}
