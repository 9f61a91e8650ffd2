package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/openai"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	headerRequestID = "X-Request-Id"
	headerVerdict   = "Fulmardoor-Verdict"
)

func errorBody(refusal *verdict.Refusal, requestID string) openai.ErrorBody {
	return openai.ErrorBody{
		Message: refusal.Detail, Type: "fulmardoor_refusal", Code: verdict.ReasonName(refusal.Reason),
		Verdict: refusal.Verdict.String(), RequestID: requestID,
	}
}

// writeRefusal records a refusal and sends it as the response; no byte of a response may have been sent before.
func (e *Entry) writeRefusal(w http.ResponseWriter, requestID string, err error) {
	refusal := verdict.As(err)
	e.recordRefusal(requestID, refusal)
	e.sendRefusal(w, requestID, refusal)
}

// sendRefusal sends a refusal as the response without recording it.
func (e *Entry) sendRefusal(w http.ResponseWriter, requestID string, refusal *verdict.Refusal) {
	header := w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	header.Set("Content-Type", "application/json")
	header.Set(headerVerdict, refusal.Verdict.String())
	w.WriteHeader(refusal.HTTPStatus())
	if err := json.NewEncoder(w).Encode(openai.Error{Error: errorBody(refusal, requestID)}); err != nil {
		e.logger.Debug("failed to write the refusal", zap.String("request", requestID), zap.Error(err))
	}
}

func (e *Entry) recordRefusal(requestID string, refusal *verdict.Refusal) {
	reason := verdict.ReasonName(refusal.Reason)
	e.events.Record("refused", requestID, "", events.Field("reason", reason), events.Field("verdict", refusal.Verdict),
		events.Field("detail", refusal.Detail))
	e.metrics.Refused(refusal)
	// The detail can quote the request, in which a caller may have put a key where it does not belong.
	e.logger.Info("request refused", zap.String("request", requestID), zap.String("reason", reason),
		zap.Stringer("verdict", refusal.Verdict), zap.String("detail", events.Redact(refusal.Detail)))
}
