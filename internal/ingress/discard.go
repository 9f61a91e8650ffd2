package ingress

import (
	"io"
	"net/http"
	"time"
)

// maxDiscardTime limits how long the rest of a refused body is read.
const maxDiscardTime = 5 * time.Second

// AnswerEarly lets a handler answer before it has read the body, and reports whether that is possible. Otherwise the server reads the rest before it
// sends the answer, or closes the connection while the client still sends. DiscardBody must be called after the answer.
func AnswerEarly(w http.ResponseWriter) bool {
	return http.NewResponseController(w).EnableFullDuplex() == nil
}

// DiscardBody sends the answer, and reads the rest of the body because many clients read an answer only after they have sent all. If the rest does not
// come, it panics with http.ErrAbortHandler, which closes the connection: the server cannot go on with one whose body is incomplete.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
