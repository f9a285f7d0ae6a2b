package sycamoretiller

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"fmt"

	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Version identifies an accepted document by its position in the controllers' log and its content hash.
type Version struct {
	generation uint64
	index      uint64
	hash       string
}

// NewVersion returns a version; the hash is the document's content hash.
func NewVersion(generation, index uint64, hash []byte) Version {
	return Version{generation: generation, index: index, hash: string(hash)}
}

// VersionOf converts a version from its wire form; nil gives the zero version.
func VersionOf(w *wire.Version) Version {
	return NewVersion(w.GetGeneration(), w.GetIndex(), w.GetHash())
}

// Wire converts a version to its wire form.
func (v Version) Wire() *wire.Version {
	return &wire.Version{Generation: v.generation, Index: v.index, Hash: []byte(v.hash)}
}

// Generation returns the generation, which increases with each recovery.
func (v Version) Generation() uint64 { return v.generation }

// Index returns the position in the controllers' log.
func (v Version) Index() uint64 { return v.index }

// Hash returns the content hash.
func (v Version) Hash() []byte { return []byte(v.hash) }

// IsZero reports whether the version stands for no configuration.
func (v Version) IsZero() bool { return v.generation == 0 && v.index == 0 }

// Compare orders versions by generation, then by index.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.generation, o.generation); c != 0 {
		return c
	}

	return cmp.Compare(v.index, o.index)
}

// NewerThan reports whether the version follows another one.
func (v Version) NewerThan(o Version) bool { return v.Compare(o) > 0 }

// SameContent reports whether both versions have the same content hash.
func (v Version) SameContent(o Version) bool {
	return bytes.Equal([]byte(v.hash), []byte(o.hash))
}

// shortHashBytes is the length of the hash prefix in the text form of a version.
const shortHashBytes = 4

// String formats the version as generation.index-hash.
func (v Version) String() string {
	if v.IsZero() {
		return "none"
	}

	return fmt.Sprintf("%d.%d-%s", v.generation, v.index, hex.EncodeToString([]byte(v.hash[:min(shortHashBytes, len(v.hash))])))
}
