// Package load is a load generator: it sends model and service requests to entry processes and summarizes the responses.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/openai"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
)

// Plan describes the requests to send.
type Plan struct {
	// Targets are the base URLs of entry processes, used round-robin.
	Targets []string
	Key     string
	Model   string
	// Requests is the number of model requests, Bookings the number of service requests.
	Requests int
	Bookings int
	// BookingPath is the path of the service route.
	BookingPath string
	// Concurrency is the maximum number of requests in flight.
	Concurrency  int
	PromptTokens int
	MaxTokens    int
	Timeout      time.Duration
	Seed         uint64
}

// Result is the outcome of one request.
type Result struct {
	// Kind is "model" or "booking".
	Kind      string
	RequestID string
	Status    int
	// Code and Verdict are those of a refusal or of an error event of the stream, and empty otherwise.
	Code    string
	Verdict string
	Text    string
	Tokens  int
	// FirstToken is the time from the start of the request to the first token, 0 if there was none.
	FirstToken time.Duration
	Total      time.Duration
	// Complete is set if the response was received to its end.
	Complete bool
	Err      error
}

// Run sends the requests of the plan, the model requests first, and returns the results in the order of sending.
func Run(ctx context.Context, plan Plan) []Result {
	total := plan.Requests + plan.Bookings
	results := make([]Result, total)
	client := &http.Client{Timeout: plan.Timeout}
	semaphore := make(chan struct{}, max(1, plan.Concurrency))
	var workers sync.WaitGroup
	for i := range total {
		semaphore <- struct{}{}
		workers.Go(func() {
			defer func() { <-semaphore }()
			target := plan.Targets[i%len(plan.Targets)]
			if i < plan.Requests {
				results[i] = sendCompletion(ctx, client, target, plan, i)
			} else {
				results[i] = sendBooking(ctx, client, target, plan, i-plan.Requests)
			}
		})
	}
	workers.Wait()
	return results
}

// makePrompt returns a prompt of the given number of tokens. The same seed and number give the same prompt.
func makePrompt(seed uint64, number, tokens int) string {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	var b strings.Builder
	fmt.Fprintf(&b, "stall %04d: ", number)
	for b.Len() < tokens*prefix.BytesPerToken {
		fmt.Fprintf(&b, "item%d ", random.IntN(1000))
	}
	return b.String()[:tokens*prefix.BytesPerToken]
}

func sendCompletion(ctx context.Context, client *http.Client, target string, plan Plan, number int) Result {
	body, err := json.Marshal(map[string]any{
		"model": plan.Model, "prompt": makePrompt(plan.Seed, number, plan.PromptTokens), "max_tokens": plan.MaxTokens, "stream": true,
	})
	if err != nil {
		return Result{Kind: "model", Err: err}
	}
	start := time.Now()
	response, err := post(ctx, client, target+"/v1/completions", plan.Key, body, nil)
	if err != nil {
		return Result{Kind: "model", Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	result := Result{Kind: "model", Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		readRefusal(response, &result)
	} else {
		readStream(response, start, &result)
	}
	result.Total = time.Since(start)
	return result
}

func sendBooking(ctx context.Context, client *http.Client, target string, plan Plan, number int) Result {
	header := http.Header{"X-Booking-Id": {fmt.Sprintf("booking-%d-%d", plan.Seed, number)}}
	start := time.Now()
	response, err := post(ctx, client, target+plan.BookingPath, plan.Key, []byte(`{"lot":"scarves"}`), header)
	if err != nil {
		return Result{Kind: "booking", Err: err, Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	result := Result{Kind: "booking", Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id")}
	if response.Header.Get("Fulmardoor-Verdict") != "" {
		readRefusal(response, &result)
	} else {
		var text bytes.Buffer
		_, err := text.ReadFrom(response.Body)
		result.Text, result.Err, result.Complete = text.String(), err, err == nil
	}
	result.Total = time.Since(start)
	return result
}

func post(
	ctx context.Context, client *http.Client, url, key string, body []byte, header http.Header,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	return response, nil
}

func readRefusal(response *http.Response, result *Result) {
	var body openai.Error
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		result.Err = errors.Wrap(err, "decode refusal")
		return
	}
	result.Code, result.Verdict = body.Error.Code, body.Error.Verdict
}

func readStream(response *http.Response, start time.Time, result *Result) {
	scanner := bufio.NewScanner(response.Body)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Complete = true
			break
		}
		var chunk struct {
			openai.Response
			openai.Error
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			result.Err = errors.Wrap(err, "decode stream event")
			return
		}
		if chunk.Error.Error.Code != "" {
			result.Code, result.Verdict = chunk.Error.Error.Code, chunk.Error.Error.Verdict
			break
		}
		for _, choice := range chunk.Choices {
			if choice.Text == nil || *choice.Text == "" {
				continue
			}
			if result.Tokens == 0 {
				result.FirstToken = time.Since(start)
			}
			result.Tokens++
			text.WriteString(*choice.Text)
		}
	}
	result.Text = text.String()
	if err := scanner.Err(); err != nil {
		result.Err = errors.Wrap(err, "read stream")
	}
}
