package sidecar

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/metrics"
)

// Errors that Ready returns.
var (
	errNotResponded = errors.New("the upstream has not responded yet")
	errNotAccepting = errors.New("the upstream accepts no new work: it is leaving, stalled or stopping")
)

// Ready returns nil if the upstream has responded once and accepts new work.
func (s *Sidecar) Ready(ctx context.Context) error {
	if !s.responded.Load() && !s.probeService(ctx) {
		return errNotResponded
	}
	if !s.load().GetAccepting() {
		return errNotAccepting
	}
	return nil
}

// probeService probes a plain service that has not responded yet, because it gets no other request before its first call. A
// model engine has already responded to Start.
func (s *Sidecar) probeService(ctx context.Context) bool {
	if _, ok := s.upstream.(*ServiceUpstream); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.upstream.Probe(ctx) != nil {
		return false
	}
	s.responded.Store(true)
	return true
}

// Registry returns the registry of the metrics that OperationsHandler serves.
func (s *Sidecar) Registry() *prometheus.Registry { return s.metrics.Registry }

// OperationsHandler serves health, readiness and metrics to the platform.
func (s *Sidecar) OperationsHandler() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Ready(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Handle("/metrics", metrics.Handler(s.metrics.Registry))
	return router
}
