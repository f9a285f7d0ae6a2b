// Package holder keeps a configuration version with its recent predecessors and answers pulls for it. Controllers and
// nodes serve versions alike, since the content hash tells whether a difference arrived whole.
package holder

import (
	"github.com/rotisserie/eris"

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
	items   []*wire.Item
}

// Holder keeps the newest version and a few predecessors.
type Holder struct {
	current  revision
	document tiller.Document
	decoder  *encoder.Decoder
	recent   []revision
	keep     int
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
	if !version.NewerThan(h.current.version) {
		return eris.Wrapf(ErrStale, "have %s, got %s", h.current.version, version)
	}

	spec, err := h.decoder.Decode(items)
	if err != nil {
		return eris.Wrapf(err, "version %s", version)
	}

	document, faults := validator.Validate(spec)
	if len(faults) > 0 {
		return eris.Errorf("version %s has %d faults, first %s", version, len(faults), faults[0])
	}

	h.remember()
	h.current = revision{version: version, items: items}
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
		h.fromBase(d, have)
	}

	return d
}

// fromBase fills in the difference to a remembered base, or asks for the puller's item digests.
func (h *Holder) fromBase(d *wire.Difference, base tiller.Version) {
	for _, r := range h.recent {
		if r.version == base {
			d.Upserts, d.Removes = differ.Between(r.items, h.current.items)

			return
		}
	}

	d.NeedDigests = true
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
	if err != nil {
		return err
	}

	return h.Set(target, items)
}

// mergeBase returns the items that the difference applies to.
func (h *Holder) mergeBase(d *wire.Difference) ([]*wire.Item, error) {
	if d.GetWhole() {
		return nil, nil
	}

	if tiller.VersionOf(d.GetBase()) != h.current.version {
		return nil, eris.Wrapf(ErrOtherBase, "have %s, base %s", h.current.version, tiller.VersionOf(d.GetBase()))
	}

	return differ.Without(h.current.items, d.GetStalePositions()), nil
}
