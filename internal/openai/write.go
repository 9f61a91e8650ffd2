package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Writer writes the response to one request, as a stream of server-sent events or as one JSON body.
type Writer struct {
	w       http.ResponseWriter
	flusher http.Flusher
	req     *Request
	id      string
	created int64
	text    strings.Builder
	started bool
	// buf holds the event that is being encoded.
	buf bytes.Buffer
}

// NewWriter returns a writer. It sends nothing before the first token or the end of the response.
func NewWriter(w http.ResponseWriter, req *Request, id string) *Writer {
	flusher, _ := w.(http.Flusher)
	return &Writer{w: w, flusher: flusher, req: req, id: id, created: time.Now().Unix()}
}

// Started reports whether bytes of the response were sent to the caller.
func (w *Writer) Started() bool { return w.started }

// Token adds one token to the response.
func (w *Writer) Token(text string) error {
	if !w.req.Stream {
		w.text.WriteString(text)
		return nil
	}
	return w.writeChunk(Choice{}, text, nil)
}

// End completes the response.
func (w *Writer) End(finishReason string, usage Usage) error {
	if !w.req.Stream {
		return w.writeResponse(finishReason, usage)
	}
	if err := w.writeChunk(Choice{FinishReason: &finishReason}, "", nil); err != nil {
		return err
	}
	if w.req.IncludeUsage {
		if err := w.writeEvent(w.streamResponse(nil, &usage)); err != nil {
			return err
		}
	}
	return w.writeRaw([]byte("data: [DONE]\n\n"))
}

// Fail ends a started stream with an error event. A stream without the [DONE] event is an incomplete response.
func (w *Writer) Fail(body ErrorBody) error {
	return w.writeEvent(Error{Error: body})
}

func (w *Writer) writeChunk(choice Choice, text string, usage *Usage) error {
	if w.req.Kind == Chat {
		choice.Delta = &Delta{Content: text}
		if !w.started {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	return w.writeEvent(w.streamResponse([]Choice{choice}, usage))
}

func (w *Writer) streamResponse(choices []Choice, usage *Usage) Response {
	object := "text_completion"
	if w.req.Kind == Chat {
		object = "chat.completion.chunk"
	}
	if choices == nil {
		choices = []Choice{}
	}
	return Response{ID: w.id, Object: object, Created: w.created, Model: w.req.Model, Choices: choices, Usage: usage}
}

func (w *Writer) writeResponse(finishReason string, usage Usage) error {
	text := w.text.String()
	choice := Choice{FinishReason: &finishReason}
	object := "text_completion"
	if w.req.Kind == Chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body := Response{
		ID: w.id, Object: object, Created: w.created, Model: w.req.Model, Choices: []Choice{choice}, Usage: &usage,
	}
	w.started = true
	w.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w.w).Encode(body); err != nil {
		return errors.Wrap(err, "write response")
	}
	return nil
}

func (w *Writer) writeEvent(v any) error {
	w.buf.Reset()
	w.buf.WriteString("data: ")
	// Encode ends the value with a newline; the second newline adds the empty line that ends an event.
	if err := json.NewEncoder(&w.buf).Encode(v); err != nil {
		return errors.Wrap(err, "encode event")
	}
	w.buf.WriteByte('\n')
	return w.writeRaw(w.buf.Bytes())
}

func (w *Writer) writeRaw(text []byte) error {
	if !w.started {
		w.started = true
		w.w.Header().Set("Content-Type", "text/event-stream")
		w.w.Header().Set("Cache-Control", "no-store")
		w.w.WriteHeader(http.StatusOK)
	}
	if _, err := w.w.Write(text); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if w.flusher != nil {
		w.flusher.Flush()
	}
	return nil
}
