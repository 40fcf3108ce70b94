package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/fleet"
)

// Call holds the values of the headers of a request.
type Call struct {
	ID               string
	Key              string        // identifies the team of the caller; empty if absent
	TimeLeft         time.Duration // time to the caller's deadline; 0 if absent
	PromptTokens     int           // tokens of the prompt
	Parts            []uint64      // identifiers of the parts of the prompt, in order; the last one is of this request or its session
	MaxAnswerTokens  int           // limit of the answer tokens; 0 if absent
	AnswerTokensHint int           // estimate of the answer tokens; 0 if absent
	LastEvent        string        // identifier of the last event that the caller received
}

// AttemptParams describes one attempt at an upstream.
type AttemptParams struct {
	Upstream  fleet.Upstream
	TimeLeft  time.Duration
	Team      string
	Helpers   []Helper // engines that prefill parts of the prompt
	LastEvent string
	Urgency   int  // 0 is the most urgent, 9 the least
	Ranked    bool // Urgency is sent
}

// Helper is an engine that prefills a part of a prompt for another engine.
type Helper struct {
	Address     string // IP:port
	Reservation string // identifier of the KV cache reservation for the part; empty if none
}

// Answer holds the values of the headers of an upstream's answer.
type Answer struct {
	RequestID string // identifier of the answered request
	Sealed    bool   // the answer carries a seal of the upstream
	NotRun    bool   // the upstream did not run the request and will not run it
	Fault     string // IP:port or identifier of the upstream that caused a refusal
	// Limited tells that the upstream takes at most Limit requests a second, from all
	// hosts together, for as long as its answers say so.
	Limited bool
	Limit   float64
	// Leaving tells that the process of the upstream is leaving.
	Leaving bool
	// RetryAfter is the pause that a refusal asks this host for; 0 for none.
	RetryAfter        time.Duration
	RetryAfterInvalid bool // the refusal asks for a pause that is none
}

// Dialect reads and writes the headers that callers and upstreams use.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Outgoing returns the headers of an attempt. The argument in holds the
	// caller's end-to-end headers; Outgoing may change it.
	Outgoing(in http.Header, params AttemptParams) http.Header
	// Answer reads the headers of an answer.
	Answer(status int, h http.Header) Answer
}

// Memory reserves KV cache at engines for prompts that exceed the memory of one
// engine.
type Memory interface {
	// Reserve reserves memory for tokens at the engine at address for the time
	// hold, or renews the reservation id. It fails if the memory is not free.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, address, id string) error
}
