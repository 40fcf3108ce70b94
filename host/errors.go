package host

import (
	"errors"
	"net/http"
	"strings"

	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/upstream"
)

var errNotListed = errors.New("the upstream is not on the host list")

// asUpstreamError returns err as an upstream error. An error of another type is
// treated as if the request had been sent, because that can't be ruled out.
func asUpstreamError(name upstream.Name, err error) *upstream.Error {
	if failure, ok := upstream.AsError(err); ok {
		return failure
	}
	return &upstream.Error{Upstream: name, Sent: upstream.SentSome, Err: err}
}

// pathWithoutQuery returns the path without its query.
func pathWithoutQuery(path string) string {
	before, _, _ := strings.Cut(path, "?")
	return before
}

// Headers that identify the caller to a plain service.
const (
	headerTeam      = "Citron-Team"
	headerRequestID = "Citron-Request-Id"
)

// serviceHeader returns the headers of a call with those that identify its
// caller.
func serviceHeader(call *gateway.ServiceCall) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerTeam, call.Team)
	header.Set(headerRequestID, call.Request.String())
	return header
}
