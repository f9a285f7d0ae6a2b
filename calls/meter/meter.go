// Package meter counts the bytes sent and received on connections.
package meter

import (
	"io"

	"github.com/rcrowley/go-metrics"
)

// Meter counts the bytes sent and received on connections of one kind. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	sent     metrics.Counter
	received metrics.Counter
}

// New returns a meter with the counters <name>.sent_bytes and <name>.received_bytes in the registry, such as calls.hops.sent_bytes.
func New(name string, registry metrics.Registry) *Meter {
	return &Meter{
		sent:     metrics.GetOrRegisterCounter(name+".sent_bytes", registry),
		received: metrics.GetOrRegisterCounter(name+".received_bytes", registry),
	}
}

// Reader returns a reader that counts the bytes read from r as received.
func (m *Meter) Reader(r io.Reader) io.Reader {
	if m == nil {
		return r
	}

	return reader{Reader: r, bytes: m.received}
}

// Writer returns a writer that counts the bytes written to w as sent.
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

// Read reads from the underlying reader and counts the bytes.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes.Inc(int64(n))

	return n, err
}

type writer struct {
	io.Writer
	bytes metrics.Counter
}

// Write writes to the underlying writer and counts the bytes.
func (w writer) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes.Inc(int64(n))

	return n, err
}
