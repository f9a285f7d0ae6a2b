// Package faultnet simulates a network in virtual time for tests. It loses, delays, duplicates and reorders messages.
package faultnet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// Faults configures the faults of a network.
type Faults struct {
	// Loss is the fraction of messages that are lost, from 0 to 1.
	Loss float64
	// Duplication is the fraction of messages that arrive twice, from 0 to 1.
	Duplication float64
	// MinDelay and MaxDelay bound the delay of each message, which is uniformly distributed between them.
	MinDelay tiller.Millis
	MaxDelay tiller.Millis
}

// message is a message in transit, with its time of arrival and its position in the order of sending.
type message struct {
	at       tiller.Millis
	sequence int
	data     []byte
	to       string
}

// Net is a simulated network. It is not safe for concurrent use.
type Net struct {
	faults    Faults
	random    *rand.Rand
	queue     []message
	sequence  int
	partition func(from, to string) bool
	bytes     map[string]int
	messages  map[string]int
	// links is nil if bandwidth is unlimited.
	links *links
}

// New returns a network without partitions. Equal seeds and messages give equal faults.
func New(seed uint64, faults Faults) *Net {
	return &Net{
		faults: faults, random: rand.New(rand.NewPCG(seed, seed)), bytes: map[string]int{}, messages: map[string]int{},
	}
}

// SetFaults replaces the faults for messages sent from now on.
func (n *Net) SetFaults(faults Faults) { n.faults = faults }

// Partition drops the messages sent from now on for which the function returns true. Nil heals the partition.
func (n *Net) Partition(drop func(from, to string) bool) { n.partition = drop }

// Send sends messages at the given time.
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

	if (n.partition != nil && n.partition(e.GetFrom(), e.GetTo())) || n.random.Float64() < n.faults.Loss {
		return
	}

	if n.links != nil {
		wait, arrives := n.links.transfer(now, e, data)
		if !arrives {
			return
		}

		now += wait
	}

	n.enqueue(now, e.GetTo(), data)

	if n.random.Float64() < n.faults.Duplication {
		n.enqueue(now, e.GetTo(), data)
	}
}

func (n *Net) enqueue(now tiller.Millis, to string, data []byte) {
	spread := int64(n.faults.MaxDelay - n.faults.MinDelay)
	n.sequence++
	n.queue = append(n.queue, message{
		at: now + n.faults.MinDelay + tiller.Millis(n.random.Int64N(spread+1)), sequence: n.sequence, data: data, to: to,
	})
}

// Due removes and returns the messages that arrive up to the given time, in the order of arrival.
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

// Bytes returns the number of bytes that an address has sent, including lost messages.
func (n *Net) Bytes(from string) int { return n.bytes[from] }

// Messages returns the number of messages that an address has sent, including lost ones.
func (n *Net) Messages(from string) int { return n.messages[from] }
