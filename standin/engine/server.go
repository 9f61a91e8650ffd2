package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
)

const (
	// maxBody is the maximum size of a request body, in bytes.
	maxBody = 16 << 20
	// maxEventWait limits how long one call waits for cache events.
	maxEventWait = 30 * time.Second
	// defaultMaxTokens is the OpenAI default for completions.
	defaultMaxTokens = 16
)

// Server exposes a Core over HTTP.
type Server struct {
	core *Core
	http *http.Server
	// closing is cancelled by Shutdown and ends the calls that wait for cache events.
	closing context.Context
	close   context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server for a Core. Call Serve to start it.
func NewServer(core *Core) *Server {
	s := &Server{core: core, conns: make(map[net.Conn]struct{})}
	s.closing, s.close = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler:           s.routes(),
		ConnState:         s.trackConn,
		ConnContext:       withConn,
		ReadHeaderTimeout: 10 * time.Second,
	}
	return s
}

// Serve handles requests until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops listening and waits for running requests. If ctx ends first, it closes their connections and returns
// an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.close()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return errors.Wrap(err, "connections of running requests closed")
	}
	return nil
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.HandleFunc("/abort_requests", s.abort).Methods(http.MethodPost)
	r.HandleFunc("/release", s.release).Methods(http.MethodPost)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/kv_events", s.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/kv_cache", s.cacheState).Methods(http.MethodGet)
	r.HandleFunc("/kv_exports/{handle}/hold", s.hold).Methods(http.MethodPost)
	r.HandleFunc("/kv_exports/{handle}/imported", s.imported).Methods(http.MethodPost)
	r.HandleFunc("/orders", s.order).Methods(http.MethodPost)
	r.HandleFunc("/health", s.health).Methods(http.MethodGet)
	r.HandleFunc("/audit", s.audit).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	return r
}

func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// dropConns closes all connections except that of r, so that r still gets its response.
func (s *Server) dropConns(r *http.Request) {
	own, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if conn != own {
			_ = conn.Close()
		}
	}
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	req := new(vllm.CompletionRequest)
	if !readJSON(w, r, req) {
		return
	}
	ctx := engine.WithAccount(r.Context(), req.User)
	id := r.Header.Get(vllm.HeaderRequestID)
	switch {
	case req.KVTransfer != nil && req.KVTransfer.DoRemoteDecode:
		s.prefill(ctx, w, id, req)
	case req.Stream:
		s.stream(ctx, w, id, req)
	default:
		s.singleResponse(ctx, w, id, req)
	}
}

func (s *Server) prefill(ctx context.Context, w http.ResponseWriter, id string, req *vllm.CompletionRequest) {
	// In the API of vLLM, a lower priority value runs first; in PrefillWork and DecodeWork, a higher one does.
	work := &wirev1.PrefillWork{Model: req.Model, Prompt: req.Prompt, Priority: int32(-req.Priority)}
	result, err := s.core.Prefill(ctx, id, work)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := newResponse(id, req.Model, "", "length")
	answer.Usage = &vllm.Usage{
		PromptTokens:  result.PromptTokens,
		TotalTokens:   result.PromptTokens,
		PromptDetails: &vllm.PromptDetails{CachedTokens: result.CachedTokens},
	}
	answer.KVTransfer = &vllm.KVTransfer{
		DoRemotePrefill: true,
		RemoteHandle:    result.Handle.GetHandle(),
		RemoteAddress:   result.Handle.GetEngineAddress(),
		RemoteTokens:    result.Handle.GetPromptTokens(),
		RemoteBytes:     result.Handle.GetBytes(),
	}
	writeJSON(w, answer)
}

func decodeWork(req *vllm.CompletionRequest) *wirev1.DecodeWork {
	work := &wirev1.DecodeWork{
		Model:     req.Model,
		Prompt:    req.Prompt,
		MaxTokens: uint32(max(0, req.MaxTokens)),
		Priority:  int32(-req.Priority),
	}
	if work.MaxTokens == 0 {
		work.MaxTokens = defaultMaxTokens
	}
	if kv := req.KVTransfer; kv != nil && kv.DoRemotePrefill {
		work.Handle = &wirev1.KVHandle{
			EngineAddress: kv.RemoteAddress,
			Handle:        kv.RemoteHandle,
			PromptTokens:  kv.RemoteTokens,
			Bytes:         kv.RemoteBytes,
		}
	}
	return work
}

// singleResponse sends a completion in one response, without streaming.
func (s *Server) singleResponse(ctx context.Context, w http.ResponseWriter, id string, req *vllm.CompletionRequest) {
	var text []byte
	result, err := s.core.Decode(ctx, id, decodeWork(req), func(token string) error {
		text = append(text, token...)
		return nil
	})
	if err != nil {
		writeError(w, err)
		return
	}
	answer := newResponse(id, req.Model, string(text), result.FinishReason)
	answer.Usage = usageOf(result)
	writeJSON(w, answer)
}

// stream sends a completion as server-sent events.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, id string, req *vllm.CompletionRequest) {
	started := false
	send := func(data string) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return errors.Wrap(err, "write event")
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return errors.Wrap(err, "flush event")
		}
		return nil
	}
	result, err := s.core.Decode(ctx, id, decodeWork(req), func(token string) error {
		return send(marshal(newResponse(id, req.Model, token, "")))
	})
	if err != nil && !started {
		writeError(w, err)
		return
	}
	if err != nil {
		abortIfBroken(err)
		event := newResponse(id, req.Model, "", "")
		event.Error = &vllm.Error{Message: err.Error(), Code: codeOf(err)}
		_ = send(marshal(event))
		return
	}
	last := newResponse(id, req.Model, "", result.FinishReason)
	last.Usage = usageOf(result)
	if send(marshal(last)) == nil {
		_ = send(vllm.StreamEnd)
	}
}

func newResponse(id, model, text, reason string) *vllm.CompletionResponse {
	return &vllm.CompletionResponse{
		ID:      id,
		Object:  "text_completion",
		Model:   model,
		Choices: []vllm.Choice{{Text: text, FinishReason: reason}},
	}
}

func usageOf(result engine.DecodeResult) *vllm.Usage {
	return &vllm.Usage{
		PromptTokens:     result.PromptTokens,
		CompletionTokens: result.OutputTokens,
		TotalTokens:      result.PromptTokens + result.OutputTokens,
	}
}

func (s *Server) abort(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.core.AbortAll(r.Context()))
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	req := new(vllm.ReleaseRequest)
	if readJSON(w, r, req) {
		writeResult(w, s.core.Release(r.Context(), req.Handle))
	}
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	load, err := s.core.Load(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	for _, gauge := range []struct {
		name  string
		value float64
	}{
		{vllm.MetricRunning, float64(load.Running)},
		{vllm.MetricWaiting, float64(load.Waiting)},
		{vllm.MetricKVUsage, load.KVUsage},
	} {
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s{engine=%q} %g\n", gauge.name, gauge.name, s.core.cfg.Name, gauge.value)
	}
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		writeError(w, errors.Wrapf(ErrBadRequest, "parameter after: %v", err))
		return
	}
	waitMS, err := strconv.Atoi(r.FormValue("wait"))
	if err != nil || waitMS < 0 {
		writeError(w, errors.Wrap(ErrBadRequest, "parameter wait must be a non-negative number of milliseconds"))
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxEventWait)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.closing, cancel)()
	events, err := s.core.CacheEvents(ctx, after, wait)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := vllm.CacheEvents{Events: make([]vllm.CacheEvent, 0, len(events))}
	for _, e := range events {
		answer.Events = append(answer.Events, vllm.CacheEvent(e))
	}
	writeJSON(w, &answer)
}

func (s *Server) cacheState(w http.ResponseWriter, r *http.Request) {
	state, err := s.core.CacheState(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, &vllm.CacheState{Number: state.Number, Hashes: state.Hashes})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	req := new(vllm.Order)
	if !readJSON(w, r, req) {
		return
	}
	order := engine.Order{
		FencingNumber: req.FencingNumber,
		Engine: &wirev1.EngineOrder{
			LoadModel:   req.LoadModel,
			Version:     req.Version,
			LoadAdapter: req.LoadAdapter,
		},
	}
	switch req.ChangeRole {
	case "":
	case vllm.RolePrefill:
		order.Engine.ChangeRole = wirev1.EngineRole_ENGINE_ROLE_PREFILL
	case vllm.RoleDecode:
		order.Engine.ChangeRole = wirev1.EngineRole_ENGINE_ROLE_DECODE
	default:
		writeError(w, errors.Wrapf(ErrBadRequest, "unknown role %q", req.ChangeRole))
		return
	}
	writeResult(w, s.core.Order(r.Context(), order))
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.core.Health())
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.core.Audit())
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		faults := Faults{}
		if !readJSON(w, r, &faults) {
			return
		}
		s.core.SetFaults(faults)
		if faults.Drop {
			s.dropConns(r)
		}
	}
	writeJSON(w, s.core.Faults())
}

func marshal(message any) string {
	data, err := json.Marshal(message)
	if err != nil {
		// All message types can be encoded, so this is a programming error.
		panic(err)
	}
	return string(data)
}
