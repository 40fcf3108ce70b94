package upstream

import (
	"errors"
	"fmt"
)

// Sent states whether a request can have reached the upstream.
type Sent int

// Values of Sent.
const (
	SentNothing Sent = iota + 1 // no byte was sent
	SentSome                    // some bytes were sent; the upstream may have run the request
)

// Refusal is the reason that an upstream returned for not running a request.
type Refusal string

// Refusals. The empty value means that the upstream did not refuse.
const (
	RefusedLeaving      Refusal = "leaving"
	RefusedMemory       Refusal = "memory"
	RefusedFenced       Refusal = "fenced"
	RefusedBusy         Refusal = "busy"
	RefusedLoading      Refusal = "loading"
	RefusedUnknownModel Refusal = "unknown-model"
	RefusedBadRequest   Refusal = "bad-request"
	RefusedMemberLost   Refusal = "member-lost"
)

// Error is the failure of a call to an upstream.
type Error struct {
	Upstream Name
	Sent     Sent
	Refused  Refusal // set if the upstream reported that it did not run the request
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Refused != "" {
		return fmt.Sprintf("upstream %q refused (%s): %v", e.Upstream, e.Refused, e.Err)
	}
	return fmt.Sprintf("upstream %q: %v", e.Upstream, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotRun reports whether the request is known not to have run.
func (e *Error) NotRun() bool {
	return e.Sent == SentNothing || e.Refused != ""
}

// AsError returns the first *Error in the chain of err.
func AsError(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
