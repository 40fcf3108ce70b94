package host

import (
	"errors"
	"net/http"
	"strings"

	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/upstream"
)

var errNotListed = errors.New("the upstream is not on the host list")

// asUpstreamError returns err as the error of an upstream. An error that is
// not one counts as sent, because nothing is known about it.
func asUpstreamError(name upstream.Name, err error) *upstream.Error {
	if failure, ok := upstream.AsError(err); ok {
		return failure
	}
	return &upstream.Error{Upstream: name, Sent: upstream.SentSome, Err: err}
}

// pathOnly returns the path without its query.
func pathOnly(path string) string {
	only, _, _ := strings.Cut(path, "?")
	return only
}

// Headers that tell a plain service who calls.
const (
	headerTeam      = "Citron-Team"
	headerRequestID = "Citron-Request-Id"
)

// serviceHeader returns the headers of a call and who makes it.
func serviceHeader(call *gateway.ServiceCall) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerTeam, call.Team)
	header.Set(headerRequestID, call.Request.String())
	return header
}
