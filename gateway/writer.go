package gateway

import (
	"net/http"
	"time"
)

// responseWriter remembers whether the response has begun, after which an
// error can no longer change the status.
type responseWriter struct {
	http.ResponseWriter
	timeout  time.Duration // in which the caller must take a whole answer
	bodyRead bool          // the whole body of the request was read
	begun    bool
}

// WriteHeader begins the response. A caller that does not take it in time loses
// its connection, so that it can't pin memory.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	// Writers that don't support deadlines are only used in tests.
	control := http.NewResponseController(w.ResponseWriter)
	_ = control.SetWriteDeadline(time.Now().Add(w.timeout))
	if !w.bodyRead {
		// The server reads what is left of a refused body before it writes the
		// answer, which needs its part of the time.
		_ = control.SetReadDeadline(time.Now().Add(w.timeout / 2))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(data []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
