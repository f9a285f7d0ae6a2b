package compressor_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"

	"gitlab.com/sycamoretiller/sycamoretiller/process/compressor"
)

// routes returns a body that resembles a configuration of n routes.
func routes(n int) []byte {
	var b bytes.Buffer

	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"example.org","path_prefix":"/%06x/","timeout_ms":1200,"target_latency_ms":500,"service":"board"}`,
			uint32(i)*2654435761, uint32(i)*40503%0xffffff)
	}

	return b.Bytes()
}

func TestBodiesArriveUnchanged(t *testing.T) {
	tests := map[string]struct {
		body    []byte
		atMost  int
		encoded string
	}{
		"empty":           {body: nil, atMost: 0},
		"small":           {body: []byte("offer"), atMost: 5},
		"a configuration": {body: routes(1600), atMost: len(routes(1600)) / 5, encoded: "zstd"},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var (
				received []byte
				encoded  string
			)

			take := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				received, _ = io.ReadAll(r.Body)
			})
			handler := compressor.NewHandler(take)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				encoded = r.Header.Get("Content-Encoding")
				handler.ServeHTTP(w, r)
			}))

			defer server.Close()

			sent := 0
			transport, err := compressor.NewTransport(http.DefaultTransport, func(bytes int) { sent += bytes })
			require.NoError(t, err)

			response, err := (&http.Client{Transport: transport}).Post(server.URL, "application/protobuf", bytes.NewReader(test.body))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, string(test.body), string(received))
			require.LessOrEqual(t, sent, test.atMost)
			require.Equal(t, test.encoded, encoded)
		})
	}
}

func TestCorruptBodyFailsToRead(t *testing.T) {
	encoder, err := zstd.NewWriter(nil)
	require.NoError(t, err)

	complete := string(encoder.EncodeAll(routes(100), nil))

	tests := map[string]string{
		"truncated":   complete[:len(complete)/2],
		"not encoded": "plain text that claims to be compressed",
	}

	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			var failed error

			handler := compressor.NewHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, failed = io.ReadAll(r.Body)
			}))
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
			request.Header.Set("Content-Encoding", "zstd")
			handler.ServeHTTP(httptest.NewRecorder(), request)
			require.Error(t, failed)
		})
	}
}
