package detector

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// record is an entry with this node's own bookkeeping of it.
type record struct {
	entry     *wire.NodeEntry
	changedAt tiller.Millis
	// carried are the withdrawals of the node's previous process that the node has not taken back yet.
	carried []Withdrawal
	// transmissions counts how often the entry was piggybacked since it changed.
	transmissions int
}

// table stores the entries of all data centres, with the names and a digest of each data centre.
type table struct {
	records map[string]*record
	// namesByDataCentre lists the node names of each data centre in order. The lists are replaced, never changed in place.
	namesByDataCentre map[string][]string
	digests           map[string]uint64
	// revision grows with every change of an entry.
	revision uint64
}

func newTable() *table {
	return &table{records: map[string]*record{}, namesByDataCentre: map[string][]string{}, digests: map[string]uint64{}}
}

func (t *table) entry(name string) *wire.NodeEntry {
	if r := t.records[name]; r != nil {
		return r.entry
	}

	return nil
}

func (t *table) put(e *wire.NodeEntry, now tiller.Millis) {
	t.revision++

	old := t.records[e.GetName()]
	if old != nil {
		t.digests[old.entry.GetDataCentre()] -= entryHash(old.entry)
	}

	if old == nil || old.entry.GetDataCentre() != e.GetDataCentre() {
		t.removeName(e.GetName())
		t.addName(e)
	}

	t.digests[e.GetDataCentre()] += entryHash(e)
	t.records[e.GetName()] = &record{entry: e, changedAt: now, carried: carryOver(old, e)}
}

func (t *table) addName(e *wire.NodeEntry) {
	names := t.namesByDataCentre[e.GetDataCentre()]
	i, _ := slices.BinarySearch(names, e.GetName())
	t.namesByDataCentre[e.GetDataCentre()] = slices.Insert(slices.Clone(names), i, e.GetName())
}

func (t *table) removeName(name string) {
	r := t.records[name]
	if r == nil {
		return
	}

	dc := r.entry.GetDataCentre()
	t.namesByDataCentre[dc] = slices.DeleteFunc(slices.Clone(t.namesByDataCentre[dc]), func(n string) bool { return n == name })
}

func (t *table) remove(name string) {
	r := t.records[name]
	if r == nil {
		return
	}

	t.revision++
	t.digests[r.entry.GetDataCentre()] -= entryHash(r.entry)
	t.removeName(name)
	delete(t.records, name)
}

// inDataCentre returns the entries of a data centre ordered by name.
func (t *table) inDataCentre(dc string) []*wire.NodeEntry {
	out := make([]*wire.NodeEntry, 0, len(t.namesByDataCentre[dc]))
	for _, name := range t.namesByDataCentre[dc] {
		out = append(out, t.records[name].entry)
	}

	return out
}

func (t *table) dataCentres() []string {
	out := make([]string, 0, len(t.namesByDataCentre))

	for dc, names := range t.namesByDataCentre {
		if len(names) > 0 {
			out = append(out, dc)
		}
	}

	slices.Sort(out)

	return out
}

// entryHash returns an entry's part of its data centre's digest. It is zero for tombstones, since nodes remove them at different times.
func entryHash(e *wire.NodeEntry) uint64 {
	if gone(e) {
		return 0
	}

	var b [24]byte

	binary.BigEndian.PutUint64(b[0:], e.GetIncarnation())
	binary.BigEndian.PutUint64(b[8:], e.GetSequence())
	binary.BigEndian.PutUint64(b[16:], uint64(e.GetLiveness()))

	d := xxhash.New()
	_, _ = d.WriteString(e.GetName())
	_, _ = d.Write(b[:])

	return d.Sum64() + contentHash(e)
}

// contentHash covers what a node reports of itself, without what orders its entries (incarnation, sequence and liveness).
func contentHash(e *wire.NodeEntry) uint64 {
	d := xxhash.New()

	for _, text := range []string{e.GetDataCentre(), e.GetAddress(), e.GetCallAddress(), e.GetService(), e.GetInstance()} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}

	var b [40]byte

	binary.BigEndian.PutUint64(b[0:], uint64(e.GetState()))
	binary.BigEndian.PutUint64(b[8:], uint64(e.GetSlots()))
	binary.BigEndian.PutUint64(b[16:], uint64(e.GetConnections()))
	binary.BigEndian.PutUint64(b[24:], uint64(e.GetReadySince()))
	binary.BigEndian.PutUint64(b[32:], uint64(e.GetColdUntil()))
	_, _ = d.Write(b[:])

	for _, w := range e.GetWithdrawals() {
		_, _ = fmt.Fprintf(d, "%s %d %d ", w.GetInstance(), w.GetStartedAt(), w.GetSequence())
	}

	return d.Sum64()
}

// gone reports whether a node is dead or has left.
func gone(e *wire.NodeEntry) bool {
	return e.GetLiveness() == wire.Liveness_LIVENESS_DEAD || e.GetLiveness() == wire.Liveness_LIVENESS_LEFT
}

// newer reports whether an entry replaces another one of the same node. A node whose clock was set back may start twice with the
// same incarnation; all nodes then prefer the same one of the two entries, so that the node receives and refutes it.
func newer(e, old *wire.NodeEntry) bool {
	order := cmp.Or(
		cmp.Compare(e.GetIncarnation(), old.GetIncarnation()),
		cmp.Compare(e.GetSequence(), old.GetSequence()),
		cmp.Compare(e.GetLiveness(), old.GetLiveness()),
	)
	if order != 0 {
		return order > 0
	}

	return e != old && contentHash(e) > contentHash(old)
}

func withLiveness(e *wire.NodeEntry, l wire.Liveness) *wire.NodeEntry {
	c, ok := proto.Clone(e).(*wire.NodeEntry)
	if !ok {
		return e
	}

	c.Liveness = l

	return c
}

// Rank returns a hash of a node's name, by which every node derives the same order of nodes without coordination.
func Rank(name string) uint64 { return xxhash.Sum64String(name) }
