package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
)

const (
	finishStop    = "stop"
	streamDone    = "[DONE]"
	contentStream = "text/event-stream"
	writeGrace    = 500 * time.Millisecond // for the last writes after the deadline
)

// renderer writes one completion in the format of the OpenAI API, streamed or as
// one response, as plain text or as a chat message. It is the Sink of the backend
// and not safe for concurrent use.
type renderer struct {
	x            *exchange
	id           string
	model        string
	chat         bool
	stream       bool
	created      int64
	writeTimeout time.Duration
	deadline     time.Time       // of the request; writes end shortly after it
	text         strings.Builder // text so far, unless streamed
	frame        bytes.Buffer
	tokens       uint32
	firstToken   time.Duration
}

func newCompletionRenderer(x *exchange, c *Completion, stream bool) *renderer {
	return &renderer{x: x, id: "cmpl-" + x.id.String(), model: c.Model, stream: stream, created: x.started.Unix()}
}

func newChatRenderer(x *exchange, c *Completion, stream bool) *renderer {
	return &renderer{x: x, id: "chatcmpl-" + x.id.String(), model: c.Model, chat: true, stream: stream, created: x.started.Unix()}
}

// chunk is a streamed chunk or a complete response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *messageBody `json:"delta,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        uint32       `json:"prompt_tokens"`
	CompletionTokens    uint32       `json:"completion_tokens"`
	TotalTokens         uint32       `json:"total_tokens"`
	PromptTokensDetails cachedTokens `json:"prompt_tokens_details"`
}

type cachedTokens struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// Deliver implements Sink.
func (r *renderer) Deliver(text string, tokens uint32) error {
	if r.tokens == 0 {
		r.firstToken = time.Since(r.x.started)
	}
	r.tokens += tokens
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	if !r.x.w.headerWritten {
		r.beginStream()
	}
	return r.writeChunk(r.newChunk(text, nil))
}

func (r *renderer) beginStream() {
	header := r.x.w.Header()
	header.Set("Content-Type", contentStream)
	header.Set("Cache-Control", "no-store")
	r.x.w.WriteHeader(http.StatusOK)
}

func (r *renderer) newChunk(text string, finish *string) *chunk {
	c := choice{FinishReason: finish}
	object := "text_completion"
	switch {
	case r.chat && r.stream:
		object = "chat.completion.chunk"
		c.Delta = &messageBody{Role: "assistant", Content: text}
	case r.chat:
		object = "chat.completion"
		c.Message = &messageBody{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	return &chunk{ID: r.id, Object: object, Created: r.created, Model: r.model, Choices: []choice{c}}
}

func (r *renderer) writeChunk(value any) error {
	r.frame.Reset()
	r.frame.WriteString("data: ")
	// Encode writes the first of the two newlines that end a frame.
	if err := json.NewEncoder(&r.frame).Encode(value); err != nil {
		return code.Wrap(err, code.InternalFault)
	}
	r.frame.WriteByte('\n')
	return r.flushFrame()
}

// flushFrame sends the frame to the caller. It fails if the caller reads too
// slowly, so that such a caller can't retain memory.
func (r *renderer) flushFrame() error {
	controller := http.NewResponseController(r.x.w)
	writeDeadline := time.Now().Add(r.writeTimeout)
	if end := r.deadline.Add(writeGrace); end.Before(writeDeadline) {
		writeDeadline = end
	}
	_ = controller.SetWriteDeadline(writeDeadline)
	if _, err := r.x.w.Write(r.frame.Bytes()); err != nil {
		return code.Wrap(err, code.CallerGone)
	}
	if err := controller.Flush(); err != nil {
		return code.Wrap(err, code.CallerGone)
	}
	return nil
}

// finish ends a complete response.
func (r *renderer) finish(result *CompletionResult) error {
	reason := result.FinishReason
	if reason == "" {
		reason = finishStop
	}
	last := r.newChunk(r.text.String(), &reason)
	last.Usage = &usage{
		PromptTokens:        result.PromptTokens,
		CompletionTokens:    result.CompletionTokens,
		TotalTokens:         result.PromptTokens + result.CompletionTokens,
		PromptTokensDetails: cachedTokens{result.CachedTokens},
	}
	if !r.stream {
		writeJSON(r.x.w, http.StatusOK, last)
		return nil
	}
	if !r.x.w.headerWritten {
		r.beginStream()
	}
	if err := r.writeChunk(last); err != nil {
		return err
	}
	return r.writeDone()
}

func (r *renderer) writeDone() error {
	r.frame.Reset()
	r.frame.WriteString("data: " + streamDone + "\n\n")
	return r.flushFrame()
}

// fail renders err into a stream that has started. It writes no end marker, so
// that no client treats the response as complete.
func (r *renderer) fail(err error) {
	if !r.x.w.headerWritten {
		return
	}
	_ = r.writeChunk(newProblem(r.x, err))
}
