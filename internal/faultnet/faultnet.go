// Package faultnet is a queue of messages for tests in virtual time: it loses, delays, doubles and reorders them.
package faultnet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Faults are the faults of a network, as shares of all messages.
type Faults struct {
	Loss     float64
	Double   float64
	MinDelay tiller.Millis
	MaxDelay tiller.Millis
}

type message struct {
	at       tiller.Millis
	sequence int
	data     []byte
	to       string
}

// Net holds the messages under way.
type Net struct {
	faults   Faults
	random   *rand.Rand
	queue    []message
	sequence int
	cut      func(from, to string) bool
	bytes    map[string]int
	messages map[string]int
	// links is nil where messages never wait.
	links *links
}

// New returns a network whose faults follow a seed.
func New(seed uint64, faults Faults) *Net {
	return &Net{
		faults: faults, random: rand.New(rand.NewPCG(seed, seed)), bytes: map[string]int{}, messages: map[string]int{},
	}
}

// SetFaults changes the faults.
func (n *Net) SetFaults(faults Faults) { n.faults = faults }

// Cut drops messages for which the function returns true; nil heals the network.
func (n *Net) Cut(cut func(from, to string) bool) { n.cut = cut }

// Send takes messages at a time.
func (n *Net) Send(now tiller.Millis, envelopes ...*wire.Envelope) {
	for _, e := range envelopes {
		n.send(now, e)
	}
}

func (n *Net) send(now tiller.Millis, e *wire.Envelope) {
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}

	n.bytes[e.GetFrom()] += len(data)
	n.messages[e.GetFrom()]++

	if (n.cut != nil && n.cut(e.GetFrom(), e.GetTo())) || n.random.Float64() < n.faults.Loss {
		return
	}

	if n.links != nil {
		wait, arrives := n.links.carry(now, e, data)
		if !arrives {
			return
		}

		now += wait
	}

	n.put(now, e.GetTo(), data)

	if n.random.Float64() < n.faults.Double {
		n.put(now, e.GetTo(), data)
	}
}

func (n *Net) put(now tiller.Millis, to string, data []byte) {
	spread := int64(n.faults.MaxDelay - n.faults.MinDelay)
	n.sequence++
	n.queue = append(n.queue, message{
		at: now + n.faults.MinDelay + tiller.Millis(n.random.Int64N(spread+1)), sequence: n.sequence, data: data, to: to,
	})
}

// Due returns the messages that arrive up to a time, in order of arrival.
func (n *Net) Due(now tiller.Millis) []*wire.Envelope {
	var due []message

	n.queue = slices.DeleteFunc(n.queue, func(p message) bool {
		if p.at <= now {
			due = append(due, p)
		}

		return p.at <= now
	})

	slices.SortFunc(due, func(a, b message) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) })

	out := make([]*wire.Envelope, 0, len(due))

	for _, p := range due {
		e := &wire.Envelope{}
		if err := proto.Unmarshal(p.data, e); err != nil {
			panic(err)
		}

		out = append(out, e)
	}

	return out
}

// Bytes returns the bytes that an address has sent.
func (n *Net) Bytes(from string) int { return n.bytes[from] }

// Messages returns the messages that an address has sent.
func (n *Net) Messages(from string) int { return n.messages[from] }
