// Package httpengine is an HTTP client for model engines that serve OpenAI completions with vLLM's kv_transfer_params.
package httpengine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
	"github.com/fulmardoor/fulmardoor/internal/wholeresponse"
)

var _ engine.Engine = (*Engine)(nil)

// Engine is the client of one model engine. It is safe for concurrent use.
//
// If the connection fails before anything was sent, a call returns engine.ErrUnreachable; if it fails later, the call
// returns engine.ErrBroken. If the caller's context has ended, these errors also match the error of the context.
type Engine struct {
	baseURL string
	client  *http.Client
	// singleUse opens a connection for each request. Prefills, decodes and orders use it: nothing in their responses tells which
	// request they are for, and on a connection that was used before, one may be a response to an earlier request.
	singleUse *http.Client
}

// New returns a client of the engine at a base URL, for example "http://127.0.0.1:8000". The HTTP client should have no
// Timeout, because that would end long streams; nil means http.DefaultClient.
func New(baseURL string, client *http.Client) *Engine {
	limited := readlimit.Client(client)
	return &Engine{
		baseURL: strings.TrimSuffix(baseURL, "/"), client: wholeresponse.Client(limited),
		singleUse: wholeresponse.Client(readlimit.WithTransport(limited, func(t *http.Transport) { t.DisableKeepAlives = true })),
	}
}

// Prefill implements engine.Engine.
func (e *Engine) Prefill(ctx context.Context, requestID string, work *wirev1.PrefillWork) (engine.PrefillResult, error) {
	request := &vllm.CompletionRequest{
		Model:      work.GetModel(),
		Prompt:     work.GetPrompt(),
		MaxTokens:  1,
		User:       engine.AccountFrom(ctx),
		Priority:   -int(work.GetPriority()),
		KVTransfer: &vllm.KVTransfer{DoRemoteDecode: true},
	}
	response := new(vllm.CompletionResponse)
	if err := e.call(ctx, e.singleUse, http.MethodPost, "/v1/completions", requestID, request, response, maxControlBytes); err != nil {
		return engine.PrefillResult{}, err
	}
	return prefillResult(response)
}

func prefillResult(response *vllm.CompletionResponse) (engine.PrefillResult, error) {
	transfer := response.KVTransfer
	if transfer == nil || transfer.RemoteHandle == "" {
		return engine.PrefillResult{}, errors.New("engine exported no KV cache")
	}
	result := engine.PrefillResult{Handle: &wirev1.KVHandle{
		EngineAddress: transfer.RemoteAddress,
		Handle:        transfer.RemoteHandle,
		PromptTokens:  transfer.RemoteTokens,
		Bytes:         transfer.RemoteBytes,
	}}
	if usage := response.Usage; usage != nil {
		result.PromptTokens = usage.PromptTokens
		if usage.PromptDetails != nil {
			result.CachedTokens = usage.PromptDetails.CachedTokens
		}
	}
	return result, nil
}

// Decode implements engine.Engine. work.MaxTokens limits the whole output, including the tokens in work.Delivered. The
// result counts only the tokens of this call.
func (e *Engine) Decode(ctx context.Context, requestID string, work *wirev1.DecodeWork, emit func(text string) error) (engine.DecodeResult, error) {
	remaining := int(work.GetMaxTokens()) - len(work.GetDelivered())
	if remaining <= 0 {
		return engine.DecodeResult{FinishReason: "length"}, nil
	}
	request := &vllm.CompletionRequest{
		Model:      work.GetModel(),
		Prompt:     work.GetPrompt() + strings.Join(work.GetDelivered(), ""),
		MaxTokens:  remaining,
		Stream:     true,
		User:       engine.AccountFrom(ctx),
		Priority:   -int(work.GetPriority()),
		KVTransfer: importParams(work.GetHandle()),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := e.send(ctx, e.singleUse, http.MethodPost, "/v1/completions", requestID, request)
	if err != nil {
		return engine.DecodeResult{}, err
	}
	defer response.Body.Close()
	return readStream(ctx, response.Body, emit)
}

func importParams(handle *wirev1.KVHandle) *vllm.KVTransfer {
	if handle.GetHandle() == "" {
		return nil
	}
	return &vllm.KVTransfer{
		DoRemotePrefill: true,
		RemoteHandle:    handle.GetHandle(),
		RemoteAddress:   handle.GetEngineAddress(),
		RemoteTokens:    handle.GetPromptTokens(),
		RemoteBytes:     handle.GetBytes(),
	}
}

// Release implements engine.Engine.
func (e *Engine) Release(ctx context.Context, handle string) error {
	return e.call(ctx, e.client, http.MethodPost, "/release", "", &vllm.ReleaseRequest{Handle: handle}, nil, maxControlBytes)
}

// AbortAll implements engine.Engine.
func (e *Engine) AbortAll(ctx context.Context) error {
	return e.call(ctx, e.client, http.MethodPost, "/abort_requests", "", struct{}{}, nil, maxControlBytes)
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]engine.CacheEvent, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	response := new(vllm.CacheEvents)
	err := e.call(ctx, e.client, http.MethodGet, "/kv_events?"+query.Encode(), "", nil, response, maxCacheEventsBytes)
	if errors.Is(err, readlimit.ErrTooLarge) { // the full cache state replaces them
		return nil, errors.Wrap(engine.ErrEventsLost, err.Error())
	}
	if err != nil {
		return nil, err
	}
	events := make([]engine.CacheEvent, 0, len(response.Events))
	for _, event := range response.Events {
		events = append(events, engine.CacheEvent(event))
	}
	return events, nil
}

// CacheState implements engine.Engine.
func (e *Engine) CacheState(ctx context.Context) (engine.CacheState, error) {
	response, err := e.send(ctx, e.client, http.MethodGet, "/kv_cache", "", nil)
	if err != nil {
		return engine.CacheState{}, err
	}
	defer response.Body.Close()
	state, err := readCacheState(response.Body)
	if err != nil {
		return engine.CacheState{}, errors.Wrap(wrapWithKind(ctx, engine.ErrBroken, err), "cache state")
	}
	return state, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	requestBody := &vllm.Order{
		FencingNumber: order.FencingNumber,
		LoadModel:     order.Engine.GetLoadModel(),
		Version:       order.Engine.GetVersion(),
		LoadAdapter:   order.Engine.GetLoadAdapter(),
	}
	switch order.Engine.GetChangeRole() {
	case wirev1.EngineRole_ENGINE_ROLE_PREFILL:
		requestBody.ChangeRole = vllm.RolePrefill
	case wirev1.EngineRole_ENGINE_ROLE_DECODE:
		requestBody.ChangeRole = vllm.RoleDecode
	}
	return e.call(ctx, e.singleUse, http.MethodPost, "/orders", "", requestBody, nil, maxControlBytes)
}
