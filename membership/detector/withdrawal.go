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
	// ReplicationTimeout is how long a node waits for copies of its entry; it leaves time to answer a backend server that waits a second.
	ReplicationTimeout tiller.Millis = 700
	// RecoveryTimeout is how long a node that has started waits for a peer that may remember its previous process.
	RecoveryTimeout tiller.Millis = 500

	// recoveryPeriod is how often such a node asks another seed.
	recoveryPeriod tiller.Millis = 100
	// replicationPeriod is how often an entry is sent again to the peers that have not confirmed it.
	replicationPeriod tiller.Millis = 150
	// maxWithdrawals bounds the withdrawals in an entry.
	maxWithdrawals = 8
	// copiesRequired is how many other nodes must store an entry, one of them in another data centre if one is known.
	copiesRequired = 3
	// localCopies and remoteCopies are how many nodes of the own data centre and of others an entry is sent to.
	localCopies  = 4
	remoteCopies = 4
)

// Withdrawal identifies a start of a backend server that is leaving. Its announcements are void up to a sequence.
type Withdrawal struct {
	Instance string
	// StartedAtMs is the time of the start in Unix milliseconds.
	StartedAtMs int64
	// Sequence is the last void announcement; AllSequences if all are.
	Sequence uint64
}

// Replicate sends the node's entry to peers until enough of them store it. The result is in Effects.Replicated.
type Replicate struct{ Token uint64 }

func (Replicate) input() {}

// Replication is the result of a Replicate.
type Replication struct {
	Token uint64
	// Stored is set if enough peers store the entry.
	Stored bool
}

// replication is a Replicate in progress.
type replication struct {
	token       uint64
	nonce       uint64
	incarnation uint64
	deadline    tiller.Millis
	nextSendAt  tiller.Millis
	confirmed   tiller.Set[string]
}

func fromWire(ws []*wire.Withdrawal) []Withdrawal {
	out := make([]Withdrawal, 0, len(ws))
	for _, w := range ws {
		out = append(out, Withdrawal{Instance: w.GetInstance(), StartedAtMs: w.GetStartedAt(), Sequence: w.GetSequence()})
	}

	return out
}

func toWire(ws []Withdrawal) []*wire.Withdrawal {
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
func latest(ws []Withdrawal) []Withdrawal { return ws[max(0, len(ws)-maxWithdrawals):] }

// Withdrawals returns the withdrawals in the node's own entry.
func (c *Core) Withdrawals() []Withdrawal { return fromWire(c.self.GetWithdrawals()) }

// Recovered reports whether a peer has told the node what it remembers of the node's previous process, or whether the wait for one is over.
func (c *Core) Recovered() bool {
	return c.contacted || (c.startedAt > 0 && c.now >= c.startedAt+RecoveryTimeout)
}

// restore adds to the node's own entry the withdrawals that only its peers remember from its previous process.
func (c *Core) restore(e *wire.NodeEntry) {
	c.contacted = true
	own := c.Withdrawals()

	missing := missingFrom(own, fromWire(e.GetWithdrawals()))
	if len(missing) == 0 {
		return
	}

	c.out.Restored = append(c.out.Restored, missing...)
	c.changeSelf(func(s *wire.NodeEntry) { s.Withdrawals = toWire(latest(slices.Concat(missing, own))) })
}

// carryOver returns the withdrawals of a node's previous process that the node's new entry lacks. They are kept beside the entry until the
// node has taken them back.
func carryOver(old *record, e *wire.NodeEntry) []Withdrawal {
	if old == nil || len(e.GetWithdrawals()) >= maxWithdrawals {
		return nil
	}

	carried := old.carried
	if e.GetIncarnation() != old.entry.GetIncarnation() {
		carried = slices.Concat(carried, fromWire(old.entry.GetWithdrawals()))
	}

	return latest(missingFrom(fromWire(e.GetWithdrawals()), carried))
}

// withCarried returns a node's entry with the withdrawals that the node has to take back, or the entry itself if there are none.
func (r *record) withCarried() *wire.NodeEntry {
	e, ok := proto.Clone(r.entry).(*wire.NodeEntry)
	if len(r.carried) == 0 || !ok {
		return r.entry
	}

	e.Withdrawals = append(e.Withdrawals, toWire(r.carried)...)

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

func (c *Core) replicate(token uint64) {
	r := &replication{
		token: token, nonce: c.random.Uint64() | 1, deadline: c.now + ReplicationTimeout, confirmed: tiller.NewSet[string](),
		incarnation: c.self.GetIncarnation(),
	}
	c.replications = append(c.replications, r)
	c.sendCopies(r)
	c.finishReplications()
}

// tickReplications sends the entry again where it is unconfirmed and ends the replications that took too long.
func (c *Core) tickReplications() {
	for _, r := range c.replications {
		if c.now >= r.nextSendAt {
			c.sendCopies(r)
		}
	}

	c.finishReplications()
}

// sendCopies sends the entry to a sample of the peers that have not confirmed it.
func (c *Core) sendCopies(r *replication) {
	r.nextSendAt = c.now + replicationPeriod

	unconfirmed := func(entries []*wire.NodeEntry) []*wire.NodeEntry {
		return slices.DeleteFunc(entries, func(e *wire.NodeEntry) bool { return r.confirmed.Has(e.GetName()) })
	}

	targets := c.sample(unconfirmed(c.localPeers()), localCopies)

	remote := c.remoteDataCentres()
	c.random.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })

	for i := range min(len(remote), remoteCopies) {
		targets = append(targets, c.sample(unconfirmed(c.relaysOf(remote[i])), 1)...)
	}

	for _, e := range targets {
		c.sendProbe(e.GetAddress(), r.nonce, e.GetName(), "")
	}
}

// relaysOf returns the nodes of another data centre that exchange entries with other data centres.
func (c *Core) relaysOf(dc string) []*wire.NodeEntry {
	ranked := c.Ranked(tiller.DataCentre(dc))

	return ranked[:min(len(ranked), relaysPerDataCentre)]
}

// remoteDataCentres returns the other data centres that have nodes which are neither dead nor have left.
func (c *Core) remoteDataCentres() []string {
	return slices.DeleteFunc(c.table.dataCentres(), func(dc string) bool {
		return dc == c.self.GetDataCentre() || len(c.Ranked(tiller.DataCentre(dc))) == 0
	})
}

// confirmCopy records that a peer stores the node's entry. It does not if it knows of a later process of this node.
func (c *Core) confirmCopy(nonce uint64, peer string) {
	for _, r := range c.replications {
		if r.nonce == nonce && r.incarnation == c.self.GetIncarnation() {
			r.confirmed.Add(peer)
		}
	}

	c.finishReplications()
}

func (c *Core) finishReplications() {
	c.replications = slices.DeleteFunc(c.replications, func(r *replication) bool {
		if r.incarnation != c.self.GetIncarnation() {
			r.incarnation = c.self.GetIncarnation()
			r.confirmed = tiller.NewSet[string]()
		}

		stored := c.enoughCopies(r)
		if !stored && c.now < r.deadline {
			return false
		}

		c.out.Replicated = append(c.out.Replicated, Replication{Token: r.token, Stored: stored})

		return true
	})
}

// enoughCopies reports whether enough peers have confirmed the entry. In a small fleet all known peers are enough.
func (c *Core) enoughCopies(r *replication) bool {
	var local, remote, localStored, remoteStored int

	for _, e := range c.Entries() {
		stored := r.confirmed.Has(e.GetName())

		switch {
		case gone(e) || e.GetName() == c.self.GetName():
		case e.GetDataCentre() == c.self.GetDataCentre():
			local++

			if stored {
				localStored++
			}
		default:
			remote++

			if stored {
				remoteStored++
			}
		}
	}

	return localStored+remoteStored >= min(copiesRequired, local+remote) && remoteStored >= min(1, remote)
}
