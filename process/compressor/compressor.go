// Package compressor compresses the bodies of HTTP requests between processes. A full configuration repeats the same names and settings for
// each route and shrinks to about a tenth of its size. This matters on the narrow links of small VMs.
package compressor

import (
	"bytes"
	"io"
	"net/http"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	contentEncoding = "zstd"
	// minBytes is the size of the smallest body that is compressed; below it the saving is less than the header of a packet.
	minBytes = 1 << 10
	// maxBodyBytes bounds a decompressed body; the largest accepted document has 64 MiB.
	maxBodyBytes = 64 << 20
	// windowBytes bounds the memory of an encoder; it is large enough for the repetitions among adjacent routes.
	windowBytes = 256 << 10
)

// Transport is an http.RoundTripper that compresses request bodies.
type Transport struct {
	base    http.RoundTripper
	encoder *zstd.Encoder
	onSent  func(bytes int)
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests through base. It calls onSent with the number of body bytes sent by each request.
func NewTransport(base http.RoundTripper, onSent func(bytes int)) (*Transport, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, eris.Wrap(err, "new encoder")
	}

	return &Transport{base: base, encoder: encoder, onSent: onSent}, nil
}

// RoundTrip sends a request. It compresses the body if its length is known and at least 1 KiB.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.ContentLength < minBytes {
		t.onSent(int(max(r.ContentLength, 0)))

		return t.base.RoundTrip(r)
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}

	if err := r.Body.Close(); err != nil {
		return nil, eris.Wrap(err, "close body")
	}

	compressed := t.encoder.EncodeAll(body, nil)
	t.onSent(len(compressed))

	out := r.Clone(r.Context())
	out.Header.Set("Content-Encoding", contentEncoding)
	out.ContentLength = int64(len(compressed))
	out.Body = io.NopCloser(bytes.NewReader(compressed))
	out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(compressed)), nil }

	return t.base.RoundTrip(out)
}

// CloseIdleConnections closes the idle connections of the base transport.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// NewHandler returns a handler that decompresses request bodies before it calls next; requests without compression pass unchanged.
func NewHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") != contentEncoding {
			next.ServeHTTP(w, r)

			return
		}

		decoder, err := zstd.NewReader(r.Body, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes), zstd.WithDecoderLowmem(true))
		if err != nil {
			http.Error(w, "the body cannot be decompressed", http.StatusBadRequest)

			return
		}

		defer decoder.Close()

		in := r.Clone(r.Context())
		in.Header.Del("Content-Encoding")
		in.ContentLength = -1
		in.Body = http.MaxBytesReader(w, decoder.IOReadCloser(), maxBodyBytes)
		next.ServeHTTP(w, in)
	})
}
