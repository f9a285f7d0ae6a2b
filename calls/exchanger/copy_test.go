package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEarlierRefusalOnceMore guards against a server that writes a refusal a second time on a kept connection, while it runs the next request.
// The request must get its own answer, and must not be taken for one that has not run.
func TestEarlierRefusalOnceMore(t *testing.T) {
	const (
		named   = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 7\r\n\r\nnot run"
		unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nnot run"
		empty   = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		ran     = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nran"
		first   = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 5\r\n\r\nfirst"
	)

	cases := []struct {
		name   string
		answer string
		extra  string
		// ids are those of the two requests.
		ids  [2]string
		want [2]string
	}{
		{"without an id", first, unnamed, [2]string{"a", "b"}, [2]string{"first", "ran"}},
		{"without an id or a body", first, empty, [2]string{"a", "b"}, [2]string{"first", "ran"}},
		{"with the id of the earlier request", first, named, [2]string{"a", "b"}, [2]string{"first", "ran"}},
		{"the same request tried again", named, named, [2]string{"a", "a"}, [2]string{"not run", "ran"}},
		{"the same request tried again, an unnamed copy", named, unnamed, [2]string{"a", "a"}, [2]string{"not run", "ran"}},
		{"requests without an id", unnamed, unnamed, [2]string{"", ""}, [2]string{"not run", "ran"}},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64

			withID := func(format string, r *http.Request) string {
				text := strings.ReplaceAll(format, "%s", r.Header.Get(headerID))

				return strings.ReplaceAll(text, headerID+": \r\n", "")
			}

			s := newServer(t, func(c net.Conn, r *bufio.Reader) {
				earlier := ""

				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}

					// The copy arrives where the response to the next request is expected.
					_, _ = io.WriteString(c, earlier)

					if requests.Add(1) == 1 {
						_, _ = io.WriteString(c, withID(tc.answer, req))
						earlier = withID(tc.extra, req)
					} else {
						_, _ = io.WriteString(c, withID(ran, req))
					}
				}
			})
			x := newExchanger(t)

			for i, id := range tc.ids {
				r := request(s, nil)
				r.ID = id
				r.Header.Set(headerID, id)
				r.Matches = func(h http.Header) bool { return h.Get(headerID) == id || h.Get(headerID) == "" }
				r.Identifies = func(h http.Header) bool { return id != "" && h.Get(headerID) == id }

				body, err := roundTrip(t, x, r)
				require.NoError(t, err)
				require.Equal(t, tc.want[i], body)
			}
		})
	}
}
