package faultnet

import (
	"time"

	"github.com/klauspost/compress/zstd"

	tiller "gitlab.com/sycamoretiller/sycamoretiller"
	"gitlab.com/sycamoretiller/sycamoretiller/process/transporter"
	"gitlab.com/sycamoretiller/sycamoretiller/wire"
)

// streamOverhead is what the head of a request and its answer add to a message on a stream, in bytes.
const streamOverhead = 400

// Link is the narrow connection of one process to the network, each way. A message above a datagram's size goes over a stream, which
// waits where a datagram is dropped.
type Link struct {
	// BytesPerSecond is the rate each way.
	BytesPerSecond int
	// QueueBytes is how much may wait in front of the link before datagrams are dropped.
	QueueBytes int
}

// links holds the state of all links of a net: until when each is busy.
type links struct {
	link    Link
	narrow  tiller.Set[string]
	out     map[string]time.Duration
	in      map[string]time.Duration
	encoder *zstd.Encoder
}

// SetLink puts each of some processes behind a link of its own; those of the others carry everything at once.
func (n *Net) SetLink(link Link, addresses ...string) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err)
	}

	n.links = &links{
		link: link, narrow: tiller.NewSet(addresses...), out: map[string]time.Duration{}, in: map[string]time.Duration{},
		encoder: encoder,
	}
}

// Fill keeps a number of bytes of other traffic waiting in front of a process's link on the way out.
func (n *Net) Fill(now tiller.Millis, address string, bytes int) {
	n.links.out[address] = max(n.links.out[address], now.Duration()+n.links.time(bytes))
}

// use puts bytes on one way of a process's link and returns when it has carried them.
func (l *links) use(way map[string]time.Duration, address string, at time.Duration, bytes int) time.Duration {
	if !l.narrow.Has(address) {
		return at
	}

	way[address] = max(way[address], at) + l.time(bytes)

	return way[address]
}

// time returns how long a link takes to carry a number of bytes.
func (l *links) time(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(l.link.BytesPerSecond)
}

// full reports whether one way of a process's link drops datagrams.
func (l *links) full(way map[string]time.Duration, address string, at time.Duration) bool {
	return l.narrow.Has(address) && way[address]-at > l.time(l.link.QueueBytes)
}

// carry returns how long a message waits for both links, and whether it arrives.
func (l *links) carry(now tiller.Millis, e *wire.Envelope, data []byte) (tiller.Millis, bool) {
	from, to, at := e.GetFrom(), e.GetTo(), now.Duration()
	datagram := len(data) <= transporter.MaxDatagramBytes && !e.GetStream()
	size := len(data) + transporter.OverheadBytes

	if !datagram {
		size = len(l.encoder.EncodeAll(data, nil)) + streamOverhead
	} else if l.full(l.out, from, at) || l.full(l.in, to, at) {
		return 0, false
	}

	wait := l.use(l.in, to, l.use(l.out, from, at, size), size) - at

	return tiller.Millis(wait.Milliseconds()), datagram || wait < transporter.DeliveryTimeout(len(data))
}
