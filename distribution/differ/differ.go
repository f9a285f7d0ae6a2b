// Package differ computes the difference between two lists of items and applies it.
package differ

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Between returns the items to insert or replace and the paths to remove that turn the base into the target. Both are ordered by
// path, and so are the results.
func Between(base, target []*wire.Item) (upserts []*wire.Item, removes []string) {
	remaining := byPath(base)

	for _, item := range target {
		before, ok := remaining[item.GetPath()]
		if !ok || !bytes.Equal(before.GetValue(), item.GetValue()) {
			upserts = append(upserts, item)
		}

		delete(remaining, item.GetPath())
	}

	for _, item := range base {
		if _, removed := remaining[item.GetPath()]; removed {
			removes = append(removes, item.GetPath())
		}
	}

	return upserts, removes
}

// Missing returns the items of the target whose digests are not among those given.
func Missing(digests []uint64, target []*wire.Item) []*wire.Item {
	known := tiller.NewSet(digests...)

	var out []*wire.Item
	for _, item := range target {
		if !known.Has(encoder.Digest(item)) {
			out = append(out, item)
		}
	}

	return out
}

// Digests returns the digest of each item.
func Digests(items []*wire.Item) []uint64 {
	out := make([]uint64, 0, len(items))
	for _, item := range items {
		out = append(out, encoder.Digest(item))
	}

	return out
}

// Apply returns the base with the difference applied, ordered by path; the base must be ordered by path too. It returns an error if
// the content hash of the result is not the target's.
func Apply(base, upserts []*wire.Item, removes []string, target tiller.Version) ([]*wire.Item, error) {
	replaced := tiller.NewSet(removes...)
	for _, item := range upserts {
		replaced.Add(item.GetPath())
	}

	pending := slices.Clone(upserts)
	encoder.Sort(pending)

	out := make([]*wire.Item, 0, len(base)+len(pending))

	for _, item := range base {
		for len(pending) > 0 && pending[0].GetPath() < item.GetPath() {
			out = append(out, pending[0])
			pending = pending[1:]
		}

		if !replaced.Has(item.GetPath()) {
			out = append(out, item)
		}
	}

	out = append(out, pending...)

	if !bytes.Equal(encoder.Hash(out), target.Hash()) {
		return nil, eris.Errorf("content hash mismatch after applying the difference to %s", target)
	}

	return out, nil
}

func byPath(items []*wire.Item) map[string]*wire.Item {
	m := make(map[string]*wire.Item, len(items))
	for _, item := range items {
		m[item.GetPath()] = item
	}

	return m
}

// Stale returns the positions of the digests that match no item of the target.
func Stale(digests []uint64, target []*wire.Item) []uint32 {
	wanted := tiller.NewSet(Digests(target)...)

	var out []uint32

	for i, d := range digests {
		if !wanted.Has(d) {
			out = append(out, uint32(i))
		}
	}

	return out
}

// Without returns the items except those at the given positions.
func Without(items []*wire.Item, positions []uint32) []*wire.Item {
	excluded := tiller.NewSet(positions...)

	out := make([]*wire.Item, 0, len(items))
	for i, item := range items {
		if !excluded.Has(uint32(i)) {
			out = append(out, item)
		}
	}

	return out
}
