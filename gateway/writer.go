package gateway

import "net/http"

// responseWriter remembers whether the response has begun, after which an
// error can no longer change the status.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
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
