package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/buffer"
)

const testToken = "token-of-alpha"

// fakeBackend returns three words for every completion, or err after failAfter
// words.
type fakeBackend struct {
	mu        sync.Mutex
	sequence  uint64
	err       error
	failAfter int
	calls     []*ServiceCall
	completed int
	outcomes  []Outcome
	endless   bool // completions never end
}

func (b *fakeBackend) deliverForever(sink Sink) error {
	text := strings.Repeat("word ", 1<<14)
	for {
		if err := sink.Deliver(text, 1<<14); err != nil {
			return err
		}
	}
}

func (b *fakeBackend) Ready() error                                    { return nil }
func (b *fakeBackend) Models() []string                                { return []string{"small"} }
func (b *fakeBackend) Timeout(_ string, _ time.Duration) time.Duration { return time.Minute }
func (b *fakeBackend) IssueKeys(_ string, n int) ([]string, error)     { return make([]string, n), nil }

func (b *fakeBackend) Authenticate(token string) (team string, ok bool) {
	return "alpha", token == testToken
}

func (b *fakeBackend) Finished(o *Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes = append(b.outcomes, *o)
}

func (b *fakeBackend) NewRequest(string) ident.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return ident.Request{Host: "host-1", Incarnation: 1, Sequence: b.sequence}
}

func (b *fakeBackend) Complete(_ context.Context, c *Completion, sink Sink) (*CompletionResult, error) {
	if b.endless {
		return nil, b.deliverForever(sink)
	}
	b.mu.Lock()
	b.completed++
	b.mu.Unlock()
	for i, word := range []string{"one ", "two ", "three"} {
		if b.err != nil && i == b.failAfter {
			return nil, b.err
		}
		if err := sink.Deliver(word, 1); err != nil {
			return nil, err
		}
	}
	return &CompletionResult{PromptTokens: uint32(len(c.Prompt)), CompletionTokens: 3}, nil
}

func (b *fakeBackend) CallService(_ context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, call)
	header := http.Header{"X-Answer": {"yes"}, "Connection": {"X-Drop"}, "X-Drop": {"1"}}
	return &ServiceAnswer{Status: http.StatusCreated, Header: header, Body: call.Body}, nil
}

func startServer(t *testing.T, backend *fakeBackend) *httptest.Server {
	t.Helper()
	limits := Limits{MaxBodyBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: time.Minute}
	server := httptest.NewServer(New(backend, limits, buffer.NewPool(8<<20), nil))
	t.Cleanup(server.Close)
	return server
}

func newClient(server *httptest.Server, token string) *openai.Client {
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1/"), option.WithAPIKey(token), option.WithMaxRetries(0))
	return &client
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "small",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

func TestOpenAIClientReadsResponses(t *testing.T) {
	client := newClient(startServer(t, &fakeBackend{}), testToken)
	ctx := context.Background()

	completion, err := client.Chat.Completions.New(ctx, chatParams())
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, "one two three")
	assert.Equal(t, completion.Usage.CompletionTokens, int64(3))

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams())
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text.String(), "one two three")

	params := openai.CompletionNewParams{Model: "small", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hi")}}
	plain, err := client.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, plain.Choices[0].Text, "one two three")

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, "small")
}

func TestOpenAIClientReadsErrors(t *testing.T) {
	backend := &fakeBackend{err: code.New(code.NoCapacity, "no engine has room")}
	server := startServer(t, backend)
	_, err := newClient(server, testToken).Chat.Completions.New(context.Background(), chatParams())
	var apiError *openai.Error
	assert.Assert(t, errors.As(err, &apiError))
	assert.Equal(t, apiError.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, apiError.Code, "1010")

	_, err = newClient(server, "wrong").Chat.Completions.New(context.Background(), chatParams())
	assert.Assert(t, errors.As(err, &apiError))
	assert.Equal(t, apiError.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, backend.completed, 1)
}

func TestBrokenStreamHasNoEndMarker(t *testing.T) {
	backend := &fakeBackend{err: code.New(code.AnswerIncomplete, "upstream lost"), failAfter: 2}
	server := startServer(t, backend)
	stream := newClient(server, testToken).Chat.Completions.NewStreaming(context.Background(), chatParams())
	for stream.Next() {
		continue
	}
	assert.ErrorContains(t, stream.Err(), "upstream lost")

	status, body := send(t, server, http.MethodPost, "/v1/completions", `{"model":"small","prompt":"p","stream":true}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"code":2005`))
	assert.Assert(t, !strings.Contains(body, streamDone))
}

func send(t *testing.T, server *httptest.Server, method, path, body string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("X-Kept", "kept")
	request.Header.Set("Citron-Team", "forged")
	request.Header.Set("Te", "trailers")
	request.Header.Set(headerKey, "key-1")
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

func TestServiceCallIsForwarded(t *testing.T) {
	backend := &fakeBackend{}
	server := startServer(t, backend)
	status, body := send(t, server, http.MethodPut, "/services/booking/rooms/a%2Fb?x=1", "payload")
	assert.Equal(t, status, http.StatusCreated)
	assert.Equal(t, body, "payload")
	call := backend.calls[0]
	assert.Equal(t, call.Method, http.MethodPut)
	assert.Equal(t, call.Path, "/rooms/a%2Fb?x=1")
	assert.Equal(t, call.Key, "key-1")
	assert.Equal(t, call.Header.Get("X-Kept"), "kept")
	for _, dropped := range []string{"Authorization", "Citron-Team", "Te"} {
		assert.Equal(t, call.Header.Get(dropped), "", dropped)
	}
}

func TestInvalidInputIsRejectedAsNotRun(t *testing.T) {
	backend := &fakeBackend{}
	server := startServer(t, backend)
	cases := map[string]struct {
		path string
		body string
		want code.Code
	}{
		"no JSON":       {"/v1/completions", "{", code.BadRequest},
		"empty prompt":  {"/v1/completions", `{"model":"small"}`, code.BadRequest},
		"two choices":   {"/v1/completions", `{"model":"small","prompt":"x","n":2}`, code.BadRequest},
		"image part":    {"/v1/chat/completions", `{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, code.BadRequest},
		"no messages":   {"/v1/chat/completions", `{"model":"small"}`, code.BadRequest},
		"large body":    {"/v1/completions", strings.Repeat("x", 2<<20), code.BodyTooLarge},
		"unknown path":  {"/v2/other", "", code.NotFound},
		"too many keys": {"/v1/idempotency-keys", `{"count":100000}`, code.BadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := send(t, server, http.MethodPost, c.path, c.body)
			assert.Equal(t, status, c.want.Status())
			var p problem
			assert.NilError(t, json.Unmarshal([]byte(body), &p))
			assert.Equal(t, p.Code, c.want)
			assert.Equal(t, p.Outcome, "not run")
		})
	}
	assert.Equal(t, backend.completed, 0)
}

// The outcome of a failed request must contain its prompt tokens: without them
// logs and metrics could not assign the request to a class.
func TestOutcomeOfFailedRequestHasPromptTokens(t *testing.T) {
	backend := &fakeBackend{err: code.New(code.NoCapacity, "no engine has room")}
	_, err := newClient(startServer(t, backend), testToken).Chat.Completions.New(context.Background(), chatParams())
	assert.Assert(t, err != nil)
	assert.Equal(t, len(backend.outcomes), 1)
	assert.Equal(t, backend.outcomes[0].Code, code.NoCapacity)
	assert.Equal(t, backend.outcomes[0].Team, "alpha")
	assert.Assert(t, backend.outcomes[0].PromptTokens > 0)
}

// TestSlowStreamReaderIsDisconnected requests a stream and reads nothing. The request
// must end after the buffers are full and release its memory.
func TestSlowStreamReaderIsDisconnected(t *testing.T) {
	backend := &fakeBackend{endless: true}
	pool := buffer.NewPool(8 << 20)
	limits := Limits{MaxBodyBytes: 1 << 20, ReadTimeout: time.Minute, WriteTimeout: 200 * time.Millisecond}
	ended := make(chan struct{})
	gateway := New(backend, limits, pool, nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gateway.ServeHTTP(w, r)
		close(ended)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"small","prompt":"hi","stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
	assert.NilError(t, err)
	<-ended
	assert.Equal(t, backend.outcomes[0].Code, code.CallerGone)
	assert.Equal(t, pool.Used(), int64(0))
}
