// Package arbiter implements the replicated state machine of the controllers: it resolves conflicts between concurrent edits and
// stores their outcomes, the history of versions and the placement of claim groups. Equal logs give equal states.
package arbiter

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/differ"
	"gitlab.com/sycamoretiller/sycamoretiller/document/encoder"
	"gitlab.com/sycamoretiller/sycamoretiller/document/validator"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// OutcomeWindow is how long the outcome of an edit is stored.
	OutcomeWindow = 24 * tiller.Hour
	// MaxOutcomes bounds the number of stored outcomes.
	MaxOutcomes = 20_000
	// MaxHistory bounds the number of accepted versions in the history.
	MaxHistory = 500
	// MaxEditIDBytes bounds the length of an edit id.
	MaxEditIDBytes = 64

	maxChangedPaths = 32
)

// State is the replicated state at one index of the log.
type State struct {
	generation   uint64
	version      tiller.Version
	items        []*wire.Item
	outcomes     map[string]*wire.Outcome
	outcomeOrder []string
	history      []*wire.HistoryEntry
	placements   *wire.ClaimPlacements
	now          tiller.Millis
}

// New returns the state before the first edit of a generation.
func New(generation uint64) *State {
	return &State{generation: generation, outcomes: map[string]*wire.Outcome{}, placements: &wire.ClaimPlacements{}}
}

// NewRecovered returns the state of a generation that starts from a recovered document.
func NewRecovered(version tiller.Version, items []*wire.Item, placements *wire.ClaimPlacements) *State {
	s := New(version.Generation())
	s.version = version
	s.items = items

	if placements != nil {
		s.placements = placements
	}

	return s
}

// Apply applies a committed command and returns the outcome of an edit, nil for other commands.
func (s *State) Apply(index uint64, command *wire.Command) *wire.Outcome {
	s.now = max(s.now, tiller.Millis(command.GetAt()))

	switch c := command.GetChange().(type) {
	case *wire.Command_Edit:
		return s.applyEdit(index, c.Edit)
	case *wire.Command_ClaimPlacement:
		s.applyPlacement(c.ClaimPlacement)
	default:
	}

	return nil
}

// applyEdit accepts an edit whose base is the version in force; a repeated edit id returns the stored outcome.
func (s *State) applyEdit(index uint64, e *wire.Edit) *wire.Outcome {
	s.expire()

	if first, ok := s.outcomes[e.GetId()]; ok {
		return first
	}

	o := &wire.Outcome{EditId: e.GetId(), At: int64(s.now), Author: e.GetAuthor(), RequestHash: e.GetRequestHash()}
	o.Accepted = s.baseMatches(e) && s.applyDelta(index, e)
	o.Conflict = !o.GetAccepted()
	o.Version = s.version.Wire()
	s.outcomes[e.GetId()] = o
	s.outcomeOrder = append(s.outcomeOrder, e.GetId())

	return o
}

func (s *State) baseMatches(e *wire.Edit) bool {
	if e.GetByRevision() {
		return e.GetBaseRevision() == s.Revision()
	}

	base := tiller.VersionOf(e.GetBase())

	return base.Compare(s.version) == 0 && base.SameContent(s.version)
}

// applyDelta applies the difference of an edit and reports whether the result has the edit's target hash. If not, nothing changes.
func (s *State) applyDelta(index uint64, e *wire.Edit) bool {
	version := tiller.NewVersion(s.generation, index, e.GetTargetHash())

	items, err := differ.Apply(s.items, e.GetItems(), e.GetRemoves(), version)
	if err != nil {
		return false
	}

	s.items = items
	s.version = version

	changed := slices.Clone(e.GetRemoves())
	for _, item := range e.GetItems() {
		changed = append(changed, item.GetPath())
	}

	slices.Sort(changed)
	s.history = append(s.history, &wire.HistoryEntry{
		Version: s.version.Wire(), EditId: e.GetId(), Author: e.GetAuthor(), Reason: e.GetReason(),
		At: int64(s.now), Changed: changed[:min(len(changed), maxChangedPaths)],
	})

	if len(s.history) > MaxHistory {
		s.history = s.history[len(s.history)-MaxHistory:]
	}

	return true
}

// DeltaEdit returns an edit for the log: its items are the difference from the version in force to those of e. The version in force
// is the base of e unless the edit conflicts.
func (s *State) DeltaEdit(e *wire.Edit) *wire.Edit {
	upserts, removes := differ.Between(s.items, e.GetItems())

	return &wire.Edit{
		Id: e.GetId(), Base: e.GetBase(), Author: e.GetAuthor(), Reason: e.GetReason(), Items: upserts, Removes: removes,
		TargetHash: encoder.Hash(e.GetItems()), RequestHash: RequestHash(e),
		BaseRevision: e.GetBaseRevision(), ByRevision: e.GetByRevision(),
	}
}

func (s *State) expire() {
	for len(s.outcomeOrder) > 0 {
		first := s.outcomes[s.outcomeOrder[0]]
		if len(s.outcomeOrder) <= MaxOutcomes && tiller.Millis(first.GetAt())+OutcomeWindow > s.now {
			return
		}

		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// applyPlacement accepts a claim group whose epoch follows the one in force.
func (s *State) applyPlacement(p *wire.ClaimPlacement) {
	for i, old := range s.placements.GetPlacements() {
		if old.GetDataCentre() != p.GetDataCentre() {
			continue
		}

		if p.GetEpoch() == old.GetEpoch()+1 {
			s.replacePlacement(i, p)
		}

		return
	}

	if p.GetEpoch() == 1 {
		s.replacePlacement(-1, p)
	}
}

// replacePlacement copies the list, since messages to nodes may still refer to the old one.
func (s *State) replacePlacement(i int, p *wire.ClaimPlacement) {
	list := slices.Clone(s.placements.GetPlacements())
	if i < 0 {
		list = append(list, p)
	} else {
		list[i] = p
	}

	s.placements = &wire.ClaimPlacements{Revision: s.placements.GetRevision() + 1, Placements: list}
}

// Outcome returns the stored outcome of an edit.
func (s *State) Outcome(id string) (*wire.Outcome, bool) {
	o, ok := s.outcomes[id]

	return o, ok
}

// Version returns the version in force.
func (s *State) Version() tiller.Version { return s.version }

// Revision returns the operators' revision number of the document in force, zero if it has none.
func (s *State) Revision() uint64 { return encoder.Revision(s.items) }

// Items returns the items in force.
func (s *State) Items() []*wire.Item { return s.items }

// History returns the accepted versions, oldest first.
func (s *State) History() []*wire.HistoryEntry { return s.history }

// HistorySince returns the accepted versions newer than a base, oldest first.
func (s *State) HistorySince(base tiller.Version) []*wire.HistoryEntry {
	for i, h := range s.history {
		if tiller.VersionOf(h.GetVersion()).NewerThan(base) {
			return s.history[i:]
		}
	}

	return nil
}

// Placements returns the claim groups of the data centres.
func (s *State) Placements() *wire.ClaimPlacements { return s.placements }

// Encode returns the serialized state for a snapshot.
func (s *State) Encode() ([]byte, error) {
	p := &wire.ArbiterState{Version: s.version.Wire(), Items: s.items, History: s.history, Placements: s.placements, Now: int64(s.now)}
	p.Version.Generation = s.generation

	for _, id := range s.outcomeOrder {
		p.Outcomes = append(p.Outcomes, s.outcomes[id])
	}

	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)

	return out, eris.Wrap(err, "encode state")
}

// Decode returns the state serialized in a snapshot.
func Decode(data []byte) (*State, error) {
	var p wire.ArbiterState
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}

	s := New(p.GetVersion().GetGeneration())
	s.items = p.GetItems()
	s.history = p.GetHistory()
	s.now = tiller.Millis(p.GetNow())

	if p.GetVersion().GetIndex() > 0 {
		s.version = tiller.VersionOf(p.GetVersion())
	}

	if p.GetPlacements() != nil {
		s.placements = p.GetPlacements()
	}

	for _, o := range p.GetOutcomes() {
		s.outcomes[o.GetEditId()] = o
		s.outcomeOrder = append(s.outcomeOrder, o.GetEditId())
	}

	return s, nil
}

// RequestHash returns a digest of an edit's base and items, which distinguishes a retry from another edit under the same id.
func RequestHash(e *wire.Edit) []byte {
	h := sha256.New()
	h.Write(e.GetBase().GetHash())
	h.Write([]byte(tiller.VersionOf(e.GetBase()).String()))
	h.Write(encoder.Hash(e.GetItems()))

	if e.GetByRevision() {
		h.Write(strconv.AppendUint(nil, e.GetBaseRevision(), 10))
	}

	return h.Sum(nil)[:encoder.HashBytes]
}

// ValidateEdit returns all faults of an edit that can be found without the replicated state.
func ValidateEdit(e *wire.Edit) []string {
	var faults []string

	if n := len(e.GetId()); n == 0 || n > MaxEditIDBytes {
		faults = append(faults, "edit id must have 1 to 64 bytes")
	}

	if !slices.IsSortedFunc(e.GetItems(), func(a, b *wire.Item) int { return bytes.Compare([]byte(a.GetPath()), []byte(b.GetPath())) }) {
		faults = append(faults, "items must be ordered by path")
	}

	if revision := encoder.Revision(e.GetItems()); e.GetByRevision() && revision <= e.GetBaseRevision() {
		faults = append(faults, fmt.Sprintf("revision %d must be above its base %d", revision, e.GetBaseRevision()))
	}

	return append(faults, ValidateItems(e.GetItems())...)
}

// ValidateItems returns all faults of a document in canonical form.
func ValidateItems(items []*wire.Item) []string {
	spec, err := encoder.Decode(items)
	if err != nil {
		return []string{err.Error()}
	}

	var faults []string

	_, found := validator.Validate(spec)
	for _, f := range found {
		faults = append(faults, f.String())
	}

	return faults
}
