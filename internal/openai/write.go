package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Writer writes the answer of one request to its caller, as a stream of server-sent events or whole.
type Writer struct {
	w       http.ResponseWriter
	flusher http.Flusher
	req     *Request
	id      string
	created int64
	text    strings.Builder
	begun   bool
	// buf is the buffer of one event.
	buf bytes.Buffer
}

// NewWriter returns a writer; nothing is sent before the first token or the end.
func NewWriter(w http.ResponseWriter, req *Request, id string) *Writer {
	flusher, _ := w.(http.Flusher)
	return &Writer{w: w, flusher: flusher, req: req, id: id, created: time.Now().Unix()}
}

// Begun reports whether bytes of the answer went to the caller.
func (w *Writer) Begun() bool { return w.begun }

// Token adds one token.
func (w *Writer) Token(text string) error {
	if !w.req.Stream {
		w.text.WriteString(text)
		return nil
	}
	return w.chunk(Choice{}, text, nil)
}

// End completes the answer.
func (w *Writer) End(finishReason string, usage Usage) error {
	if !w.req.Stream {
		return w.whole(finishReason, usage)
	}
	if err := w.chunk(Choice{FinishReason: &finishReason}, "", nil); err != nil {
		return err
	}
	if w.req.IncludeUsage {
		if err := w.event(w.response(nil, &usage)); err != nil {
			return err
		}
	}
	return w.raw([]byte("data: [DONE]\n\n"))
}

// Fail ends a begun stream with an error event. A stream without the [DONE] event is not a whole answer.
func (w *Writer) Fail(body ErrorBody) error {
	return w.event(Error{Error: body})
}

func (w *Writer) chunk(choice Choice, text string, usage *Usage) error {
	if w.req.Kind == Chat {
		choice.Delta = &Delta{Content: text}
		if !w.begun {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	return w.event(w.response([]Choice{choice}, usage))
}

func (w *Writer) response(choices []Choice, usage *Usage) Response {
	object := "text_completion"
	if w.req.Kind == Chat {
		object = "chat.completion.chunk"
	}
	if choices == nil {
		choices = []Choice{}
	}
	return Response{ID: w.id, Object: object, Created: w.created, Model: w.req.Model, Choices: choices, Usage: usage}
}

func (w *Writer) whole(finishReason string, usage Usage) error {
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
	w.begun = true
	w.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w.w).Encode(body); err != nil {
		return errors.Wrap(err, "write answer")
	}
	return nil
}

func (w *Writer) event(v any) error {
	w.buf.Reset()
	w.buf.WriteString("data: ")
	// Encode ends the value with a newline; an event ends with an empty line.
	if err := json.NewEncoder(&w.buf).Encode(v); err != nil {
		return errors.Wrap(err, "encode event")
	}
	w.buf.WriteByte('\n')
	return w.raw(w.buf.Bytes())
}

func (w *Writer) raw(text []byte) error {
	if !w.begun {
		w.begun = true
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
