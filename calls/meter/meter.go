// Package meter counts the bytes that connections carry.
package meter

import (
	"io"

	"github.com/rcrowley/go-metrics"
)

// Meter counts the bytes sent and received on the connections of one kind. A nil meter counts nothing.
type Meter struct {
	sent     metrics.Counter
	received metrics.Counter
}

// New returns a meter that registers its counters under a name, such as calls.hops.sent_bytes.
func New(name string, registry metrics.Registry) *Meter {
	return &Meter{
		sent:     metrics.GetOrRegisterCounter(name+".sent_bytes", registry),
		received: metrics.GetOrRegisterCounter(name+".received_bytes", registry),
	}
}

// Reader returns a reader whose bytes count as received.
func (m *Meter) Reader(r io.Reader) io.Reader {
	if m == nil {
		return r
	}

	return reader{Reader: r, bytes: m.received}
}

// Writer returns a writer whose bytes count as sent.
func (m *Meter) Writer(w io.Writer) io.Writer {
	if m == nil {
		return w
	}

	return writer{Writer: w, bytes: m.sent}
}

type reader struct {
	io.Reader
	bytes metrics.Counter
}

// Read reads and counts.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes.Inc(int64(n))

	return n, err
}

type writer struct {
	io.Writer
	bytes metrics.Counter
}

// Write writes and counts.
func (w writer) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes.Inc(int64(n))

	return n, err
}
