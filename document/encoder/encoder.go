// Package encoder converts a document to its canonical items and back. Equal documents have equal items and hashes.
package encoder

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Paths of items by kind: prefixes in front of a name, and the path of the revision.
const (
	defaultPrefix   = "default/"
	servicePrefix   = "service/"
	routePrefix     = "route/"
	exceptionPrefix = "exception/"
	revisionPath    = "revision"
)

// HashBytes is the length of a content hash in bytes.
const HashBytes = 16

// Encode returns the items of a document, ordered by path.
func Encode(spec tiller.DocumentSpec) ([]*wire.Item, error) {
	var (
		items []*wire.Item
		errs  error
	)

	add := func(path string, v any) {
		value, err := json.Marshal(v)
		errs = errors.Join(errs, eris.Wrapf(err, "encode %s", path))
		items = append(items, &wire.Item{Path: path, Value: value})
	}

	if spec.Revision > 0 {
		add(revisionPath, spec.Revision)
	}

	for name, value := range spec.Defaults {
		add(defaultPrefix+name, value)
	}

	for _, s := range spec.Services {
		add(servicePrefix+s.Name, s)
	}

	for _, r := range spec.Routes {
		add(routePrefix+r.Name, r)
	}

	for _, e := range spec.Exceptions {
		add(exceptionPrefix+e.Name, e)
	}

	Sort(items)

	return items, errs
}

// Revision returns the operators' own revision number from items ordered by path, zero if there is none or it cannot be decoded.
func Revision(items []*wire.Item) uint64 {
	i, ok := slices.BinarySearchFunc(items, revisionPath, func(item *wire.Item, path string) int { return cmp.Compare(item.GetPath(), path) })
	if !ok {
		return 0
	}

	var revision uint64
	if unmarshal(items[i].GetValue(), &revision) != nil {
		return 0
	}

	return revision
}

// Sort orders items by path.
func Sort(items []*wire.Item) {
	slices.SortFunc(items, func(a, b *wire.Item) int { return cmp.Compare(a.GetPath(), b.GetPath()) })
}

const (
	// hashBufferBytes is the size of the chunks that are passed to the hash function.
	hashBufferBytes = 8 << 10
	// lengthBytes is the size of a length prefix.
	lengthBytes = 8
)

// Hash returns the content hash of items ordered by path: a SHA-256 hash truncated to HashBytes.
func Hash(items []*wire.Item) []byte {
	h := sha256.New()
	buffer := make([]byte, 0, hashBufferBytes)

	for _, item := range items {
		if len(buffer)+2*lengthBytes+len(item.GetPath())+len(item.GetValue()) > cap(buffer) {
			_, _ = h.Write(buffer)
			buffer = buffer[:0]
		}

		buffer = appendItem(buffer, item)
	}

	_, _ = h.Write(buffer)

	return h.Sum(nil)[:HashBytes]
}

// appendItem appends the path and the value of an item, each prefixed with its length.
func appendItem(buffer []byte, item *wire.Item) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(item.GetPath())))
	buffer = append(buffer, item.GetPath()...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(item.GetValue())))

	return append(buffer, item.GetValue()...)
}

// Digest returns a 64-bit, non-cryptographic digest of one item.
func Digest(item *wire.Item) uint64 {
	d := xxhash.New()
	_, _ = d.Write(appendItem(nil, item))

	return d.Sum64()
}
