// Package monitor serves a process's health, readiness and metrics over HTTP.
package monitor

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Register adds /healthz, /readyz and /metrics, the latter as text. The ready function returns an empty text or what is missing.
func Register(mux *http.ServeMux, registry metrics.Registry, ready func() string) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if missing := ready(); missing != "" {
			write(w, http.StatusServiceUnavailable, missing+"\n")

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

	// A client that hung up has no use for the text.
	_, _ = w.Write([]byte(text))
}
