package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/fleet"
)

// Call is what the headers of a request say.
type Call struct {
	ID         string
	Key        string        // names the team of the caller; empty if absent
	TimeLeft   time.Duration // how long the caller waits; 0 if it does not say
	Prompt     int           // tokens
	MostAnswer int           // tokens, at most
	HintAnswer int           // tokens, an estimate; 0 if absent
	LastEvent  string        // the caller has the events up to this one
}

// Send is one attempt at an upstream.
type Send struct {
	Upstream  fleet.Upstream
	TimeLeft  time.Duration
	Team      string
	Helpers   []Helper // engines that read parts of the prompt
	LastEvent string
	Urgency   int // 0 is the most urgent
}

// Helper is an engine that reads a part of a prompt for another one.
type Helper struct {
	Address     string // IP:port
	Reservation string // names the memory that it holds the part in; empty if none
}

// Answer is what the headers of an upstream's answer say.
type Answer struct {
	RequestID string // of the request that is answered
	Sealed    bool   // the upstream vouches for the answer
	NotRun    bool   // the request did not run and will not
	Fault     string // IP:port or identifier of the upstream that caused a refusal
}

// Dialect reads and writes the headers that callers and upstreams use.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Outgoing returns the headers of an attempt. in holds the caller's
	// headers that travel on; Outgoing may change it.
	Outgoing(in http.Header, s Send) http.Header
	// Answer reads the headers of an answer.
	Answer(status int, h http.Header) Answer
}

// Memory sets memory of engines aside for prompts that no engine holds alone.
type Memory interface {
	// Reserve sets tokens aside at the engine at address for hold, or renews a
	// reservation. It fails if the memory is not free.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, address, id string) error
}
