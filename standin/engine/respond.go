package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
)

// readJSON decodes the body of a request. If it is malformed, readJSON responds with an error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(message)
	if err != nil {
		writeError(w, errors.Wrapf(ErrBadRequest, "body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// writeError responds with the status and code of err, or closes the connection without a response where abortIfBroken
// does so.
func writeError(w http.ResponseWriter, err error) {
	abortIfBroken(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(err))
	body := vllm.ErrorBody{Error: vllm.Error{Message: err.Error(), Code: codeOf(err)}}
	_ = json.NewEncoder(w).Encode(&body)
}

// abortIfBroken closes the connection without a response if the engine was killed or dropped its connections, or if the
// client or Server.Shutdown cancelled the call.
func abortIfBroken(err error) {
	if errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrUnreachable) || errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
}

func codeOf(err error) string {
	switch {
	case errors.Is(err, engine.ErrBusy):
		return vllm.CodeBusy
	case errors.Is(err, engine.ErrEvicted):
		return vllm.CodeEvicted
	case errors.Is(err, engine.ErrStaleOrder):
		return vllm.CodeStaleOrder
	case errors.Is(err, engine.ErrEventsLost):
		return vllm.CodeEventsLost
	case errors.Is(err, ErrAborted):
		return vllm.CodeAborted
	case errors.Is(err, ErrBadRequest):
		return vllm.CodeBadRequest
	}
	return ""
}

func statusOf(err error) int {
	switch codeOf(err) {
	case vllm.CodeBusy:
		return http.StatusServiceUnavailable
	case vllm.CodeEvicted, vllm.CodeEventsLost:
		return http.StatusGone
	case vllm.CodeStaleOrder, vllm.CodeAborted:
		return http.StatusConflict
	case vllm.CodeBadRequest:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
