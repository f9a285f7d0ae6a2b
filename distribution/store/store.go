// Package store keeps a configuration version with its recent predecessors and answers pulls for it. Controllers and
// nodes serve versions in the same way, since the content hash shows whether a difference arrived complete.
package store

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/differ"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Errors of Set and Merge.
var (
	ErrBaseMismatch = eris.New("difference has another base")
	ErrStale        = eris.New("version is not newer")
)

// revision is one stored version.
type revision struct {
	version tiller.Version
	// items are ordered by path.
	items []*wire.Item
	// changed contains at least the paths of the items that differ from the previous revision. It is valid only if changesKnown is set.
	changed      []string
	changesKnown bool
}

// Store keeps the latest version and a few predecessors. It is not safe for concurrent use.
type Store struct {
	current   revision
	document  tiller.Document
	decoder   *encoder.Decoder
	recent    []revision
	maxRecent int
	// differences caches the differences from recent bases to the latest version, since many peers pull the same one.
	differences map[tiller.Version]*wire.Difference
}

// New returns an empty store that keeps up to maxRecent predecessors to compute differences from.
func New(maxRecent int) *Store {
	return &Store{maxRecent: maxRecent, decoder: encoder.NewDecoder()}
}

// Version returns the latest version, which is zero before the first one.
func (s *Store) Version() tiller.Version { return s.current.version }

// Items returns the latest version's items, ordered by path.
func (s *Store) Items() []*wire.Item { return s.current.items }

// Document returns the latest version's document.
func (s *Store) Document() tiller.Document { return s.document }

// Digests returns the digests of the latest version's items, in the order of the items.
func (s *Store) Digests() []uint64 { return differ.Digests(s.current.items) }

// Set validates a complete version and puts it in force. Nothing changes on an error, which is ErrStale if the version is not newer
// than the one in force.
func (s *Store) Set(version tiller.Version, items []*wire.Item) error {
	upserts, removes := differ.Between(s.current.items, items)

	return s.install(revision{version: version, items: items, changed: changedPaths(upserts, removes), changesKnown: !s.current.version.IsZero()})
}

// changedPaths returns the paths of the items that a difference changes.
func changedPaths(upserts []*wire.Item, removes []string) []string {
	paths := slices.Clone(removes)
	for _, item := range upserts {
		paths = append(paths, item.GetPath())
	}

	return paths
}

func (s *Store) install(next revision) error {
	version := next.version
	if !version.NewerThan(s.current.version) {
		return eris.Wrapf(ErrStale, "have %s, got %s", s.current.version, version)
	}

	spec, err := s.decoder.Decode(next.items)
	if err != nil {
		return eris.Wrapf(err, "version %s", version)
	}

	document, faults := validator.Validate(spec)
	if len(faults) > 0 {
		return eris.Errorf("version %s is invalid: %d faults, first %s", version, len(faults), faults[0])
	}

	s.retainCurrent()
	s.current = next
	s.differences = map[tiller.Version]*wire.Difference{}
	s.document = document

	return nil
}

func (s *Store) retainCurrent() {
	if s.current.version.IsZero() || s.maxRecent == 0 {
		return
	}

	s.recent = append(s.recent, s.current)
	if len(s.recent) > s.maxRecent {
		s.recent = s.recent[1:]
	}
}

// Answer returns what a puller needs to reach the latest version, or nil if its version is not older. A difference with NeedDigests
// set asks the puller to pull again with its item digests, since its base is not stored here.
func (s *Store) Answer(p *wire.Pull) *wire.Difference {
	have := tiller.VersionOf(p.GetHave())
	if !s.current.version.NewerThan(have) {
		return nil
	}

	d := &wire.Difference{Base: p.GetHave(), Target: s.current.version.Wire()}

	switch {
	case p.GetWhole() || have.IsZero():
		d.Whole = true
		d.Upserts = s.current.items
	case len(p.GetItemDigests()) > 0:
		d.FromDigests = true
		d.Upserts = differ.Missing(p.GetItemDigests(), s.current.items)
		d.StalePositions = differ.Stale(p.GetItemDigests(), s.current.items)
	default:
		return s.differenceFrom(d, have)
	}

	return d
}

// differenceFrom fills in the difference from a stored base, or asks for the puller's item digests.
func (s *Store) differenceFrom(d *wire.Difference, base tiller.Version) *wire.Difference {
	if cached, ok := s.differences[base]; ok {
		return cached
	}

	for _, r := range s.recent {
		if r.version == base {
			d.Upserts, d.Removes = differ.Between(r.items, s.current.items)
			s.differences[base] = d

			return d
		}
	}

	d.NeedDigests = true

	return d
}

// maxRedundantBytes is the maximum size of a pushed difference that includes changes before the last one.
const maxRedundantBytes = 500

// LatestDifference returns the last change as a difference to push, or nil if it is not known or takes more than maxBytes. While the
// difference stays small it includes earlier changes too, so that it also applies at peers that missed these.
func (s *Store) LatestDifference(maxBytes int) *wire.Difference {
	var best *wire.Difference

	paths := tiller.NewSet[string]()

	for i, r := len(s.recent)-1, s.current; i >= 0 && r.changesKnown; i-- {
		for _, path := range r.changed {
			paths.Add(path)
		}

		r = s.recent[i]

		d := s.differenceOfPaths(r.version, paths)
		if proto.Size(d) > maxBytes {
			break
		}

		best, maxBytes = d, maxRedundantBytes
	}

	return best
}

// differenceOfPaths returns the difference from a base to the latest version, given the paths of all items that may differ.
func (s *Store) differenceOfPaths(base tiller.Version, paths tiller.Set[string]) *wire.Difference {
	d := &wire.Difference{Base: base.Wire(), Target: s.current.version.Wire()}

	for _, path := range paths.Sorted() {
		i, stored := slices.BinarySearchFunc(s.current.items, path, func(item *wire.Item, path string) int {
			return cmp.Compare(item.GetPath(), path)
		})
		if stored {
			d.Upserts = append(d.Upserts, s.current.items[i])
		} else {
			d.Removes = append(d.Removes, path)
		}
	}

	return d
}

// Merge applies a difference to the stored items, validates the result and puts it in force. Nothing changes on an error, which is
// ErrStale if the target is not newer than the version in force, and ErrBaseMismatch if the difference does not apply to it.
func (s *Store) Merge(d *wire.Difference) error {
	target := tiller.VersionOf(d.GetTarget())
	if !target.NewerThan(s.current.version) {
		return eris.Wrapf(ErrStale, "have %s, got %s", s.current.version, target)
	}

	base, err := s.mergeBase(d)
	if err != nil {
		return err
	}

	items, err := differ.Apply(base, d.GetUpserts(), d.GetRemoves(), target)

	switch {
	case err == nil:
		return s.install(s.mergedRevision(d, items))
	case !d.GetWhole() && tiller.VersionOf(d.GetBase()) != s.current.version:
		return eris.Wrap(ErrBaseMismatch, err.Error())
	default:
		return err
	}
}

// mergedRevision returns the revision that results from a difference.
func (s *Store) mergedRevision(d *wire.Difference, items []*wire.Item) revision {
	next := revision{version: tiller.VersionOf(d.GetTarget()), items: items, changesKnown: !d.GetWhole()}
	if d.GetWhole() {
		return next
	}

	next.changed = changedPaths(d.GetUpserts(), d.GetRemoves())
	for _, i := range d.GetStalePositions() {
		if int(i) < len(s.current.items) {
			next.changed = append(next.changed, s.current.items[i].GetPath())
		}
	}

	return next
}

// mergeBase returns the items that the difference applies to. A difference contains values rather than operations, so one from an
// older base may apply to the stored version as well; the target's content hash shows whether it did.
func (s *Store) mergeBase(d *wire.Difference) ([]*wire.Item, error) {
	base, stored := tiller.VersionOf(d.GetBase()), s.current.version

	switch {
	case d.GetWhole():
		return nil, nil
	case base == stored:
		return differ.Without(s.current.items, d.GetStalePositions()), nil
	case !d.GetFromDigests() && stored.NewerThan(base) && !base.IsZero():
		return s.current.items, nil
	default:
		return nil, eris.Wrapf(ErrBaseMismatch, "have %s, base %s", stored, base)
	}
}
