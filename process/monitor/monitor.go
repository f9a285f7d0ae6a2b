// Package monitor serves a process's health, readiness and metrics over HTTP.
package monitor

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Register adds the handlers of /healthz, /readyz and /metrics, which all respond in plain text. /readyz responds with status 503 and the reason if
// notReadyReason returns one, and with 200 if it returns an empty string.
func Register(mux *http.ServeMux, registry metrics.Registry, notReadyReason func() string) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReadyReason(); reason != "" {
			write(w, http.StatusServiceUnavailable, reason+"\n")

			return
		}

		write(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}

func write(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)

	// The error is ignored: the client has closed the connection.
	_, _ = w.Write([]byte(text))
}
