package relay

import (
	"net/url"
	"strings"

	"github.com/citronscale/citronscale/code"
)

// targetURL returns a URL that net/http writes as the given request target, or an error if
// there is none.
func targetURL(target string) (url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return url.URL{Scheme: "http", Opaque: target}, nil
	}
	// net/http puts the scheme before an opaque target with two slashes.
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return url.URL{}, code.New(code.BadRequest, "request target %q: %w", target, err)
	}
	u := url.URL{Scheme: "http", Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != target {
		return url.URL{}, code.New(code.BadRequest, "request target %q can't be forwarded unchanged", target)
	}
	return u, nil
}
