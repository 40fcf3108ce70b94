package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
)

// NoAnswer is the code of a request that ended without an answer of a host,
// such as one whose connection broke.
const NoAnswer code.Code = -1

const (
	maxChunkBytes = 1 << 20
	streamEnd     = "[DONE]"
)

// Request is one completion request.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens uint32
	Timeout   time.Duration
	Token     string // bearer token of the team
}

// Answer is what came back.
type Answer struct {
	Code         code.Code // OK if the end marker was read
	Detail       string
	RequestID    string
	Text         string
	Tokens       uint32 // as the usage of the answer counts them
	CachedTokens uint32
	FirstToken   time.Duration   // since sending; zero if none came
	Gaps         []time.Duration // between frames after the first
	Took         time.Duration
}

// Caller sends completion requests to entry hosts. It is safe for concurrent
// use and sends nothing twice.
type Caller struct {
	transport *http.Transport
}

// NewCaller returns a caller.
func NewCaller() *Caller {
	const maxIdle = 1024
	return &Caller{transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Encode returns the body of a request, which Complete takes, so that a large
// prompt is encoded before its time to be sent.
func (r *Request) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(completionBody{Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true})
	return buffer.Bytes(), err
}

// Complete sends a request to the host at address and reads its answer.
func (c *Caller) Complete(ctx context.Context, address string, r *Request, body []byte) *Answer {
	answer := &Answer{Code: NoAnswer}
	started := time.Now()
	defer func() { answer.Took = time.Since(started) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		answer.Detail = err.Error()
		return answer
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.Token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Citron-Timeout", r.Timeout.String())
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		answer.Detail = err.Error()
		return answer
	}
	defer func() { _ = resp.Body.Close() }()
	answer.RequestID = resp.Header.Get("Citron-Request-Id")
	if resp.StatusCode != http.StatusOK {
		answer.readProblem(resp)
		return answer
	}
	answer.readStream(resp.Body, started)
	return answer
}

// chunk is one event of a stream: a piece of the answer or a problem.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens uint32 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint32 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Code   code.Code `json:"code"`
	Detail string    `json:"detail"`
}

func (a *Answer) readProblem(resp *http.Response) {
	const maxProblemBytes = 64 << 10
	var problem chunk
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes)) // the status counts as well
	if err := json.Unmarshal(data, &problem); err != nil || problem.Code == code.OK {
		a.Detail = fmt.Sprintf("status %d without a result code", resp.StatusCode)
		return
	}
	a.Code = problem.Code
	a.Detail = problem.Detail
}

func (a *Answer) readStream(body io.Reader, started time.Time) {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	const bufferBytes = 4 << 10
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, bufferBytes), maxChunkBytes)
	last := started
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == streamEnd {
			a.Code = code.OK
			return
		}
		piece, err := a.readChunk(data)
		if err != nil {
			a.Detail = err.Error()
			return
		}
		if piece == "" {
			continue
		}
		text.WriteString(piece)
		now := time.Now()
		if a.FirstToken == 0 {
			a.FirstToken = now.Sub(started)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
	}
	a.Detail = "the stream ended without its end marker"
	if err := lines.Err(); err != nil {
		a.Detail += ": " + err.Error()
	}
}

var errProblem = errors.New("the host reported a problem")

func (a *Answer) readChunk(data []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return "", err
	}
	if c.Code != code.OK {
		a.Code = c.Code
		return "", fmt.Errorf("%w: %s", errProblem, c.Detail)
	}
	if c.Usage != nil {
		a.Tokens = c.Usage.CompletionTokens
		a.CachedTokens = c.Usage.Details.CachedTokens
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	return c.Choices[0].Text, nil
}
