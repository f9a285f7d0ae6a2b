package claimer

import (
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
)

const (
	// Window is how long after its creation a key is accepted and its outcome kept.
	Window = 10 * tiller.Minute
	// MaxAhead is how far a key's time may be ahead of the node's clock.
	MaxAhead = 5 * tiller.Second
	// MaxSkew is how far the clocks of nodes may differ.
	MaxSkew = 5 * tiller.Second

	keySeparator   = "."
	uuidVersion    = 7
	nanosPerMillis = 1_000_000
)

// Errors of an idempotency key.
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

// ParseKey parses a key; its prefix names the data centre whose nodes decide about it.
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

// Home returns the data centre whose nodes decide about the key.
func (k Key) Home() tiller.DataCentre { return k.home }

// Created returns when the caller made the key.
func (k Key) Created() tiller.Millis { return k.created }

// Check returns an error for a key outside the window around the given wall time.
func (k Key) Check(now tiller.Millis) error {
	if k.created > now+MaxAhead {
		return ErrKeyAhead
	}

	if k.created+Window < now {
		return ErrKeyExpired
	}

	return nil
}
