// Package platform is a stand-in for the services that the users' platform provides: the JSON gateway of etcd v3 over
// an in-memory store, and the host list in the Prometheus HTTP service-discovery format. It also has calls to inject
// faults.
//
// Of the etcd API it implements the calls that package etcdhttp sends: ranges of one key or one prefix, transactions
// with one compare on mod_revision and one put or delete of the same key, watches of one prefix, and leases. It
// responds to all other calls with status 501.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// maxBodyBytes limits request bodies. It allows for the largest value in base64.
const maxBodyBytes = 4 << 20

// Options configure a Platform.
type Options struct {
	// Store holds the keys. Nil creates an empty store.
	Store *memory.Store
	// HostsLag is the time after which a change of the host list becomes visible.
	HostsLag time.Duration
	// Logger may be nil.
	Logger *zap.Logger
}

// Platform is the stand-in's http.Handler.
type Platform struct {
	store  *memory.Store
	hosts  *hostList
	logger *zap.Logger
	router *mux.Router
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a platform. Close ends its watches.
func New(options Options) *Platform {
	p := &Platform{
		store:  options.Store,
		hosts:  newHostList(options.HostsLag),
		logger: options.Logger,
		router: mux.NewRouter(),
	}
	if p.store == nil {
		p.store = memory.New(memory.Options{})
	}
	if p.logger == nil {
		p.logger = zap.NewNop()
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.route()
	return p
}

// Store returns the store behind the gateway.
func (p *Platform) Store() *memory.Store {
	return p.store
}

// Close ends all watches, so that a graceful shutdown of the HTTP server does not wait for them.
func (p *Platform) Close() {
	p.cancel()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	p.router.ServeHTTP(w, r)
}

func (p *Platform) route() {
	post := func(path string, handler http.HandlerFunc) {
		p.router.HandleFunc(path, handler).Methods(http.MethodPost)
	}
	post(etcdwire.PathRange, p.serveRange)
	post(etcdwire.PathTxn, p.serveTxn)
	post(etcdwire.PathWatch, p.serveWatch)
	post(etcdwire.PathLeaseGrant, p.serveLeaseGrant)
	post(etcdwire.PathLeaseKeepAlive, p.serveLeaseKeepAlive)
	post(etcdwire.PathLeaseRevoke, p.serveLeaseRevoke)
	post("/faults", p.setFaults)
	p.router.HandleFunc("/faults", p.getFaults).Methods(http.MethodGet)
	p.router.HandleFunc("/calls", p.getCalls).Methods(http.MethodGet)
	p.router.HandleFunc("/hosts", p.getHosts).Methods(http.MethodGet)
	p.router.HandleFunc("/hosts", p.putHosts).Methods(http.MethodPut)
}

// Faults is the body of POST and GET /faults. POST replaces all faults. The fields have the meaning of those of
// memory.Faults.
type Faults struct {
	Down            bool    `json:"down"`
	DelayMS         int64   `json:"delay_ms"`
	LoseAnswers     int     `json:"lose_answers"`
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var body Faults
	if !p.decode(w, r, &body) {
		return
	}
	p.store.SetFaults(memory.Faults{
		Down:            body.Down,
		Delay:           time.Duration(body.DelayMS) * time.Millisecond,
		LoseAnswers:     body.LoseAnswers,
		WritesPerSecond: body.WritesPerSecond,
		ReadsPerSecond:  body.ReadsPerSecond,
	})
	p.logger.Info("faults changed", zap.Any("faults", body))
	p.getFaults(w, r)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults := p.store.Faults()
	p.writeJSON(w, Faults{
		Down:            faults.Down,
		DelayMS:         faults.Delay.Milliseconds(),
		LoseAnswers:     faults.LoseAnswers,
		WritesPerSecond: faults.WritesPerSecond,
		ReadsPerSecond:  faults.ReadsPerSecond,
	})
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	p.writeJSON(w, p.store.Calls())
}

// decode decodes a JSON body. If the body is malformed, decode responds with an error and returns false.
func (p *Platform) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			p.writeError(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, etcdwire.MessageTooLarge)
			return false
		}
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error())
		return false
	}
	if err := json.Unmarshal(text, into); err != nil {
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

func (p *Platform) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		p.logger.Debug("cannot write response", zap.Error(err))
	}
}

func (p *Platform) writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(etcdwire.Error{Code: code, Message: message}); err != nil {
		p.logger.Debug("cannot write error response", zap.Error(err))
	}
}

func (p *Platform) writeUnimplemented(w http.ResponseWriter, what string) {
	p.writeError(w, http.StatusNotImplemented, etcdwire.CodeUnimplemented, what+" is not implemented by this stand-in")
}

// writeStoreError responds with an error of the store. For kv.ErrOutcomeUnknown, by which the store simulates the loss
// of a response, it closes the connection instead.
func (p *Platform) writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kv.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, memory.ErrRateLimited):
		p.writeError(w, http.StatusTooManyRequests, etcdwire.CodeResourceExhausted, etcdwire.MessageTooManyRequests)
	case errors.Is(err, kv.ErrUnavailable):
		p.writeError(w, http.StatusServiceUnavailable, etcdwire.CodeUnavailable, etcdwire.MessageNoLeader)
	case errors.Is(err, kv.ErrLeaseNotFound):
		p.writeError(w, http.StatusNotFound, etcdwire.CodeNotFound, etcdwire.MessageLeaseNotFound)
	case errors.Is(err, kv.ErrCompacted):
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeOutOfRange, etcdwire.MessageCompacted)
	case errors.Is(err, kv.ErrFutureRevision):
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeOutOfRange, etcdwire.MessageFutureRevision)
	case errors.Is(err, memory.ErrValueTooLarge):
		p.writeError(w, http.StatusBadRequest, etcdwire.CodeInvalidArgument, etcdwire.MessageTooLarge)
	default:
		p.writeError(w, http.StatusInternalServerError, etcdwire.CodeInternal, err.Error())
	}
}
