// Package endtoend separates the end-to-end headers of a message from its
// hop-by-hop headers (RFC 9110, section 7.6.1).
package endtoend

import (
	"net/http"
	"strings"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Header returns a copy of header without the hop-by-hop headers and without those
// that the Connection header names. The copy is never nil.
func Header(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		return http.Header{}
	}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
