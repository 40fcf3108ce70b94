package enginehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

type engine struct {
	client         *Client
	name           upstream.Name
	base           string        // URL without a path
	lastCacheEvent atomic.Uint64 // sequence number of the last cache event read
	unpooledUntil  atomic.Int64  // Unix nanoseconds until which calls open new connections
}

// Reserve implements upstream.Engine.
func (e *engine) Reserve(ctx context.Context, req *upstream.ReserveRequest) error {
	message := &enginewire.Reserve{
		Attempt:  enginewire.Attempt(req.Attempt),
		Tokens:   req.Tokens,
		ExpiryMS: req.Expiry.UnixMilli(),
	}
	return e.call(ctx, http.MethodPost, enginewire.PathReserve, message, nil)
}

// Prefill implements upstream.Engine.
func (e *engine) Prefill(ctx context.Context, req *upstream.PrefillRequest) (*upstream.PrefillResult, error) {
	message := &enginewire.Prefill{
		Attempt:  enginewire.Attempt(req.Attempt),
		Model:    req.Model,
		Part:     req.Part,
		Prompt:   req.Prompt,
		Priority: req.Priority,
	}
	var answer enginewire.Prefilled
	if err := e.call(ctx, http.MethodPost, enginewire.PathPrefill, message, &answer); err != nil {
		return nil, err
	}
	if answer.Error != "" {
		return nil, e.responseError(ctx, fmt.Errorf("the engine aborted the prefill: %s", answer.Error))
	}
	return &upstream.PrefillResult{Tokens: answer.Tokens, CachedTokens: answer.CachedTokens}, nil
}

// Release implements upstream.Engine.
func (e *engine) Release(ctx context.Context, attempt ident.Attempt) error {
	message := &enginewire.Subject{Attempt: enginewire.Attempt(attempt)}
	return e.call(ctx, http.MethodPost, enginewire.PathRelease, message, nil)
}

// Cancel implements upstream.Engine.
func (e *engine) Cancel(ctx context.Context, attempt ident.Attempt) error {
	message := &enginewire.Subject{Attempt: enginewire.Attempt(attempt)}
	return e.call(ctx, http.MethodPost, enginewire.PathCancel, message, nil)
}

// Report implements upstream.Engine. Each cache event is returned once.
func (e *engine) Report(ctx context.Context) (*upstream.Report, error) {
	after := strconv.FormatUint(e.lastCacheEvent.Load(), 10)
	path := enginewire.PathReport + "?" + enginewire.ParameterAfter + "=" + after
	var answer enginewire.Report
	if err := e.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, err
	}
	e.lastCacheEvent.Store(answer.CacheSequence)
	return answer.Upstream(), nil
}

// Order implements upstream.Engine.
func (e *engine) Order(ctx context.Context, order *upstream.Order) error {
	message := enginewire.Order(*order)
	return e.call(ctx, http.MethodPost, enginewire.PathOrder, &message, nil)
}

// Generate implements upstream.Engine. Each attempt has a connection of its own: an engine
// may send an earlier refusal once more where the next answer is expected, and other open
// connections may have stopped responding when an attempt before it failed.
func (e *engine) Generate(ctx context.Context, req *upstream.GenerateRequest) (upstream.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, err := e.send(ctx, cancel, e.client.unpooled, http.MethodPost, enginewire.PathGenerate, enginewire.NewGenerate(req))
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(e, body, cancel, req.Attempt), nil
}

// call sends a message and decodes the response into answer, unless that is nil.
func (e *engine) call(ctx context.Context, method, path string, message, answer any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader, err := e.send(ctx, cancel, e.transport(), method, path, message)
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	body, err := readBounded(reader, e.client.options.MaxBodyBytes)
	if err != nil {
		return e.responseError(ctx, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return e.responseError(ctx, err)
	}
	return nil
}
