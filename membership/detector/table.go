package detector

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// record is an entry with what this node alone knows about it.
type record struct {
	entry     *wire.NodeEntry
	changedAt tiller.Millis
	sends     int
}

// table holds the entries of all data centres and caches what is asked often.
type table struct {
	records map[string]*record
	names   map[string][]string
	digests map[string]uint64
	// revision grows with every change.
	revision uint64
}

func newTable() *table {
	return &table{records: map[string]*record{}, names: map[string][]string{}, digests: map[string]uint64{}}
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
		t.unlist(e.GetName())
		t.list(e)
	}

	t.digests[e.GetDataCentre()] += entryHash(e)
	t.records[e.GetName()] = &record{entry: e, changedAt: now}
}

func (t *table) list(e *wire.NodeEntry) {
	names := t.names[e.GetDataCentre()]
	i, _ := slices.BinarySearch(names, e.GetName())
	t.names[e.GetDataCentre()] = slices.Insert(slices.Clone(names), i, e.GetName())
}

func (t *table) unlist(name string) {
	r := t.records[name]
	if r == nil {
		return
	}

	dc := r.entry.GetDataCentre()
	t.names[dc] = slices.DeleteFunc(slices.Clone(t.names[dc]), func(n string) bool { return n == name })
}

func (t *table) remove(name string) {
	r := t.records[name]
	if r == nil {
		return
	}

	t.revision++
	t.digests[r.entry.GetDataCentre()] -= entryHash(r.entry)
	t.unlist(name)
	delete(t.records, name)
}

// inDataCentre returns the entries of a data centre ordered by name.
func (t *table) inDataCentre(dc string) []*wire.NodeEntry {
	out := make([]*wire.NodeEntry, 0, len(t.names[dc]))
	for _, name := range t.names[dc] {
		out = append(out, t.records[name].entry)
	}

	return out
}

func (t *table) dataCentres() []string {
	out := make([]string, 0, len(t.names))

	for dc, names := range t.names {
		if len(names) > 0 {
			out = append(out, dc)
		}
	}

	slices.Sort(out)

	return out
}

// entryHash is zero for nodes that are gone, so that tombstones of different ages do not differ.
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

// contentHash covers what a node tells of itself beside the order of its entries.
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

	return d.Sum64()
}

func gone(e *wire.NodeEntry) bool {
	return e.GetLiveness() == wire.Liveness_LIVENESS_DEAD || e.GetLiveness() == wire.Liveness_LIVENESS_LEFT
}

// newer reports whether an entry replaces another one of the same node. A node whose clock was set back may start twice with the
// same incarnation; all nodes then prefer the same one of the two entries, so that the node hears of it and can refute it.
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

// Rank orders names by a hash, so that every node finds the same order without talking.
func Rank(name string) uint64 { return xxhash.Sum64String(name) }
