package replicator

import (
	"google.golang.org/protobuf/proto"

	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

func (c *Core) lastIndex() uint64 {
	return c.snapshot.GetIndex() + uint64(len(c.entries))
}

func (c *Core) entry(index uint64) *wire.Entry {
	first := c.snapshot.GetIndex() + 1
	if index < first || index > c.lastIndex() {
		return nil
	}

	return c.entries[index-first]
}

func (c *Core) termAt(index uint64) uint64 {
	if index == c.snapshot.GetIndex() {
		return c.snapshot.GetTerm()
	}

	return c.entry(index).GetTerm()
}

func (c *Core) hasIndex(index uint64) bool {
	return index >= c.snapshot.GetIndex() && index <= c.lastIndex()
}

// truncate removes the entries after an index.
func (c *Core) truncate(index uint64) {
	if index >= c.lastIndex() {
		return
	}

	c.entries = c.entries[:index-c.snapshot.GetIndex()]
	c.record().Truncates = true
	c.record().TruncateAfter = index

	if c.membersIndex > index {
		c.reloadMembers()
	}
}

// compact replaces the log up to an index by a snapshot of the state machine and keeps the later entries for followers.
func (c *Core) compact(index uint64, data []byte) {
	if index <= c.snapshot.GetIndex() || index > c.applied {
		return
	}

	s := &wire.Snapshot{
		Index: index, Term: c.termAt(index), Data: data, Cluster: c.cluster,
		Members: &wire.Members{Members: c.membersAt(index)},
	}
	c.entries = append([]*wire.Entry(nil), c.entries[index-c.snapshot.GetIndex():]...)
	c.snapshot = s
	c.out.Snapshot = s
}

// membersAt returns the membership in force at an index of the log.
func (c *Core) membersAt(index uint64) []*wire.Member {
	members := c.snapshot.GetMembers().GetMembers()

	for _, e := range c.entries {
		if e.GetIndex() > index {
			break
		}

		if m, ok := membersOf(e); ok {
			members = m
		}
	}

	return members
}

func membersOf(e *wire.Entry) ([]*wire.Member, bool) {
	if e.GetKind() != wire.EntryKind_ENTRY_KIND_VOTERS {
		return nil, false
	}

	var m wire.Members
	if err := proto.Unmarshal(e.GetData(), &m); err != nil {
		return nil, false
	}

	return m.GetMembers(), true
}
