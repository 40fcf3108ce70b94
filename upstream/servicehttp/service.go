package servicehttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

type service struct {
	client *Client
	name   upstream.Name
	base   string // URL without a path
}

// Call implements upstream.Service. The context bounds the whole call.
func (s *service) Call(ctx context.Context, call *upstream.CallRequest) (*upstream.CallResponse, error) {
	watch, watched := sentconn.NewWatch(ctx)
	req, err := s.newRequest(watched, call)
	if err != nil {
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentNothing, Err: err}
	}
	resp, err := s.client.transport.RoundTrip(req)
	if err != nil {
		return nil, s.failed(watch, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if refusal := resp.Header.Get(enginewire.HeaderNotRun); refusal != "" {
		return nil, s.refused(resp, refusal)
	}
	return s.read(resp)
}

func (s *service) newRequest(ctx context.Context, call *upstream.CallRequest) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash", call.Path)
	}
	// The type of the reader hides the bytes, so that the body can't be rewound.
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

func (s *service) failed(watch *sentconn.Watch, err error) error {
	sent := upstream.SentNothing
	if watch.Sent() {
		sent = upstream.SentSome
	}
	return &upstream.Error{Upstream: s.name, Sent: sent, Err: err}
}

func (s *service) refused(resp *http.Response, refusal string) error {
	return &upstream.Error{
		Upstream: s.name,
		Sent:     upstream.SentSome,
		Refused:  upstream.Refusal(refusal),
		Err:      fmt.Errorf("status %d", resp.StatusCode),
	}
}

func (s *service) read(resp *http.Response) (*upstream.CallResponse, error) {
	limit := s.client.options.MaxBodyBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("answer is longer than %d bytes", limit)
	}
	if err != nil {
		return nil, &upstream.Error{Upstream: s.name, Sent: upstream.SentSome, Err: err}
	}
	return &upstream.CallResponse{
		Status: resp.StatusCode,
		Header: endtoend.Header(resp.Header),
		Body:   body,
	}, nil
}
