package detector

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// AllSequences is the sequence of a withdrawal that makes all announcements of a start void.
	AllSequences = math.MaxUint64
	// RecoveryTimeout is how long a node that has started waits for a peer that may remember its previous process.
	RecoveryTimeout tiller.Millis = 500

	// MaxWithdrawals bounds the withdrawals in an entry.
	MaxWithdrawals = 8

	// recoveryPeriod is how often such a node asks another seed.
	recoveryPeriod tiller.Millis = 100
)

// Withdrawal identifies a start of a backend server that is leaving. Its announcements are void up to a sequence.
type Withdrawal struct {
	Instance string
	// StartedAtMs is the time of the start in Unix milliseconds.
	StartedAtMs int64
	// Sequence is the last void announcement; AllSequences if all are.
	Sequence uint64
}

// FromWire returns withdrawals from their encoding.
func FromWire(ws []*wire.Withdrawal) []Withdrawal {
	out := make([]Withdrawal, 0, len(ws))
	for _, w := range ws {
		out = append(out, Withdrawal{Instance: w.GetInstance(), StartedAtMs: w.GetStartedAt(), Sequence: w.GetSequence()})
	}

	return out
}

// ToWire returns the encoding of withdrawals.
func ToWire(ws []Withdrawal) []*wire.Withdrawal {
	out := make([]*wire.Withdrawal, 0, len(ws))
	for _, w := range ws {
		out = append(out, &wire.Withdrawal{Instance: w.Instance, StartedAt: w.StartedAtMs, Sequence: w.Sequence})
	}

	return out
}

// missingFrom returns the withdrawals that a list lacks.
func missingFrom(list, ws []Withdrawal) []Withdrawal {
	return slices.DeleteFunc(slices.Clone(ws), func(w Withdrawal) bool { return slices.Contains(list, w) })
}

// latest returns the last withdrawals that an entry has room for.
func latest(ws []Withdrawal) []Withdrawal { return ws[max(0, len(ws)-MaxWithdrawals):] }

// Withdrawals returns the withdrawals in the node's own entry.
func (c *Core) Withdrawals() []Withdrawal { return FromWire(c.self.GetWithdrawals()) }

// RecoveryTimedOut reports whether the wait for what others remember of the node's previous process is over.
func (c *Core) RecoveryTimedOut() bool {
	return c.startedAt > 0 && c.now >= c.startedAt+RecoveryTimeout
}

// PeerAnswered reports whether a peer has told the node what it remembers of the node's previous process.
func (c *Core) PeerAnswered() bool { return c.contacted }

// restore adds to the node's own entry the withdrawals that only its peers remember from its previous process.
func (c *Core) restore(e *wire.NodeEntry) {
	c.contacted = true
	c.restoreWithdrawals(FromWire(e.GetWithdrawals()))
}

// restoreWithdrawals adds withdrawals of the previous process to the node's own entry.
func (c *Core) restoreWithdrawals(ws []Withdrawal) {
	missing := missingFrom(c.Withdrawals(), ws)
	if len(missing) == 0 {
		return
	}

	c.out.Restored = append(c.out.Restored, missing...)
	c.changeSelf(func(s *wire.NodeEntry) {
		s.Withdrawals = ToWire(latest(slices.Concat(missing, FromWire(s.GetWithdrawals()))))
	})
}

// carryOver returns the withdrawals of a node's previous process that the node's new entry lacks. They are kept beside the entry until the
// node has taken them back.
func carryOver(old *record, e *wire.NodeEntry) []Withdrawal {
	if old == nil || len(e.GetWithdrawals()) >= MaxWithdrawals {
		return nil
	}

	carried := old.carried
	if e.GetIncarnation() != old.entry.GetIncarnation() {
		carried = slices.Concat(carried, FromWire(old.entry.GetWithdrawals()))
	}

	return latest(missingFrom(FromWire(e.GetWithdrawals()), carried))
}

// withCarried returns a node's entry with the withdrawals that the node has to take back, or the entry itself if there are none.
func (r *record) withCarried() *wire.NodeEntry {
	if len(r.carried) == 0 {
		return r.entry
	}

	e, ok := proto.Clone(r.entry).(*wire.NodeEntry)
	if !ok {
		return r.entry
	}

	e.Withdrawals = append(e.Withdrawals, ToWire(r.carried)...)

	return e
}

// remind sends a node the withdrawals that it has to take back. In other data centres only the relays do so.
func (c *Core) remind(e *wire.NodeEntry) {
	r := c.table.records[e.GetName()]
	if r == nil || len(r.carried) == 0 || gone(r.entry) {
		return
	}

	if e.GetDataCentre() != c.self.GetDataCentre() && c.SelfRank() >= relaysPerDataCentre {
		return
	}

	c.send(e.GetAddress(), &wire.Envelope{Body: &wire.Envelope_TablePush{TablePush: &wire.TablePush{
		Entries: []*wire.NodeEntry{r.withCarried()}, DataCentre: e.GetDataCentre(),
	}}})
}
