package upstream

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Engine is one model engine. Every error that a method returns is an *Error.
type Engine interface {
	// Generate starts the generation of an answer. It returns once the engine
	// has accepted the request; ctx limits the entire stream.
	Generate(ctx context.Context, req *GenerateRequest) (Stream, error)
	// Reserve reserves KV memory for one part of a large prompt.
	Reserve(ctx context.Context, req *ReserveRequest) error
	// Prefill computes one part of a large prompt into reserved memory and
	// keeps the result for export to the engine that generates the answer.
	Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error)
	// Release frees all memory that the attempt reserved or exported.
	Release(ctx context.Context, attempt ident.Attempt) error
	// Cancel ends the stream of the attempt and frees all its memory. It also
	// succeeds if the engine has no such attempt.
	Cancel(ctx context.Context, attempt ident.Attempt) error
	// Report fetches the load of the engine.
	Report(ctx context.Context) (*Report, error)
	// Order sets the model, version, role and adapters that the engine serves.
	Order(ctx context.Context, order *Order) error
}

// GenerateRequest is a request for an answer to a prompt.
type GenerateRequest struct {
	Attempt      ident.Attempt
	Model        string
	Prompt       string // text after the parts that the members computed
	PromptTokens uint32 // of the entire prompt, including the parts of members
	MaxTokens    uint32 // limit for the entire answer, counted from offset zero
	Priority     int    // 0 is the highest
	ResumeOffset uint64 // tokens of the answer that earlier attempts delivered
	ResumeText   string // text of those tokens
	Members      []Member
}

// Member is an engine that stores one exported part of a prompt. A request
// lists its members in prompt order; the generating engine can be one of them.
type Member struct {
	Name    Name
	Address string // IP:port
}

// ReserveRequest is a request for KV memory.
type ReserveRequest struct {
	Attempt ident.Attempt
	Tokens  uint32
	Expiry  time.Time // only for readers of the report; the engine keeps the memory until Release or Cancel
}

// PrefillRequest is a request to compute one part of a prompt.
type PrefillRequest struct {
	Attempt  ident.Attempt
	Model    string
	Part     uint32 // index of the part, from 0
	Prompt   string // text of the part; a multiple of BlockBytes long, except in the last part
	Priority int
}

// PrefillResult describes a computed part.
type PrefillResult struct {
	Tokens       uint32
	CachedTokens uint32 // taken from the prefix cache
}

// Stream reads the answer of an engine while it is generated.
type Stream interface {
	// Next returns the next frame. It returns io.EOF only after the frame that
	// carries the end marker, and an *Error if the stream ends without one.
	Next() (Frame, error)
	// Close ends the stream and frees its connection. The engine detects the
	// closed connection, but only Cancel is certain to free the memory of the
	// attempt.
	Close() error
}

// Frame is one piece of an answer.
type Frame struct {
	Attempt      ident.Attempt
	Offset       uint64 // number of answer tokens before this frame
	Text         string
	Tokens       uint32 // tokens in Text
	Done         bool   // the end marker; carries no text
	FinishReason string // set with Done: FinishStop or FinishLength
	CachedTokens uint32 // set in the first frame: prompt tokens taken from the prefix cache
}

// Finish reasons.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)
