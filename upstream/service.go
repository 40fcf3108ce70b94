package upstream

import (
	"context"
	"net/http"

	"github.com/citronscale/citronscale/ident"
)

// Service is one plain service. Every error that Call returns is an *Error.
type Service interface {
	// Call sends a request once over a new connection. It returns a response with
	// any HTTP status; an error means that there is no response to use.
	Call(ctx context.Context, req *CallRequest) (*CallResponse, error)
}

// CallRequest is one call to a plain service.
type CallRequest struct {
	Attempt ident.Attempt
	Method  string
	Path    string // path and query, starting with a slash
	Header  http.Header
	Body    []byte
}

// CallResponse is the complete response of a plain service.
type CallResponse struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Body   []byte
}
