// Package vllm defines the JSON messages of the model engine protocol: OpenAI completions with vLLM's
// kv_transfer_params for exported KV caches, and management calls.
package vllm

// HeaderRequestID is the name of the header that carries the request ID of a completion.
const HeaderRequestID = "X-Request-Id"

// StreamEnd is the data of the event that ends a complete stream.
const StreamEnd = "[DONE]"

// Names of the load metrics of an engine.
const (
	MetricRunning = "vllm:num_requests_running"
	MetricWaiting = "vllm:num_requests_waiting"
	MetricKVUsage = "vllm:kv_cache_usage_perc"
)

// Error codes of an ErrorBody.
const (
	CodeBusy       = "engine_busy"
	CodeEvicted    = "kv_evicted"
	CodeStaleOrder = "stale_order"
	CodeEventsLost = "events_lost"
	CodeAborted    = "aborted"
	CodeBadRequest = "bad_request"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// User names the client account.
	User string `json:"user,omitempty"`
	// Priority orders waiting requests; a lower value runs first, as in vLLM.
	Priority   int         `json:"priority,omitempty"`
	KVTransfer *KVTransfer `json:"kv_transfer_params,omitempty"`
}

// KVTransfer holds the kv_transfer_params: it requests the export of a KV cache or names an exported one.
type KVTransfer struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteHandle    string `json:"remote_handle,omitempty"`
	RemoteAddress   string `json:"remote_address,omitempty"`
	RemoteTokens    uint32 `json:"remote_tokens,omitempty"`
	RemoteBytes     uint64 `json:"remote_bytes,omitempty"`
}

// CompletionResponse is the response to a completion that is not streamed, or one event of a stream.
type CompletionResponse struct {
	ID         string      `json:"id"`
	Object     string      `json:"object"`
	Model      string      `json:"model"`
	Choices    []Choice    `json:"choices"`
	Usage      *Usage      `json:"usage,omitempty"`
	KVTransfer *KVTransfer `json:"kv_transfer_params,omitempty"`
	// Error is set in the last event of a failed stream.
	Error *Error `json:"error,omitempty"`
}

// Choice is a part of the output text.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails holds the number of prompt tokens that were found in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Error describes a failed request.
type Error struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Error Error `json:"error"`
}

// ReleaseRequest is the body of POST /release.
type ReleaseRequest struct {
	Handle string `json:"handle"`
}

// CacheEvent reports that a block was added to or removed from the prefix cache.
type CacheEvent struct {
	Number  uint64 `json:"number"`
	Hash    uint64 `json:"hash"`
	Removed bool   `json:"removed,omitempty"`
}

// CacheEvents is the response to GET /kv_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheState is the response to GET /kv_cache.
type CacheState struct {
	Number uint64   `json:"number"`
	Hashes []uint64 `json:"hashes"`
}

// Order is the body of POST /orders.
type Order struct {
	FencingNumber uint64 `json:"fencing_number"`
	LoadModel     string `json:"load_model,omitempty"`
	Version       string `json:"version,omitempty"`
	LoadAdapter   string `json:"load_adapter,omitempty"`
	// ChangeRole is RolePrefill, RoleDecode or empty for no change.
	ChangeRole string `json:"change_role,omitempty"`
}

// Values of Order.ChangeRole.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)
