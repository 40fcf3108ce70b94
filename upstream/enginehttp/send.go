package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/internal/statusline"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// maxDetailBytes is the limit for the part of an error response that is read.
const maxDetailBytes = 1 << 10

var errNotAccepted = errors.New("the engine did not accept the request within the accept timeout")

// send sends one request and returns the body of the response if its status is
// 200. cancel ends ctx; send calls it if the headers of the response are not
// received within the accept timeout.
func (e *engine) send(ctx context.Context, cancel context.CancelFunc, transport *http.Transport, method, path string, message any) (io.ReadCloser, error) {
	body, err := encode(message)
	if err != nil {
		return nil, &upstream.Error{Upstream: e.name, Sent: upstream.SentNothing, Err: err}
	}
	watch, watched := sentconn.NewWatch(ctx)
	req, err := newRequest(watched, method, e.base+path, body)
	if err != nil {
		return nil, &upstream.Error{Upstream: e.name, Sent: upstream.SentNothing, Err: err}
	}
	timer := time.AfterFunc(e.client.options.AcceptTimeout, cancel)
	resp, err := transport.RoundTrip(req)
	timedOut := !timer.Stop()
	if err != nil {
		return nil, e.sendError(watch, timedOut, err)
	}
	if timedOut {
		_ = resp.Body.Close()
		return nil, e.sendError(watch, timedOut, context.Canceled)
	}
	if err := statusline.Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, e.responseError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, e.statusError(resp)
	}
	return resp.Body, nil
}

func encode(message any) ([]byte, error) {
	if message == nil {
		return nil, nil
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// newRequest returns a request whose body can't be rewound, so that net/http
// can't resend it.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// transport returns the transport that reuses connections, or the one that opens
// a new connection if a recent call to the engine failed.
func (e *engine) transport() *http.Transport {
	if time.Now().UnixNano() < e.unpooledUntil.Load() {
		return e.client.unpooled
	}
	return e.client.pooled
}

// avoidPooledConnections makes calls open new connections until all existing
// ones have reached the idle timeout.
func (e *engine) avoidPooledConnections() {
	e.unpooledUntil.Store(time.Now().Add(e.client.options.IdleTimeout).UnixNano())
}

// sendError returns the error for a failed send. If part of the request was sent,
// it makes further calls open new connections.
func (e *engine) sendError(watch *sentconn.Watch, timedOut bool, err error) error {
	if timedOut {
		err = fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	if !watch.Sent() {
		return &upstream.Error{Upstream: e.name, Sent: upstream.SentNothing, Err: err}
	}
	e.avoidPooledConnections()
	return &upstream.Error{Upstream: e.name, Sent: upstream.SentSome, Err: err}
}

// responseError returns the error for a failure while a response was read, and
// makes further calls open new connections.
func (e *engine) responseError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	e.avoidPooledConnections()
	return &upstream.Error{Upstream: e.name, Sent: upstream.SentSome, Err: err}
}

// statusError returns the error for a response with a status other than 200.
func (e *engine) statusError(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes)) // the status is reported even if the detail can't be read
	var problem enginewire.Problem
	if err := json.Unmarshal(detail, &problem); err != nil {
		problem.Detail = http.StatusText(resp.StatusCode)
	}
	return &upstream.Error{
		Upstream: e.name,
		Sent:     upstream.SentSome,
		Refused:  upstream.Refusal(resp.Header.Get(enginewire.HeaderNotRun)),
		Err:      fmt.Errorf("status %d: %s", resp.StatusCode, problem.Detail),
	}
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("response is longer than %d bytes", limit)
	}
	return body, nil
}
