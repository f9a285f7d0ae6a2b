package faultnet

import (
	"time"

	"github.com/klauspost/compress/zstd"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// streamOverhead is the size in bytes of the HTTP headers and the answer that each message on a stream costs.
const streamOverhead = 400

// Link is the limited bandwidth between one process and the network, equal in both directions. Messages that exceed the size of a datagram
// use a stream, which waits where a datagram would be dropped.
type Link struct {
	// BytesPerSecond is the bandwidth in each direction.
	BytesPerSecond int
	// QueueBytes is how many bytes may wait for the link before datagrams are dropped.
	QueueBytes int
}

// links holds the links of a network. The maps out and in hold the time until which each link is busy in that direction.
type links struct {
	link    Link
	limited tiller.Set[string]
	out     map[string]time.Duration
	in      map[string]time.Duration
	encoder *zstd.Encoder
}

// SetLink gives each of the listed processes a link of its own. The bandwidth of all other processes is unlimited.
func (n *Net) SetLink(link Link, addresses ...string) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err)
	}

	n.links = &links{
		link: link, limited: tiller.NewSet(addresses...), out: map[string]time.Duration{}, in: map[string]time.Duration{},
		encoder: encoder,
	}
}

// FillQueue raises the queue of a process's outgoing link to at least the given number of bytes, as other traffic would. SetLink must have been
// called before.
func (n *Net) FillQueue(now tiller.Millis, address string, bytes int) {
	n.links.out[address] = max(n.links.out[address], now.Duration()+n.links.transmissionTime(bytes))
}

// transmit queues bytes in one direction of a process's link and returns the time at which they have been transmitted.
func (l *links) transmit(direction map[string]time.Duration, address string, at time.Duration, bytes int) time.Duration {
	if !l.limited.Has(address) {
		return at
	}

	direction[address] = max(direction[address], at) + l.transmissionTime(bytes)

	return direction[address]
}

// transmissionTime returns how long a link takes to transmit a number of bytes.
func (l *links) transmissionTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(l.link.BytesPerSecond)
}

// queueFull reports whether one direction of a process's link drops datagrams.
func (l *links) queueFull(direction map[string]time.Duration, address string, at time.Duration) bool {
	return l.limited.Has(address) && direction[address]-at > l.transmissionTime(l.link.QueueBytes)
}

// transfer sends a message over the links of sender and receiver. It returns the total time that the message takes, and whether it arrives:
// datagrams are dropped if a queue is full, and streams fail if their delivery times out.
func (l *links) transfer(now tiller.Millis, e *wire.Envelope, data []byte) (tiller.Millis, bool) {
	from, to, at := e.GetFrom(), e.GetTo(), now.Duration()
	datagram := len(data) <= transporter.MaxDatagramBytes && !e.GetStream()
	size := len(data) + transporter.DatagramOverheadBytes

	if !datagram {
		size = len(l.encoder.EncodeAll(data, nil)) + streamOverhead
	} else if l.queueFull(l.out, from, at) || l.queueFull(l.in, to, at) {
		return 0, false
	}

	wait := l.transmit(l.in, to, l.transmit(l.out, from, at, size), size) - at

	return tiller.Millis(wait.Milliseconds()), datagram || wait < transporter.DeliveryTimeout(len(data))
}
