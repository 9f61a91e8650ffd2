package gateway

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
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
	// begun is set if the caller had the start of the stream before the present answer.
	begun bool
	// continuing is set while an answer that continues the stream after lastID has not yet sent an event with an id.
	continuing bool
	// irregular is set if the ids do not count up by one. They then only have to increase.
	irregular bool
	// eventsWithoutID counts the events since the last one with an id.
	eventsWithoutID int
	// eventTimer limits the wait for each event after the first; nil before.
	eventTimer *responseTimer
	// onEvent is called after each event with the number of events sent so far.
	onEvent func(events int)
}

// forward copies events until the upstream ends the stream. onFirst is called when the first event was received.
func (e *eventWriter) forward(response *upstreamconn.Response, onFirst func()) error {
	e.begun = e.headerSent
	if e.begun && !mayBeEventStream(response.Header) {
		return truncatedStream(errors.Wrap(upstreamconn.ErrMalformed, "the answer that continues it is no event stream"))
	}
	e.continuing = e.lastID != ""
	reader := bufio.NewReaderSize(response.Body, 4096)
	buffer := e.r.g.AnswerMemory.NewBuffer()
	defer buffer.Release()
	seen := false
	for {
		e.eventTimer.start() // it stands while the caller is sent an event
		err := readEvent(reader, buffer)
		event := buffer.Bytes()
		e.eventTimer.stop()
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
		if errors.Is(err, io.EOF) && e.begun && e.continuing && !e.hasWholeOutput() {
			err = errors.Wrap(upstreamconn.ErrMalformed, "the answer that continues it has no event")
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

// readEvent reads one event into a buffer, up to and including the empty line that ends it, with the empty lines before it. Lines end with
// a line feed, which a carriage return may precede. On an error the buffer has the partial event.
func readEvent(reader *bufio.Reader, event *membudget.Buffer) error {
	event.Reset()
	lineStart, hasText := 0, false
	for {
		line, err := reader.ReadSlice('\n')
		if event.Append(line) != nil {
			return errors.Wrapf(upstreamconn.ErrMalformed, "no memory for an event of more than %d bytes", event.Len())
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if event.Len() > maxEventBytes {
			return errors.Wrapf(upstreamconn.ErrMalformed, "event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			continue // the line is longer than the buffer of the reader
		}
		empty := len(bytes.TrimRight(event.Bytes()[lineStart:], "\r\n")) == 0
		if empty && hasText {
			return nil
		}
		lineStart, hasText = event.Len(), !empty
	}
}

// parseEvent returns the id field of an event; empty if it has none. valid is false if the text is no event, such as the head or the
// text of an error answer. An event with an id may have fields of an extension.
func parseEvent(event []byte) (id string, valid bool) {
	known := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		switch string(bytes.TrimPrefix(name, byteOrderMark)) {
		case "": // an empty line or a comment
		case "id":
			if id == "" {
				id = string(bytes.TrimSpace(value))
			}
		case "data", "event", "retry":
		default:
			known = false
			if !hasValue || bytes.ContainsFunc(name, isNoFieldRune) {
				return "", false
			}
		}
	}
	return id, known || id != ""
}

// byteOrderMark may come before the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// isNoFieldRune reports whether a character does not occur in the names of fields, which are those of headers.
func isNoFieldRune(r rune) bool {
	return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '-' || r == '_')
}

// checkID reports whether the caller already has the event with this id. It returns an error if events are missing before it, or if
// an answer that should continue the stream starts elsewhere: it then has the events of another run. Ids are compared as numbers;
// one that is not a number is accepted.
func (e *eventWriter) checkID(id string) (alreadySent bool, err error) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		e.irregular = true
		return false, nil
	}
	last, err := strconv.ParseInt(e.lastID, 10, 64)
	switch {
	case err != nil:
		e.irregular = e.irregular || e.lastID != "" || number > 1
		return false, nil
	case number <= last && e.continuing:
		return false, errors.Wrapf(upstreamconn.ErrMalformed, "event %d where those after %d are due", number, last)
	case number <= last:
		return true, nil
	case number > last+1 && e.headerSent && !e.irregular:
		return false, errors.Wrapf(upstreamconn.ErrMalformed, "event %d follows event %d", number, last)
	case number > last+1:
		e.irregular = true
	}
	return false, nil
}

// hasWholeOutput reports whether the caller has as many events as the longest output that it permits.
func (e *eventWriter) hasWholeOutput() bool {
	last, err := strconv.Atoi(e.lastID)
	return err == nil && !e.irregular && last >= 0 && last < math.MaxInt32 && last*e.r.service.Engine.TokensPerEvent >= e.r.call.OutputTokens
}

// mayBeEventStream reports whether an answer says that it is an event stream, or does not say what it is.
func mayBeEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	mediaType, _, _ := mime.ParseMediaType(contentType)
	return contentType == "" || mediaType == "text/event-stream"
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
	id, valid := parseEvent(event)
	if !valid {
		return truncatedStream(errors.Wrap(upstreamconn.ErrMalformed, "a line is no line of an event"))
	}
	e.eventsWithoutID++
	if id != "" {
		e.eventsWithoutID = 0
	}
	if e.eventsWithoutID > maxEventsWithoutID {
		return truncatedStream(errors.Wrapf(upstreamconn.ErrMalformed, "more than %d events without an id", maxEventsWithoutID))
	}
	if id == "" && e.begun && e.continuing {
		return nil // it belongs to the start of an answer, which the caller already has
	}
	if id != "" {
		alreadySent, err := e.checkID(id)
		if err != nil {
			return truncatedStream(err)
		}
		if alreadySent {
			return nil
		}
		e.continuing = false
	}
	if !e.headerSent {
		e.sendHeader(response)
		e.r.recordStep("first_event", id)
	}
	if err := wrapForwardError(e.r.w.Write(event)); err != nil {
		return err
	}
	events := int(e.r.events.Add(1))
	e.r.lastEventAt = time.Now()
	e.onEvent(events)
	if id != "" {
		e.lastID = id
	}
	return wrapForwardError(0, http.NewResponseController(e.r.w).Flush())
}

// mayContinue reports whether another answer can continue the stream: nothing was sent yet, or the events have ids.
func (e *eventWriter) mayContinue() bool { return !e.headerSent || e.lastID != "" }

// streamError returns the final error of a stream. Once the headers were sent to the caller, its verdict is Ran.
func (e *eventWriter) streamError(err error) error {
	if !e.headerSent {
		return err
	}
	failure := *verdict.As(err)
	failure.Verdict = verdict.Ran
	return &failure
}
