package sidecar

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/fulmardoor/fulmardoor/internal/metrics"
)

// Errors of Ready.
var (
	errNotReached   = errors.New("the upstream has not answered yet")
	errNotAccepting = errors.New("the upstream takes no new work: it is leaving, stalled or stopping")
)

// Ready reports whether the upstream was reached and takes new work.
func (s *Sidecar) Ready(ctx context.Context) error {
	if !s.reached.Load() && !s.reach(ctx) {
		return errNotReached
	}
	if !s.load().GetAccepting() {
		return errNotAccepting
	}
	return nil
}

// reach probes a plain service. Nothing else says before its first call that it answers. A model engine answers Start.
func (s *Sidecar) reach(ctx context.Context) bool {
	if _, ok := s.upstream.(*ServiceUpstream); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.upstream.Probe(ctx) != nil {
		return false
	}
	s.reached.Store(true)
	return true
}

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
