package node

import (
	"fmt"
	"math/rand/v2"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/calls/quarantiner"
	"gitlab.com/sycamoretiller/sycamoretiller/distribution/subscriber"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// announceTimeout is how long an answer waits until the data centre has heard of a crash.
const announceTimeout tiller.Millis = 200

type announcement struct {
	token uint64
	nonce uint64
	open  tiller.Set[string]
	left  int
	until tiller.Millis
}

// announcer waits until the nodes of the data centre have acknowledged strikes.
type announcer struct {
	random *rand.Rand
	list   []*announcement
	heard  map[strikeID]struct{}
	order  []strikeID
}

// strikeID tells repeated deliveries of one strike apart from further strikes.
type strikeID struct {
	nonce  uint64
	digest quarantiner.Digest
}

const maxHeardStrikes = 4096

func newAnnouncer(random *rand.Rand) *announcer {
	return &announcer{random: random, heard: map[strikeID]struct{}{}}
}

// first reports whether a strike is heard for the first time.
func (a *announcer) first(id strikeID) bool {
	if _, ok := a.heard[id]; ok {
		return false
	}

	a.heard[id] = struct{}{}
	a.order = append(a.order, id)

	if len(a.order) > maxHeardStrikes {
		delete(a.heard, a.order[0])
		a.order = a.order[1:]
	}

	return true
}

func (a *announcer) add(now tiller.Millis, token uint64, peers int) *announcement {
	n := &announcement{
		token: token, nonce: a.random.Uint64() | 1, open: tiller.NewSet[string](), left: peers, until: now + announceTimeout,
	}
	a.list = append(a.list, n)

	return n
}

// ack returns the tokens whose strikes every peer has heard.
func (a *announcer) ack(from string, nonce uint64) []uint64 {
	for _, n := range a.list {
		if n.nonce == nonce && n.open.Add(from) {
			n.left--
		}
	}

	return a.finish(func(n *announcement) bool { return n.left <= 0 })
}

func (a *announcer) expire(now tiller.Millis) []uint64 {
	return a.finish(func(n *announcement) bool { return now >= n.until })
}

func (a *announcer) finish(done func(*announcement) bool) []uint64 {
	var tokens []uint64

	keep := a.list[:0:0]

	for _, n := range a.list {
		if done(n) {
			tokens = append(tokens, n.token)
		} else {
			keep = append(keep, n)
		}
	}

	a.list = keep

	return tokens
}

// strike counts a crash here and tells the data centre before the answer to the request goes out.
func (c *Core) strike(e Strike) {
	peers, remote := c.peerAddresses(), c.remoteRelays()
	n := c.strikes.add(c.now, e.Token, len(peers)+len(remote))

	for _, d := range e.Digests {
		total := c.register.Strike(c.now, d, e.Route, 1)
		c.out.Events = append(c.out.Events, tiller.NewEvent(tiller.EventCrashed,
			fmt.Sprintf("request in flight when the backend server died, strike %d", total), tiller.WithKey(d.String())))

		s := &wire.Strike{Digest: []byte(d), Route: e.Route, Count: 1, Nonce: n.nonce, Worker: c.identity.Name}
		c.spread(s, peers, remote)
	}

	if n.left == 0 {
		c.out.Announced = append(c.out.Announced, c.strikes.finish(func(o *announcement) bool { return o == n })...)
	}
}

func (c *Core) lift(d quarantiner.Digest) {
	if !c.register.Lift(d) {
		return
	}

	c.spread(&wire.Strike{Digest: []byte(d), Lift: true}, c.peerAddresses(), c.remoteRelays())
}

// spread sends a strike to the nodes of the data centre and to a few of each other one, which pass it on.
func (c *Core) spread(s *wire.Strike, peers, remote []string) {
	for _, p := range peers {
		c.sendStrike(p, s)
	}

	for _, p := range remote {
		c.sendStrike(p, forwarded(s, true))
	}
}

func forwarded(s *wire.Strike, forward bool) *wire.Strike {
	return &wire.Strike{
		Digest: s.GetDigest(), Route: s.GetRoute(), Count: s.GetCount(), Nonce: s.GetNonce(), Worker: s.GetWorker(), Lift: s.GetLift(),
		Forward: forward,
	}
}

// remoteRelays returns the lowest-ranked nodes of every other data centre.
func (c *Core) remoteRelays() []string {
	var out []string

	for _, dc := range c.detector.DataCentres() {
		if dc == c.identity.DataCentre {
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

	for _, e := range c.detector.Ranked(c.identity.DataCentre) {
		if e.GetName() != c.identity.Name {
			out = append(out, e.GetAddress())
		}
	}

	return out
}

func (c *Core) sendStrike(to string, s *wire.Strike) {
	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.identity.Address), To: to, Body: &wire.Envelope_Strike{Strike: s},
	})
}

func (c *Core) onStrike(from string, s *wire.Strike) {
	d := quarantiner.Digest(s.GetDigest())

	if s.GetForward() {
		c.spread(forwarded(s, false), c.peerAddresses(), nil)
	}

	if s.GetLift() {
		c.register.Lift(d)

		return
	}

	if c.strikes.first(strikeID{nonce: s.GetNonce(), digest: d}) {
		c.register.Strike(c.now, d, s.GetRoute(), int(s.GetCount()))
	}

	c.out.Messages = append(c.out.Messages, &wire.Envelope{
		From: string(c.identity.Address), To: from, Body: &wire.Envelope_StrikeAck{StrikeAck: &wire.StrikeAck{Nonce: s.GetNonce()}},
	})
}
