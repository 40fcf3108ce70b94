package enginewire

import (
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Generate is the body of a request to PathGenerate.
type Generate struct {
	Attempt      Attempt  `json:"attempt"`
	Model        string   `json:"model"`
	Prompt       string   `json:"prompt"`
	PromptTokens uint32   `json:"prompt_tokens"`
	MaxTokens    uint32   `json:"max_tokens"`
	Priority     int      `json:"priority"`
	ResumeOffset uint64   `json:"resume_offset,omitempty"`
	ResumeText   string   `json:"resume_text,omitempty"`
	Members      []Member `json:"members,omitempty"`
}

// Member is an engine that stores one exported part of a prompt.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// NewGenerate returns the message for req.
func NewGenerate(req *upstream.GenerateRequest) *Generate {
	message := &Generate{
		Attempt:      Attempt(req.Attempt),
		Model:        req.Model,
		Prompt:       req.Prompt,
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Priority:     req.Priority,
		ResumeOffset: req.ResumeOffset,
		ResumeText:   req.ResumeText,
	}
	for _, member := range req.Members {
		message.Members = append(message.Members, Member{Name: string(member.Name), Address: member.Address})
	}
	return message
}

// Reserve is the body of a request to PathReserve.
type Reserve struct {
	Attempt  Attempt `json:"attempt"`
	Tokens   uint32  `json:"tokens"`
	ExpiryMS int64   `json:"expiry_ms"` // Unix milliseconds
}

// Prefill is the body of a request to PathPrefill.
type Prefill struct {
	Attempt  Attempt `json:"attempt"`
	Model    string  `json:"model"`
	Part     uint32  `json:"part"`
	Prompt   string  `json:"prompt"`
	Priority int     `json:"priority"`
}

// Prefilled is the response to Prefill. The engine sends the status when it
// accepts the request and the body when the part is computed.
type Prefilled struct {
	Tokens       uint32 `json:"tokens"`
	CachedTokens uint32 `json:"cached_tokens"`
	Error        string `json:"error,omitempty"` // set if the engine aborted the computation
}

// Subject is the body of a request to PathRelease or PathCancel.
type Subject struct {
	Attempt Attempt `json:"attempt"`
}

// Export describes the part of a prompt that an engine stores for an attempt.
type Export struct {
	Part   uint32   `json:"part"`
	Tokens uint32   `json:"tokens"`
	Blocks []uint64 `json:"blocks"` // digests of the blocks of the part
}

// Frame is one piece of an answer, the data of one server-sent event. Exactly
// one of Text, Done and Error is set.
type Frame struct {
	Attempt      string `json:"attempt"` // textual form; a string, so that a client need not parse it for each frame
	Offset       uint64 `json:"offset"`
	Text         string `json:"text,omitempty"`
	Tokens       uint32 `json:"tokens,omitempty"`
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	CachedTokens uint32 `json:"cached_tokens,omitempty"`
	Error        string `json:"error,omitempty"` // set if the engine aborted the answer; no end marker follows
}

// Upstream converts the frame to the type of the upstream package. attempt is
// the parsed Attempt field.
func (f *Frame) Upstream(attempt ident.Attempt) upstream.Frame {
	return upstream.Frame{
		Attempt:      attempt,
		Offset:       f.Offset,
		Text:         f.Text,
		Tokens:       f.Tokens,
		Done:         f.Done,
		FinishReason: f.FinishReason,
		CachedTokens: f.CachedTokens,
	}
}

// Order is the body of a request to PathOrder.
type Order struct {
	Fence     uint64   `json:"fence"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Role      string   `json:"role"`
	Adapters  []string `json:"adapters,omitempty"`
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// Problem is the body of a response that reports a failure.
type Problem struct {
	Detail string `json:"detail"`
}
