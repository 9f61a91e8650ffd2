// Package openai has the request and response types of the OpenAI-compatible completions and chat APIs.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// Kind is the API of a request.
type Kind int

const (
	// Completions is POST /v1/completions.
	Completions Kind = iota
	// Chat is POST /v1/chat/completions.
	Chat
)

// Request is a validated request of either API.
type Request struct {
	Kind   Kind
	Model  string
	Prompt string
	// MaxTokens is 0 if the caller set no limit.
	MaxTokens int
	Stream    bool
	// IncludeUsage adds a chunk with token counts to a stream.
	IncludeUsage bool
	Priority     int
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// wireRequest is the JSON body of a request.
type wireRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N        *int `json:"n"`
	Priority int  `json:"priority"`
}

// ParseRequest decodes and validates a request body. The error names the invalid field.
func ParseRequest(kind Kind, body []byte) (*Request, error) {
	var in wireRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errors.Wrap(err, "body is not a valid JSON request")
	}
	if in.Model == "" {
		return nil, errors.New("model is missing")
	}
	if in.N != nil && *in.N != 1 {
		return nil, errors.Errorf("n is %d, only 1 is supported", *in.N)
	}
	maxTokens, err := in.maxTokens()
	if err != nil {
		return nil, err
	}
	prompt, err := in.prompt(kind)
	if err != nil {
		return nil, err
	}
	return &Request{
		Kind: kind, Model: in.Model, Prompt: prompt, MaxTokens: maxTokens, Stream: in.Stream,
		IncludeUsage: in.StreamOptions.IncludeUsage, Priority: in.Priority,
	}, nil
}

func (in *wireRequest) maxTokens() (int, error) {
	value := in.MaxTokens
	if value == nil {
		value = in.MaxCompletionTokens
	}
	if value == nil {
		return 0, nil
	}
	if *value < 1 {
		return 0, errors.Errorf("max_tokens is %d, must be at least 1", *value)
	}
	return *value, nil
}

func (in *wireRequest) prompt(kind Kind) (string, error) {
	if kind == Chat {
		return chatPrompt(in.Messages)
	}
	var prompt string
	if err := json.Unmarshal(in.Prompt, &prompt); err != nil || prompt == "" {
		return "", errors.New("prompt is missing or not a string")
	}
	return prompt, nil
}

// chatPrompt renders the messages of a chat as one prompt.
func chatPrompt(messages []Message) (string, error) {
	if len(messages) == 0 {
		return "", errors.New("messages are missing")
	}
	var b strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return "", errors.Errorf("messages[%d].role is missing", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the generated text of a response or chunk. There is exactly one, because n must be 1; only the chunk with
// the token counts has none.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a chat message that one chunk of a stream adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Response is a complete response or one chunk of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Error is the JSON body of a refusal.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error and says whether the request may have run.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Verdict is "not run", "may have run" or "ran".
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id,omitempty"`
}
