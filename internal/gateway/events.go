package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// maxEventBytes is the largest size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxEventsWithoutID is the number of consecutive events without an id from which a stream is malformed. Events have ids, but
	// a few comments may come between them.
	maxEventsWithoutID = 64
)

// eventWriter forwards the events of a stream to the caller. If the stream is continued at another upstream, each event is
// still sent only once, and never in part.
type eventWriter struct {
	r *request
	// headerSent is set once the status and headers of the answer were sent.
	headerSent bool
	// lastID is the id of the last event that the caller has. It starts as Call.ResumeAfter.
	lastID string
	// eventsWithoutID counts the events since the last one with an id.
	eventsWithoutID int
	// onEvent is called after each event with the number of events sent so far.
	onEvent func(events int)
}

// forward copies events until the upstream ends the stream. onFirst is called when the first event was received.
func (e *eventWriter) forward(response *upstreamconn.Response, onFirst func()) error {
	reader := bufio.NewReaderSize(response.Body, 4096)
	seen := false
	for {
		event, err := readEvent(reader)
		if len(event) > 0 && err == nil {
			if !seen {
				seen = true
				onFirst()
			}
			if err := e.write(response, event); err != nil {
				return err
			}
			continue
		}
		if errors.Is(err, io.EOF) && !seen && !response.SelfDelimited() {
			// The connection of an engine that ends after it sent the headers looks the same as an empty stream.
			err = errors.New("the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimRight(event, "\r\n")) == 0 {
			if !e.headerSent {
				e.sendHeader(response)
			}
			return wrapForwardError(e.r.w.Write(event))
		}
		return truncatedStream(err)
	}
}

// truncatedStream returns the error of a stream that was cut off.
func truncatedStream(err error) error {
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: failureReason(err), Detail: "the stream was cut off: " + err.Error()}
}

// readEvent reads one event up to and including the empty line that ends it, with the empty lines before it. Lines end with a
// line feed, which a carriage return may precede. On an error it also returns the partial event.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart, hasText := 0, false
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, errors.Wrapf(upstreamconn.ErrMalformed, "event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			continue // the line is longer than the buffer of the reader
		}
		empty := len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0
		if empty && hasText {
			return event, nil
		}
		lineStart, hasText = len(event), !empty
	}
}

// eventID returns the id field of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// alreadySent reports whether the caller already has the event with this id. It compares ids as numbers and returns false if
// one is not a number.
func (e *eventWriter) alreadySent(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.lastID, 10, 64)
	return err == nil && lastErr == nil && number <= last
}

// sendHeader sends the status and headers of the upstream's answer to the caller.
func (e *eventWriter) sendHeader(response *upstreamconn.Response) {
	header := e.r.w.Header()
	for name, values := range e.r.g.Protocol.ResponseHeader(response.Header) {
		header[name] = values
	}
	e.headerSent, e.r.written, e.r.status = true, true, response.Status
	e.r.writeHeader(response.Status)
}

// write sends an event to the caller, unless the caller already has it.
func (e *eventWriter) write(response *upstreamconn.Response, event []byte) error {
	id := eventID(event)
	e.eventsWithoutID++
	if id != "" {
		e.eventsWithoutID = 0
	}
	if e.eventsWithoutID > maxEventsWithoutID {
		return truncatedStream(errors.Wrapf(upstreamconn.ErrMalformed, "more than %d events without an id", maxEventsWithoutID))
	}
	if id != "" && e.alreadySent(id) {
		return nil
	}
	if !e.headerSent {
		e.sendHeader(response)
		e.r.recordStep("first_event", id)
	}
	if err := wrapForwardError(e.r.w.Write(event)); err != nil {
		return err
	}
	e.r.events++
	e.r.lastEventAt = time.Now()
	e.onEvent(e.r.events)
	if id != "" {
		e.lastID = id
	}
	return wrapForwardError(0, http.NewResponseController(e.r.w).Flush())
}

// streamError returns the final error of a stream. Once the headers were sent to the caller, its verdict is Ran.
func (e *eventWriter) streamError(err error) error {
	if !e.headerSent {
		return err
	}
	failure := *verdict.As(err)
	failure.Verdict = verdict.Ran
	return &failure
}
