package upstream

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Engine is one model engine. Every error that a method returns is an *Error.
type Engine interface {
	// Generate starts an answer. It returns once the engine has accepted the
	// request; the context bounds the whole stream.
	Generate(ctx context.Context, req *GenerateRequest) (Stream, error)
	// Reserve sets KV memory aside for one part of a large prompt.
	Reserve(ctx context.Context, req *ReserveRequest) error
	// Prefill computes one part of a large prompt into reserved memory and
	// keeps it for export to the engine that generates.
	Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error)
	// Release frees all memory that the attempt reserved or exported.
	Release(ctx context.Context, attempt ident.Attempt) error
	// Cancel ends the stream of the attempt and frees all its memory. It
	// succeeds if the engine does not know the attempt.
	Cancel(ctx context.Context, attempt ident.Attempt) error
	// Report reads the load of the engine.
	Report(ctx context.Context) (*Report, error)
	// Order tells the engine what to serve.
	Order(ctx context.Context, order *Order) error
}

// GenerateRequest asks an engine for an answer to a prompt.
type GenerateRequest struct {
	Attempt      ident.Attempt
	Model        string
	Prompt       string // text after the parts that the members hold
	PromptTokens uint32 // of the whole prompt, parts of members included
	MaxTokens    uint32 // of the whole answer, from offset zero
	Priority     int    // 0 is served first
	ResumeOffset uint64 // tokens of the answer that were delivered before
	ResumeText   string // text of those tokens
	Members      []Member
}

// Member is an engine that holds one exported part of a prompt. A request
// lists its members in prompt order; the generating engine can be one of them.
type Member struct {
	Name    Name
	Address string // IP:port
}

// ReserveRequest asks for KV memory.
type ReserveRequest struct {
	Attempt ident.Attempt
	Tokens  uint32
	Expiry  time.Time // informs readers of the report; the engine keeps the memory until it is told
}

// PrefillRequest asks an engine to compute one part of a prompt.
type PrefillRequest struct {
	Attempt  ident.Attempt
	Model    string
	Part     uint32 // index of the part, from 0
	Prompt   string // text of the part; all parts but the last hold whole blocks of BlockBytes
	Priority int
}

// PrefillResult describes a computed part.
type PrefillResult struct {
	Tokens       uint32
	CachedTokens uint32 // taken from the prefix cache
}

// Stream is the answer of an engine while it is generated.
type Stream interface {
	// Next returns the next frame. It returns io.EOF only after the frame that
	// carries the end marker, and an *Error if the stream ends without one.
	Next() (Frame, error)
	// Close ends the stream and frees its connection. The engine sees that the
	// reader is gone, but only Cancel frees its memory for sure.
	Close() error
}

// Frame is one piece of an answer.
type Frame struct {
	Attempt      ident.Attempt
	Offset       uint64 // tokens of the answer before this frame
	Text         string
	Tokens       uint32 // tokens in Text
	Done         bool   // the end marker; carries no text
	FinishReason string // with Done: FinishStop or FinishLength
	CachedTokens uint32 // with the first frame: prompt tokens taken from the prefix cache
}

// Reasons why an answer ended.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)
