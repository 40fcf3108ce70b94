// Package statusline checks the status lines of answers. The client of net/http takes any three
// digits for a status and any digits for a version, but its server panics on a status below
// 100, and callers can't make sense of one above 599.
package statusline

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid is returned for a status line that HTTP/1 does not allow.
var ErrInvalid = errors.New("invalid status line")

// Check returns an error if the status line of a response is not that of a final answer of
// HTTP/1. A status below 200 is not: net/http handles interim answers itself, and 101 answers
// an upgrade, for which no request asks. Nothing in such an answer is to be trusted, its
// headers included.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrInvalid, response.Proto)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > 599 {
		return fmt.Errorf("%w: status %q", ErrInvalid, response.Status)
	}
	return nil
}
