package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
)

const defaultMaxTokens = 256

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model     string     `json:"model"`
	Prompt    promptText `json:"prompt"`
	MaxTokens uint32     `json:"max_tokens"`
	Stream    bool       `json:"stream"`
	N         *int       `json:"n"`
}

// chatBody is the body of POST /v1/chat/completions.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           uint32        `json:"max_tokens"`
	MaxCompletionTokens uint32        `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

type chatMessage struct {
	Role    string     `json:"role"`
	Content promptText `json:"content"`
}

// promptText accepts a string, a list of one string, or a list of text parts.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = promptText(text)
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) == nil && len(list) == 1 {
		*p = promptText(list[0])
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return code.New(code.BadRequest, "prompt or content must be one text")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return code.New(code.BadRequest, "content part type %q is not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*p = promptText(joined.String())
	return nil
}

func (g *Gateway) serveCompletion(x *exchange) error {
	var body completionBody
	if err := g.decodeBody(x, &body); err != nil {
		return err
	}
	c := &Completion{Model: body.Model, Prompt: string(body.Prompt), MaxTokens: body.MaxTokens}
	if err := checkChoices(body.N); err != nil {
		return err
	}
	return g.complete(x, c, newCompletionRenderer(x, c, body.Stream))
}

func (g *Gateway) serveChat(x *exchange) error {
	var body chatBody
	if err := g.decodeBody(x, &body); err != nil {
		return err
	}
	if len(body.Messages) == 0 {
		return code.New(code.BadRequest, "field %q is empty", "messages")
	}
	if err := checkChoices(body.N); err != nil {
		return err
	}
	c := &Completion{Model: body.Model, Prompt: joinMessages(body.Messages), MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens)}
	return g.complete(x, c, newChatRenderer(x, c, body.Stream))
}

// decodeBody reads and decodes the body. The memory of the decoded prompt stays
// reserved.
func (g *Gateway) decodeBody(x *exchange, into any) error {
	data, err := g.readBody(x)
	if err != nil {
		return err
	}
	if err := x.memory.Resize(int64(2 * len(data))); err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return code.New(code.BadRequest, "body is not valid: %v", err)
	}
	return x.memory.Resize(int64(len(data)))
}

func checkChoices(n *int) error {
	if n != nil && *n != 1 {
		return code.New(code.BadRequest, "field %q is %d, only 1 is supported", "n", *n)
	}
	return nil
}

func joinMessages(messages []chatMessage) string {
	var joined strings.Builder
	for _, m := range messages {
		joined.WriteString(m.Role)
		joined.WriteString(": ")
		joined.WriteString(string(m.Content))
		joined.WriteByte('\n')
	}
	return joined.String()
}

func (g *Gateway) complete(x *exchange, c *Completion, out *renderer) error {
	if c.Prompt == "" {
		return code.New(code.BadRequest, "the prompt is empty")
	}
	deadline, err := g.deadline(x)
	if err != nil {
		return err
	}
	c.PromptTokens = upstream.CountTokens(c.Prompt)
	x.outcome.PromptTokens = c.PromptTokens
	c.Request = x.id
	c.Team = x.team
	c.Deadline = deadline
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	out.writeTimeout = g.limits.WriteTimeout
	out.deadline = deadline
	result, err := g.backend.Complete(x.r.Context(), c, out)
	x.outcome.FirstToken = out.firstToken
	x.outcome.CompletionTokens = out.tokens
	if result != nil {
		x.outcome.Upstream = result.Upstream
		x.outcome.Attempts = result.Attempts
	}
	if err != nil {
		out.fail(err)
		return err
	}
	return out.finish(result)
}

func (g *Gateway) serveModels(x *exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range g.backend.Models() {
		list.Data = append(list.Data, newModel(name))
	}
	writeJSON(x.w, http.StatusOK, list)
	return nil
}

func (g *Gateway) serveModel(x *exchange) error {
	wanted := x.r.PathValue("model")
	for _, name := range g.backend.Models() {
		if name == wanted {
			writeJSON(x.w, http.StatusOK, newModel(name))
			return nil
		}
	}
	return code.New(code.ModelUnknown, "model %q is not in the configuration", wanted)
}

func (g *Gateway) serveNotFound(x *exchange) error {
	return code.New(code.NotFound, "path %q does not exist", x.r.URL.Path)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModel(name string) model {
	return model{ID: name, Object: "model", Created: modelCreated.Unix(), OwnedBy: "citronscale"}
}

// modelCreated is the value of a field that clients require but engines don't
// report.
var modelCreated = time.Unix(0, 0)
