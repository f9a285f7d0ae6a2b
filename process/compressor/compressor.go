// Package compressor compresses the bodies of requests between processes. Configurations repeat the same names and
// settings for each route, so that a whole one shrinks to about a tenth, which counts on the narrow links of small VMs.
package compressor

import (
	"bytes"
	"io"
	"net/http"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	encoding = "zstd"
	// minBytes is the smallest body that is compressed; below it the header of a packet weighs more than what is saved.
	minBytes = 1 << 10
	// maxBodyBytes bounds a body once decompressed; the largest document accepted is 64 MiB.
	maxBodyBytes = 64 << 20
	// windowBytes bounds the memory of an encoder; it spans the repetitions among neighbouring routes.
	windowBytes = 256 << 10
)

// Transport compresses request bodies and passes the requests on.
type Transport struct {
	base    http.RoundTripper
	encoder *zstd.Encoder
	sent    func(bytes int)
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends through another one and tells how many bytes each body takes.
func NewTransport(base http.RoundTripper, sent func(bytes int)) (*Transport, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, eris.Wrap(err, "new encoder")
	}

	return &Transport{base: base, encoder: encoder, sent: sent}, nil
}

// RoundTrip sends a request with its body compressed, unless the body is small.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.ContentLength < minBytes {
		t.sent(int(max(r.ContentLength, 0)))

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
	t.sent(len(compressed))

	out := r.Clone(r.Context())
	out.Header.Set("Content-Encoding", encoding)
	out.ContentLength = int64(len(compressed))
	out.Body = io.NopCloser(bytes.NewReader(compressed))
	out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(compressed)), nil }

	return t.base.RoundTrip(out)
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// NewHandler returns a handler that decompresses request bodies and passes them on; other requests pass unchanged.
func NewHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") != encoding {
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
