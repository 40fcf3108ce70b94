package enginehttp

import (
	"io"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// NewStreamReader returns a stream that reads body instead of a connection.
func NewStreamReader(body io.ReadCloser, attempt ident.Attempt) upstream.Stream {
	return newStream(&engine{client: NewClient(Options{})}, body, func() {}, attempt)
}
