package gateway

import (
	"net/http"
	"time"
)

// responseWriter tracks whether the response has started, after which an error
// can no longer change the status.
type responseWriter struct {
	http.ResponseWriter
	timeout       time.Duration // for the caller to read a complete response
	bodyComplete  bool          // the request body was read completely
	headerWritten bool
}

// WriteHeader starts the response. The connection of a caller that does not read
// it in time is closed, so that the caller can't retain memory.
func (w *responseWriter) WriteHeader(status int) {
	w.headerWritten = true
	// Writers that don't support deadlines are only used in tests.
	controller := http.NewResponseController(w.ResponseWriter)
	_ = controller.SetWriteDeadline(time.Now().Add(w.timeout))
	if !w.bodyComplete {
		// The server reads the rest of a rejected body before it writes the
		// response, so reading may take only half of the time.
		_ = controller.SetReadDeadline(time.Now().Add(w.timeout / 2))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(data []byte) (int, error) {
	w.headerWritten = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
