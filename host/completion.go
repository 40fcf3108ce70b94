package host

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/attempt"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/upstream"
)

// eventBuffer is the number of frames read ahead of a slow caller.
const eventBuffer = 64

// Complete implements gateway.Backend. It drives the attempt machine of the
// request: the machine returns actions and this goroutine executes them.
func (h *Host) Complete(ctx context.Context, c *gateway.Completion, sink gateway.Sink) (*gateway.CompletionResult, error) {
	if err := h.lifecycle.begin(time.Now(), h.settings.Limits.MaxInFlight); err != nil {
		return nil, err
	}
	defer h.lifecycle.end()
	run, err := h.newCompletionRun(ctx, c, sink)
	if err != nil {
		return nil, err
	}
	return run.run(ctx)
}

// completionRun is one completion in flight. Only the goroutine of the request
// uses its fields; other goroutines send it events.
type completionRun struct {
	host         *Host
	completion   *gateway.Completion
	sink         gateway.Sink
	machine      *attempt.Machine
	request      *balancer.Request
	content      strike.Digest
	retries      *retryGate
	events       chan runEvent
	requestCtx   context.Context // ends with the request
	timer        *time.Timer
	current      *openAttempt // the current attempt; nil if none holds upstream capacity
	finish       *attempt.Finish
	cachedTokens uint32
	streaming    bool      // the current attempt has returned a frame
	sentAt       time.Time // start of the current attempt
	firstAt      time.Time // first frame of the current attempt
	deliveredAt  time.Time // last delivery to the caller
}

// runEvent is an event that another goroutine sends to that of the request.
type runEvent struct {
	attempt    ident.Attempt
	assignment *assignment
	frame      *upstream.Frame
	err        error
	kind       runEventKind
}

type runEventKind int

const (
	eventPlaced runEventKind = iota + 1
	eventNotPlaced
	eventHeaders
	eventFrame
	eventAttemptFailed
)

func (h *Host) newCompletionRun(ctx context.Context, c *gateway.Completion, sink gateway.Sink) (*completionRun, error) {
	request, model, err := h.describe(c)
	if err != nil {
		return nil, err
	}
	gate := h.newRetryGate(request)
	run := &completionRun{
		host:       h,
		completion: c,
		sink:       sink,
		request:    request,
		content:    strike.DigestOf(c.Model, c.Prompt),
		retries:    gate,
		events:     make(chan runEvent, eventBuffer),
		requestCtx: ctx,
	}
	run.machine = attempt.New(attempt.Options{
		Request:           c.Request,
		Deadline:          c.Deadline,
		FirstFrameTimeout: firstFrameTimeout(request, model.ProgressTimeout),
		ProgressTimeout:   model.ProgressTimeout,
		MaxAttempts:       h.placement.retryPolicy.MaxAttempts,
		Retry:             gate,
	})
	return run, nil
}

// run executes actions until the machine finishes.
func (r *completionRun) run(ctx context.Context) (*gateway.CompletionResult, error) {
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.requestCtx = requestCtx
	r.timer = time.NewTimer(time.Until(r.completion.Deadline))
	defer r.timer.Stop()
	r.host.lifecycle.addTokens(int64(r.request.Memory()))
	defer r.host.lifecycle.addTokens(-int64(r.request.Memory()))
	defer r.closeAttempt()
	r.apply(r.machine.Start(time.Now()))
	for r.finish == nil {
		select {
		case e := <-r.events:
			r.apply(r.handle(e))
		case <-r.timer.C:
			r.apply(r.machine.TimerFired(time.Now()))
		case <-ctx.Done():
			r.apply(r.machine.CallerGone(time.Now()))
		}
	}
	return r.result()
}

func (r *completionRun) result() (*gateway.CompletionResult, error) {
	if r.finish.Code != code.OK {
		return &gateway.CompletionResult{Upstream: r.currentUpstreamName(), Attempts: r.machine.Attempts()}, code.New(r.finish.Code, "%s", r.finish.Detail)
	}
	r.host.strikes.finished(r.content)
	r.host.placement.observeAnswer(r.finish.Tokens, time.Since(r.firstAt))
	return &gateway.CompletionResult{
		PromptTokens:     r.request.PromptTokens,
		CompletionTokens: uint32(r.finish.Tokens),
		CachedTokens:     r.cachedTokens,
		FinishReason:     r.finish.FinishReason,
		Upstream:         r.currentUpstreamName(),
		Attempts:         r.machine.Attempts(),
	}, nil
}

// handle passes an event to the machine and returns the actions that follow.
func (r *completionRun) handle(e runEvent) []attempt.Action {
	now := time.Now()
	switch e.kind {
	case eventPlaced:
		return r.handlePlaced(now, e.assignment)
	case eventNotPlaced:
		return r.machine.NoUpstream(now, e.err)
	case eventHeaders:
		return r.machine.Headers(now, e.attempt)
	case eventFrame:
		return r.handleFrame(now, e.frame)
	default:
		return r.handleAttemptFailed(now, e)
	}
}

func (r *completionRun) handlePlaced(now time.Time, p *assignment) []attempt.Action {
	r.closeAttempt()
	r.current = &openAttempt{assignment: p}
	return r.machine.Chosen(now, p.upstream)
}

func (r *completionRun) handleFrame(now time.Time, frame *upstream.Frame) []attempt.Action {
	if !r.streaming {
		r.streaming = true
		r.firstAt = now
		r.cachedTokens = frame.CachedTokens
		r.host.placement.observeFirstToken(r.request.PromptTokens, now.Sub(r.sentAt))
		r.addRecord(record.Running, code.OK, "")
	}
	return r.machine.FrameReceived(now, *frame)
}

func (r *completionRun) handleAttemptFailed(now time.Time, e runEvent) []attempt.Action {
	failure := asUpstreamError(r.currentUpstream(), e.err)
	r.recordFailure(failure)
	r.host.handleAttemptFailure(r, failure)
	return r.machine.AttemptFailed(now, e.attempt, failure)
}

// apply executes actions in order.
func (r *completionRun) apply(actions []attempt.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Choose:
			r.chooseUpstream(a)
		case attempt.Send:
			r.send(a)
		case attempt.Deliver:
			r.deliver(a)
		case attempt.Cancel:
			r.cancelAttempt(a)
		case attempt.SetTimer:
			r.timer.Reset(time.Until(a.At))
		case attempt.Finish:
			r.finish = &a
		}
		if r.finish != nil {
			return
		}
	}
}

// deliver writes text to the caller. A failed write ends the request, because
// the caller has disconnected.
func (r *completionRun) deliver(a attempt.Deliver) {
	r.measureGap(time.Now(), a.Tokens)
	if err := r.sink.Deliver(a.Text, a.Tokens); err != nil {
		r.apply(r.machine.CallerGone(time.Now()))
		return
	}
	r.machine.Delivered(time.Now())
}

// measureGap records the inter-token latency: the time since the last delivery
// divided by the number of tokens in this one.
func (r *completionRun) measureGap(now time.Time, tokens uint32) {
	if !r.deliveredAt.IsZero() && tokens > 0 {
		r.host.metrics.NextToken(r.request.Class.Wire(), now.Sub(r.deliveredAt)/time.Duration(tokens))
	}
	r.deliveredAt = now
}

// postEvent sends an event to the goroutine of the request. It returns false if
// ctx has ended.
func (r *completionRun) postEvent(ctx context.Context, e runEvent) bool {
	select {
	case r.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseUpstream looks for an upstream with capacity in a separate goroutine,
// because it may have to call the owner of an engine.
func (r *completionRun) chooseUpstream(a attempt.Choose) {
	r.closeAttempt()
	request := *r.request
	request.Avoid, request.MayHaveRun = a.Avoid, a.MayHaveRun
	notBefore := r.retries.notBefore
	go func() {
		ctxtime.Sleep(r.requestCtx, time.Until(notBefore))
		p, err := r.host.placeContent(r.requestCtx, r, &request)
		if err != nil {
			r.postEvent(r.requestCtx, runEvent{kind: eventNotPlaced, err: err})
			return
		}
		if !r.postEvent(r.requestCtx, runEvent{kind: eventPlaced, assignment: p}) {
			p.release()
		}
	}()
}

// send starts an attempt and reads its frames in a separate goroutine.
func (r *completionRun) send(a attempt.Send) {
	// After a complete answer, the stream needs a short time to make its
	// connection reusable, so its context does not end with the request.
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(r.requestCtx), a.Attempt.Deadline.Add(attempt.FinishGrace))
	r.current.attempt = a.Attempt
	r.current.cancel = cancel
	r.current.end = r.host.directory.Begin(a.Upstream)
	r.streaming = false
	r.sentAt = time.Now()
	r.addRecord(record.Sending, code.OK, "")
	assignment := r.current.assignment
	go func() {
		defer cancel()
		r.stream(attemptCtx, assignment, a)
	}()
}

// stream reads one attempt to its end.
func (r *completionRun) stream(ctx context.Context, p *assignment, a attempt.Send) {
	source, err := r.host.generate(ctx, p, r.completion, a)
	if err != nil {
		r.postEvent(ctx, runEvent{kind: eventAttemptFailed, attempt: a.Attempt, err: err})
		return
	}
	defer func() { _ = source.Close() }()
	if !r.postEvent(ctx, runEvent{kind: eventHeaders, attempt: a.Attempt}) {
		return
	}
	for {
		frame, err := source.Next()
		if err != nil {
			r.postEvent(ctx, runEvent{kind: eventAttemptFailed, attempt: a.Attempt, err: err})
			return
		}
		if !r.postEvent(ctx, runEvent{kind: eventFrame, attempt: a.Attempt, frame: &frame}) || frame.Done {
			return
		}
	}
}

// cancelAttempt cancels an attempt at its engine without waiting for the
// response. If the call fails, the owner of the engine reclaims the memory.
func (r *completionRun) cancelAttempt(a attempt.Cancel) {
	h := r.host
	go h.cancelAtEngine(a.Upstream, a.Attempt)
}

// openAttempt is an attempt that holds capacity of an upstream.
type openAttempt struct {
	assignment *assignment
	attempt    ident.Attempt
	cancel     context.CancelFunc
	end        func()
}

// closeAttempt releases the capacity that the current attempt holds. A stream
// that was read to its end marker closes by itself, so that its connection can
// be reused.
func (r *completionRun) closeAttempt() {
	if r.current == nil {
		return
	}
	if r.current.cancel != nil {
		r.current.end()
		if r.finish == nil || r.finish.Code != code.OK {
			r.current.cancel()
		}
	}
	r.current.assignment.release()
	r.current = nil
}

func (r *completionRun) currentUpstream() upstream.Name {
	if r.current == nil {
		return ""
	}
	return r.current.assignment.upstream
}

func (r *completionRun) currentUpstreamName() string {
	return string(r.currentUpstream())
}
