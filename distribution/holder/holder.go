// Package holder keeps a configuration version with its recent predecessors and answers pulls for it. Controllers and
// nodes serve versions alike, since the content hash tells whether a difference arrived whole.
package holder

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

// Errors of a difference.
var (
	ErrOtherBase = eris.New("difference is for another base")
	ErrStale     = eris.New("difference is not newer")
)

type revision struct {
	version tiller.Version
	// items are ordered by path.
	items []*wire.Item
	// touched holds at least the paths of the items that differ from the revision before, where comparable is set.
	touched    []string
	comparable bool
}

// Holder keeps the newest version and a few predecessors.
type Holder struct {
	current  revision
	document tiller.Document
	decoder  *encoder.Decoder
	recent   []revision
	keep     int
	// answers holds the differences to the newest version from recent bases that were asked for: many holders ask for the same one.
	answers map[tiller.Version]*wire.Difference
}

// New returns a holder that remembers a number of predecessors to compute differences from.
func New(keep int) *Holder {
	return &Holder{keep: keep, decoder: encoder.NewDecoder()}
}

// Version returns the newest version.
func (h *Holder) Version() tiller.Version { return h.current.version }

// Items returns the newest version's items.
func (h *Holder) Items() []*wire.Item { return h.current.items }

// Document returns the newest version's document.
func (h *Holder) Document() tiller.Document { return h.document }

// Digests returns the digests of the newest version's items.
func (h *Holder) Digests() []uint64 { return differ.Digests(h.current.items) }

// Set validates a version and puts it in force whole; an older or invalid one changes nothing.
func (h *Holder) Set(version tiller.Version, items []*wire.Item) error {
	upserts, removes := differ.Between(h.current.items, items)

	return h.set(revision{version: version, items: items, touched: touchedBy(upserts, removes), comparable: !h.current.version.IsZero()})
}

// touchedBy returns the paths of a difference.
func touchedBy(upserts []*wire.Item, removes []string) []string {
	paths := slices.Clone(removes)
	for _, item := range upserts {
		paths = append(paths, item.GetPath())
	}

	return paths
}

func (h *Holder) set(next revision) error {
	version := next.version
	if !version.NewerThan(h.current.version) {
		return eris.Wrapf(ErrStale, "have %s, got %s", h.current.version, version)
	}

	spec, err := h.decoder.Decode(next.items)
	if err != nil {
		return eris.Wrapf(err, "version %s", version)
	}

	document, faults := validator.Validate(spec)
	if len(faults) > 0 {
		return eris.Errorf("version %s has %d faults, first %s", version, len(faults), faults[0])
	}

	h.remember()
	h.current = next
	h.answers = map[tiller.Version]*wire.Difference{}
	h.document = document

	return nil
}

func (h *Holder) remember() {
	if h.current.version.IsZero() || h.keep == 0 {
		return
	}

	h.recent = append(h.recent, h.current)
	if len(h.recent) > h.keep {
		h.recent = h.recent[1:]
	}
}

// Answer returns what a puller needs to reach the newest version, nil if it is not behind.
func (h *Holder) Answer(p *wire.Pull) *wire.Difference {
	have := tiller.VersionOf(p.GetHave())
	if !h.current.version.NewerThan(have) {
		return nil
	}

	d := &wire.Difference{Base: p.GetHave(), Target: h.current.version.Wire()}

	switch {
	case p.GetWhole() || have.IsZero():
		d.Whole = true
		d.Upserts = h.current.items
	case len(p.GetItemDigests()) > 0:
		d.FromDigests = true
		d.Upserts = differ.Missing(p.GetItemDigests(), h.current.items)
		d.StalePositions = differ.Stale(p.GetItemDigests(), h.current.items)
	default:
		return h.fromBase(d, have)
	}

	return d
}

// fromBase fills in the difference to a remembered base, or asks for the puller's item digests.
func (h *Holder) fromBase(d *wire.Difference, base tiller.Version) *wire.Difference {
	if known, ok := h.answers[base]; ok {
		return known
	}

	for _, r := range h.recent {
		if r.version == base {
			d.Upserts, d.Removes = differ.Between(r.items, h.current.items)
			h.answers[base] = d

			return d
		}
	}

	d.NeedDigests = true

	return d
}

// redundantBytes is up to which size a pushed difference also holds the changes before the last one.
const redundantBytes = 500

// Latest returns the difference to the newest version, with the changes before the last one while it stays small, so that it also applies
// at holders that missed those; nil if the last change alone takes more than a number of bytes.
func (h *Holder) Latest(maxBytes int) *wire.Difference {
	var best *wire.Difference

	paths := tiller.NewSet[string]()

	for i, r := len(h.recent)-1, h.current; i >= 0 && r.comparable; i-- {
		for _, path := range r.touched {
			paths.Add(path)
		}

		r = h.recent[i]

		d := h.since(r.version, paths)
		if proto.Size(d) > maxBytes {
			break
		}

		best, maxBytes = d, redundantBytes
	}

	return best
}

// since returns the difference from a base to the newest version where the items that may differ are known.
func (h *Holder) since(base tiller.Version, paths tiller.Set[string]) *wire.Difference {
	d := &wire.Difference{Base: base.Wire(), Target: h.current.version.Wire()}

	for _, path := range paths.Sorted() {
		i, held := slices.BinarySearchFunc(h.current.items, path, func(item *wire.Item, path string) int {
			return cmp.Compare(item.GetPath(), path)
		})
		if held {
			d.Upserts = append(d.Upserts, h.current.items[i])
		} else {
			d.Removes = append(d.Removes, path)
		}
	}

	return d
}

// Merge applies a difference to the held items. Nothing changes on an error.
func (h *Holder) Merge(d *wire.Difference) error {
	target := tiller.VersionOf(d.GetTarget())
	if !target.NewerThan(h.current.version) {
		return eris.Wrapf(ErrStale, "have %s, got %s", h.current.version, target)
	}

	base, err := h.mergeBase(d)
	if err != nil {
		return err
	}

	items, err := differ.Apply(base, d.GetUpserts(), d.GetRemoves(), target)

	switch {
	case err == nil:
		return h.set(h.merged(d, items))
	case !d.GetWhole() && tiller.VersionOf(d.GetBase()) != h.current.version:
		return eris.Wrap(ErrOtherBase, err.Error())
	default:
		return err
	}
}

// merged returns the revision that a difference leads to.
func (h *Holder) merged(d *wire.Difference, items []*wire.Item) revision {
	next := revision{version: tiller.VersionOf(d.GetTarget()), items: items, comparable: !d.GetWhole()}
	if d.GetWhole() {
		return next
	}

	next.touched = touchedBy(d.GetUpserts(), d.GetRemoves())
	for _, i := range d.GetStalePositions() {
		if int(i) < len(h.current.items) {
			next.touched = append(next.touched, h.current.items[i].GetPath())
		}
	}

	return next
}

// mergeBase returns the items that the difference applies to. A difference holds values and not steps, so that one from a version before
// the held one applies as well; the content hash of the target tells whether it did.
func (h *Holder) mergeBase(d *wire.Difference) ([]*wire.Item, error) {
	base, held := tiller.VersionOf(d.GetBase()), h.current.version

	switch {
	case d.GetWhole():
		return nil, nil
	case base == held:
		return differ.Without(h.current.items, d.GetStalePositions()), nil
	case !d.GetFromDigests() && held.NewerThan(base) && !base.IsZero():
		return h.current.items, nil
	default:
		return nil, eris.Wrapf(ErrOtherBase, "have %s, base %s", held, base)
	}
}
