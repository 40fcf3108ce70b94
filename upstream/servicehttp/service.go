package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/internal/statusline"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

type service struct {
	client *Client
	name   upstream.Name
	base   string // URL without a path
}

// Call implements upstream.Service. ctx limits the entire call, reading the
// response included.
func (s *service) Call(ctx context.Context, call *upstream.CallRequest) (*upstream.CallResponse, error) {
	watch, watched := sentconn.NewWatch(ctx)
	req, err := s.newRequest(watched, call)
	if err != nil {
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentNothing, Err: err}
	}
	resp, err := s.client.transport.RoundTrip(req)
	if err != nil {
		return nil, s.callError(watch, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusline.Check(resp); err != nil {
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentSome, Err: code.Wrap(err, code.AnswerIncomplete)}
	}
	if refusal := resp.Header.Get(enginewire.HeaderNotRun); refusal != "" {
		return nil, s.refusalError(resp, refusal)
	}
	return s.readResponse(resp)
}

func (s *service) newRequest(ctx context.Context, call *upstream.CallRequest) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash", call.Path)
	}
	// NopCloser hides the type of the reader, so that net/http can't rewind the body.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, s.base+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header = endtoend.Header(call.Header)
	req.Header.Set(enginewire.HeaderAttempt, call.Attempt.String())
	return req, nil
}

func (s *service) callError(watch *sentconn.Watch, err error) error {
	sent := upstream.SentNothing
	if watch.Sent() {
		sent = upstream.SentSome
	}
	return &upstream.Error{Upstream: s.name, Sent: sent, Err: err}
}

func (s *service) refusalError(resp *http.Response, refusal string) error {
	return &upstream.Error{
		Upstream: s.name,
		Sent:     upstream.SentSome,
		Refused:  upstream.Refusal(refusal),
		Err:      fmt.Errorf("status %d", resp.StatusCode),
	}
}

// errUnframed is returned for a response that only the end of its connection would end. The
// connection of a service that crashes ends the same way.
var errUnframed = errors.New("the response has neither a length nor chunks")

func (s *service) readResponse(resp *http.Response) (*upstream.CallResponse, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentSome, Err: code.Wrap(errUnframed, code.AnswerIncomplete)}
	}
	limit := s.client.options.MaxBodyBytes
	memory := s.client.options.Buffers.Reserve()
	defer memory.Release()
	body, err := memory.ReadAll(resp.Body, resp.ContentLength, limit)
	if code.Of(err) == code.BodyTooLarge {
		err = fmt.Errorf("response is longer than %d bytes", limit)
	}
	if err != nil {
		// The call has run, so the code must not be one with the outcome NotRun.
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentSome, Err: code.Wrap(err, code.AnswerIncomplete)}
	}
	return &upstream.CallResponse{
		Status: resp.StatusCode,
		Header: endtoend.Header(resp.Header),
		Body:   body,
	}, nil
}
