package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
)

// maxEventBytes is the maximum size of one event of a stream, which has the text of one token. As many are read at a time as the engine has
// places.
const maxEventBytes = 128 << 10

var dataPrefix = []byte("data:")

// readStream calls emit for each token of a stream. A stream that ends without a finish reason and the event vllm.StreamEnd
// returns engine.ErrBroken.
func readStream(ctx context.Context, body io.Reader, emit func(text string) error) (engine.DecodeResult, error) {
	var result engine.DecodeResult
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == vllm.StreamEnd && result.FinishReason == "" {
			return result, brokenError(ctx, errors.New("the stream ended without a finish reason"))
		}
		if string(data) == vllm.StreamEnd {
			return result, nil
		}
		if err := readEvent(data, &result, emit); err != nil {
			return result, err
		}
	}
	if err := scanner.Err(); err != nil {
		return result, brokenError(ctx, err)
	}
	return result, brokenError(ctx, io.ErrUnexpectedEOF)
}

// readEvent decodes one event, adds it to result and calls emit for its tokens. It does not retain data.
func readEvent(data []byte, result *engine.DecodeResult, emit func(text string) error) error {
	event := new(vllm.CompletionResponse)
	if err := json.Unmarshal(data, event); err != nil {
		return errors.Wrap(err, "decode stream event")
	}
	if event.Error != nil {
		return codeError("in the stream", event.Error)
	}
	if event.Usage != nil {
		result.PromptTokens = event.Usage.PromptTokens
	}
	for _, choice := range event.Choices {
		if choice.FinishReason != "" {
			result.FinishReason = choice.FinishReason
		}
		if choice.Text == "" {
			continue
		}
		result.OutputTokens++
		if err := emit(choice.Text); err != nil {
			return err
		}
	}
	return nil
}
