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

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

// maxDetailBytes bounds the part of a problem that enters an error.
const maxDetailBytes = 1 << 10

var errNotAccepted = errors.New("the engine did not accept the request in time")

// send sends one request and returns the body of the answer once its
// status is 200.
// cancel ends ctx; send calls it if the engine does not answer in time.
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
	late := !timer.Stop()
	if err != nil {
		return nil, e.failed(watch, late, err)
	}
	if late {
		_ = resp.Body.Close()
		return nil, e.failed(watch, late, context.Canceled)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, e.refused(resp)
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

// newRequest returns a request that net/http can't send again by itself: its
// body can't be rewound.
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

// transportOf chooses for an attempt. A retry gets a connection of its own: the
// attempt before it can have failed because connections went silent, and kept
// ones to this engine can be silent as well.
func (e *engine) transportOf(attempt ident.Attempt) *http.Transport {
	if attempt.Number > 1 {
		return e.client.fresh
	}
	return e.transport()
}

// transport chooses between kept connections and one of its own.
func (e *engine) transport() *http.Transport {
	if time.Now().UnixNano() < e.freshUntil.Load() {
		return e.client.fresh
	}
	return e.client.reused
}

// distrustConnections makes calls avoid kept connections until all that exist
// now have reached their idle age.
func (e *engine) distrustConnections() {
	e.freshUntil.Store(time.Now().Add(e.client.options.IdleTimeout).UnixNano())
}

func (e *engine) failed(watch *sentconn.Watch, late bool, err error) error {
	if late {
		err = fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	if !watch.Sent() {
		return &upstream.Error{Upstream: e.name, Sent: upstream.SentNothing, Err: err}
	}
	e.distrustConnections()
	return &upstream.Error{Upstream: e.name, Sent: upstream.SentSome, Err: err}
}

// failedAfterSend reports a failure while an answer was read.
func (e *engine) failedAfterSend(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	e.distrustConnections()
	return &upstream.Error{Upstream: e.name, Sent: upstream.SentSome, Err: err}
}

// refused reads an answer other than 200.
func (e *engine) refused(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes)) // the status counts, also without the detail
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
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return body, nil
}
