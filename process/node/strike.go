package node

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// strikeAckTimeout is the maximum time for which the answer to a call is delayed while recipients acknowledge its strikes.
const strikeAckTimeout tiller.Millis = 200

// pendingStrike is a strike that recipients have yet to acknowledge.
type pendingStrike struct {
	token     uint64
	nonce     uint64
	acked     tiller.Set[string]
	remaining int
	deadline  tiller.Millis
}

// strikeTracker tracks the acknowledgements of this node's strikes and detects repeated deliveries of strikes from others.
type strikeTracker struct {
	random  *rand.Rand
	pending []*pendingStrike
	seen    map[strikeID]struct{}
	order   []strikeID
	// base distinguishes this process's crashes from those of others, zero until the first crash.
	base uint64
}

// strikeID identifies a strike, so that repeated deliveries of it count once.
type strikeID struct {
	nonce  uint64
	digest quarantiner.Digest
}

// maxSeenStrikes is the number of strikes remembered to detect repeated deliveries.
const maxSeenStrikes = 4096

func newStrikeTracker(random *rand.Rand) *strikeTracker {
	return &strikeTracker{random: random, seen: map[strikeID]struct{}{}}
}

// firstSeen reports whether a strike is received for the first time, and remembers it.
func (t *strikeTracker) firstSeen(id strikeID) bool {
	if _, ok := t.seen[id]; ok {
		return false
	}

	t.seen[id] = struct{}{}
	t.order = append(t.order, id)

	if len(t.order) > maxSeenStrikes {
		delete(t.seen, t.order[0])
		t.order = t.order[1:]
	}

	return true
}

// nonceOf returns the nonce of a request's strike in a crash, the same for all copies of the request.
func (t *strikeTracker) nonceOf(crash uint64, d quarantiner.Digest) uint64 {
	if t.base == 0 {
		t.base = t.random.Uint64() | 1
	}

	h := fnv.New64a()
	// A hash never returns an error.
	_, _ = fmt.Fprintf(h, "%d %d %s", t.base, crash, d)

	return h.Sum64() | 1
}

func (t *strikeTracker) add(now tiller.Millis, token, nonce uint64, peers int) *pendingStrike {
	n := &pendingStrike{
		token: token, nonce: nonce, acked: tiller.NewSet[string](), remaining: peers, deadline: now + strikeAckTimeout,
	}
	t.pending = append(t.pending, n)

	return n
}

// ack records an acknowledgement and returns the tokens of the strikes that are now acknowledged by all recipients.
func (t *strikeTracker) ack(from string, nonce uint64) []uint64 {
	for _, n := range t.pending {
		if n.nonce == nonce && n.acked.Add(from) {
			n.remaining--
		}
	}

	return t.finish(func(n *pendingStrike) bool { return n.remaining <= 0 })
}

func (t *strikeTracker) expire(now tiller.Millis) []uint64 {
	return t.finish(func(n *pendingStrike) bool { return now >= n.deadline })
}

func (t *strikeTracker) finish(done func(*pendingStrike) bool) []uint64 {
	var tokens []uint64

	keep := t.pending[:0:0]

	for _, n := range t.pending {
		if done(n) {
			tokens = append(tokens, n.token)
		} else {
			keep = append(keep, n)
		}
	}

	t.pending = keep

	return tokens
}

// strike adds a strike to a request that was in flight when the backend server crashed, unless a copy of it already got one in this crash,
// and reports it to the other nodes. The answer to the call is delayed until all recipients have acknowledged the report or the wait has
// timed out.
func (c *Core) strike(e CrashReport) {
	peers, remote := c.peerAddresses(), c.remoteRelays()
	nonce := c.strikes.nonceOf(e.Crash, e.Digest)
	n := c.strikes.add(c.now, e.Token, nonce, len(peers)+len(remote))

	if c.strikes.firstSeen(strikeID{nonce: nonce, digest: e.Digest}) {
		total := c.crashRecords.AddStrikes(c.now, e.Digest, e.Route, 1)
		c.out.Events = append(c.out.Events, tiller.NewEvent(tiller.EventCrashed,
			fmt.Sprintf("request in flight when the backend server crashed, strike %d", total), tiller.WithKey(e.Digest.String())))
		c.storeCrashRecord(e.Digest)
	}

	c.broadcastStrike(&wire.Strike{Digest: []byte(e.Digest), Route: e.Route, Count: 1, Nonce: nonce, Worker: c.config.Name}, peers, remote)

	if n.remaining == 0 {
		c.out.FinishedCrashReports = append(c.out.FinishedCrashReports, c.strikes.finish(func(o *pendingStrike) bool { return o == n })...)
	}
}

func (c *Core) clearStrikes(d quarantiner.Digest) {
	if !c.forgetCrashes(d) {
		return
	}

	c.broadcastStrike(&wire.Strike{Digest: []byte(d), Lift: true}, c.peerAddresses(), c.remoteRelays())
	c.storeCrashRecord(d)
}

// broadcastStrike sends a strike to the peers in the data centre, and to a few nodes of every other data centre, which forward it to their own
// peers.
func (c *Core) broadcastStrike(s *wire.Strike, peers, remote []string) {
	for _, p := range peers {
		c.sendStrike(p, s)
	}

	for _, p := range remote {
		c.sendStrike(p, withForward(s, true))
	}
}

func withForward(s *wire.Strike, forward bool) *wire.Strike {
	return &wire.Strike{
		Digest: s.GetDigest(), Route: s.GetRoute(), Count: s.GetCount(), Nonce: s.GetNonce(), Worker: s.GetWorker(), Lift: s.GetLift(),
		Forward: forward,
	}
}

// remoteRelays returns the addresses of the relays of every other data centre, which are its lowest-ranked nodes.
func (c *Core) remoteRelays() []string {
	var out []string

	for _, dc := range c.detector.DataCentres() {
		if dc == c.config.DataCentre {
			continue
		}

		ranked := c.detector.Ranked(dc)
		for _, e := range ranked[:min(subscriber.RelaysPerDataCentre, len(ranked))] {
			out = append(out, e.GetAddress())
		}
	}

	return out
}

func (c *Core) peerAddresses() []string {
	var out []string

	for _, e := range c.detector.Ranked(c.config.DataCentre) {
		if e.GetName() != c.config.Name {
			out = append(out, e.GetAddress())
		}
	}

	return out
}

func (c *Core) sendStrike(to string, s *wire.Strike) {
	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.config.Address), To: to, Body: &wire.Envelope_Strike{Strike: s},
	})
}

func (c *Core) receiveStrike(from string, s *wire.Strike) {
	d := quarantiner.Digest(s.GetDigest())

	if s.GetForward() {
		c.broadcastStrike(withForward(s, false), c.peerAddresses(), nil)
	}

	if s.GetLift() {
		c.forgetCrashes(d)

		return
	}

	if c.strikes.firstSeen(strikeID{nonce: s.GetNonce(), digest: d}) {
		c.crashRecords.AddStrikes(c.now, d, s.GetRoute(), int(s.GetCount()))
	}

	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.config.Address), To: from, Body: &wire.Envelope_StrikeAck{StrikeAck: &wire.StrikeAck{Nonce: s.GetNonce()}},
	})
}
