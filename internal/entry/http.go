package entry

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/openai"
)

// CallerHandler serves the requests of callers.
func (e *Entry) CallerHandler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/completions", e.serveCompletion(openai.Completions)).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", e.serveCompletion(openai.Chat)).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(e.serveService)
	router.MethodNotAllowedHandler = http.HandlerFunc(e.serveService)
	return e.announceClose(router)
}

// Registry returns the registry of the metrics that OperationsHandler serves.
func (e *Entry) Registry() *prometheus.Registry { return e.metrics.Registry }

// OperationsHandler serves health, readiness and metrics to the platform.
func (e *Entry) OperationsHandler() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Handle("/metrics", metrics.Handler(e.metrics.Registry))
	return router
}
