package relay

import (
	"net/http"
	"time"
)

// writeChunk is the part of an answer that a caller has to take within
// Options.WriteTimeout. Slow callers need that time for each part.
const writeChunk = 16 << 10

// write writes a part of the answer. A caller that stops reading ends its connection;
// it would hold the answer, and the stream of an upstream, for as long as it likes.
func (x *exchange) write(data []byte) error {
	controller := http.NewResponseController(x.w)
	for len(data) > 0 {
		part := data[:min(len(data), writeChunk)]
		if timeout := x.s.options.WriteTimeout; timeout > 0 {
			// Writers that don't support deadlines are only used in tests.
			_ = controller.SetWriteDeadline(time.Now().Add(timeout))
		}
		if _, err := x.w.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// clearDeadlines clears the deadlines that the previous request left on the
// connection.
func (x *exchange) clearDeadlines() {
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Time{})
}
