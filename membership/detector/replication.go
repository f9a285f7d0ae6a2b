package detector

import (
	"slices"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

const (
	// ReplicationTimeout is how long a node waits for copies of its entry; it leaves time to answer a backend server that waits a second.
	ReplicationTimeout tiller.Millis = 700

	// replicationPeriod is how often an entry is sent again to the peers that have not confirmed it.
	replicationPeriod tiller.Millis = 150
	// copiesRequired is how many other nodes must store an entry, one of them in another data centre if one is known.
	copiesRequired = 3
	// localCopies and remoteCopies are how many nodes of the own data centre and of others an entry is sent to.
	localCopies  = 4
	remoteCopies = 4
)

// Replication is the result of a Replicate.
type Replication struct {
	Token uint64
	// Stored is set if enough peers store the entry.
	Stored bool
	// Archived is set if a majority of the controllers also stores its withdrawals. The detector leaves it unset.
	Archived bool
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

	var remote [][]*wire.NodeEntry

	for _, dc := range c.remoteDataCentres() {
		if relays := c.relaysOf(dc); len(relays) > 0 {
			remote = append(remote, relays)
		}
	}

	c.random.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })

	for _, relays := range remote[:min(len(remote), remoteCopies)] {
		targets = append(targets, c.sample(unconfirmed(relays), 1)...)
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
