package entry

import "net/http"

// announceClose makes the answers of a stopping process announce the close of their connections. Without that, a caller sends its
// next request on a connection that the process is closing, and cannot know whether it ran.
func (e *Entry) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closeAnnouncer{ResponseWriter: w, stopping: e.isStopping}, r)
	})
}

// closeAnnouncer adds the announcement when the head of an answer is sent, because the stop may begin while a request runs.
type closeAnnouncer struct {
	http.ResponseWriter
	stopping func() bool
	headSent bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closeAnnouncer) WriteHeader(status int) {
	if !w.headSent && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.headSent = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closeAnnouncer) Write(p []byte) (int, error) {
	if !w.headSent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *closeAnnouncer) Flush() {
	if !w.headSent {
		w.WriteHeader(http.StatusOK)
	}
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the server's writer.
func (w *closeAnnouncer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
