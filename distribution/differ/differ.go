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

// Between returns what turns the base into the target; both are ordered by path.
func Between(base, target []*wire.Item) (upserts []*wire.Item, removes []string) {
	old := byPath(base)

	for _, item := range target {
		before, ok := old[item.GetPath()]
		if !ok || !bytes.Equal(before.GetValue(), item.GetValue()) {
			upserts = append(upserts, item)
		}

		delete(old, item.GetPath())
	}

	for _, item := range base {
		if _, left := old[item.GetPath()]; left {
			removes = append(removes, item.GetPath())
		}
	}

	return upserts, removes
}

// Missing returns the items of the target whose digests the other side lacks.
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

// Apply returns the base, which is ordered by path, with the difference applied, checked against the target's content hash.
func Apply(base, upserts []*wire.Item, removes []string, target tiller.Version) ([]*wire.Item, error) {
	dropped := tiller.NewSet(removes...)
	for _, item := range upserts {
		dropped.Add(item.GetPath())
	}

	fresh := slices.Clone(upserts)
	encoder.Sort(fresh)

	out := make([]*wire.Item, 0, len(base)+len(fresh))

	for _, item := range base {
		for len(fresh) > 0 && fresh[0].GetPath() < item.GetPath() {
			out = append(out, fresh[0])
			fresh = fresh[1:]
		}

		if !dropped.Has(item.GetPath()) {
			out = append(out, item)
		}
	}

	out = append(out, fresh...)

	if !bytes.Equal(encoder.Hash(out), target.Hash()) {
		return nil, eris.Errorf("difference to %s gives other content", target)
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

// Stale returns the positions of digests that the target does not contain.
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
	drop := tiller.NewSet(positions...)

	out := make([]*wire.Item, 0, len(items))
	for i, item := range items {
		if !drop.Has(uint32(i)) {
			out = append(out, item)
		}
	}

	return out
}
