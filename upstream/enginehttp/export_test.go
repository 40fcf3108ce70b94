package enginehttp

import (
	"io"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// NewStreamReader returns the reader of a stream without a connection.
func NewStreamReader(body io.ReadCloser, attempt ident.Attempt) upstream.Stream {
	return newStream(&engine{client: NewClient(Options{})}, body, func() {}, attempt)
}
