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
// request: the machine decides, this goroutine carries its actions out.
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

// completionRun is one completion in flight. All fields belong to the
// goroutine of the request; other goroutines only send events.
type completionRun struct {
	host    *Host
	c       *gateway.Completion
	sink    gateway.Sink
	machine *attempt.Machine
	place   *balancer.Request
	content strike.Digest
	retries *retryGate
	events  chan runEvent
	work    context.Context // ends with the request
	timer   *time.Timer
	open    *openAttempt // the attempt that holds an upstream
	finish  *attempt.Finish
	cached  uint32
	started bool      // the current attempt sent a frame
	sentAt  time.Time // of the current attempt
	firstAt time.Time // first frame of the current attempt
	tokenAt time.Time // newest delivery to the caller
}

// runEvent is what another goroutine tells the goroutine of the request.
type runEvent struct {
	attempt ident.Attempt
	placed  *placed
	frame   *upstream.Frame
	err     error
	kind    runEventKind
}

type runEventKind int

const (
	eventPlaced runEventKind = iota + 1
	eventNotPlaced
	eventHeaders
	eventFrame
	eventBroken
)

func (h *Host) newCompletionRun(ctx context.Context, c *gateway.Completion, sink gateway.Sink) (*completionRun, error) {
	request, model, err := h.describe(c)
	if err != nil {
		return nil, err
	}
	gate := h.newRetryGate(request)
	run := &completionRun{
		host:    h,
		c:       c,
		sink:    sink,
		place:   request,
		content: strike.DigestOf(c.Model, c.Prompt),
		retries: gate,
		events:  make(chan runEvent, eventBuffer),
		work:    ctx,
	}
	run.machine = attempt.New(attempt.Options{
		Request:           c.Request,
		Deadline:          c.Deadline,
		FirstFrameTimeout: firstFrameTimeout(request, model.ProgressTimeout),
		ProgressTimeout:   model.ProgressTimeout,
		MaxAttempts:       h.placement.policy.MaxAttempts,
		Retry:             gate,
	})
	return run, nil
}

// run carries out actions until the machine finishes.
func (r *completionRun) run(ctx context.Context) (*gateway.CompletionResult, error) {
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	r.work = work
	r.timer = time.NewTimer(time.Until(r.c.Deadline))
	defer r.timer.Stop()
	r.host.lifecycle.addTokens(int64(r.place.Memory()))
	defer r.host.lifecycle.addTokens(-int64(r.place.Memory()))
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
		return &gateway.CompletionResult{Upstream: r.lastUpstream(), Attempts: r.machine.Attempts()}, code.New(r.finish.Code, "%s", r.finish.Detail)
	}
	r.host.strikes.finished(r.content)
	r.host.placement.learnFinished(r.finish.Tokens, time.Since(r.firstAt))
	return &gateway.CompletionResult{
		PromptTokens:     r.place.PromptTokens,
		CompletionTokens: uint32(r.finish.Tokens),
		CachedTokens:     r.cached,
		FinishReason:     r.finish.FinishReason,
		Upstream:         r.lastUpstream(),
		Attempts:         r.machine.Attempts(),
	}, nil
}

// handle turns an event into the actions of the machine.
func (r *completionRun) handle(e runEvent) []attempt.Action {
	now := time.Now()
	switch e.kind {
	case eventPlaced:
		return r.handlePlaced(now, e.placed)
	case eventNotPlaced:
		return r.machine.NoUpstream(now, e.err)
	case eventHeaders:
		return r.machine.Headers(now, e.attempt)
	case eventFrame:
		return r.handleFrame(now, e.frame)
	default:
		return r.handleBroken(now, e)
	}
}

func (r *completionRun) handlePlaced(now time.Time, p *placed) []attempt.Action {
	r.closeAttempt()
	r.open = &openAttempt{placed: p}
	return r.machine.Chosen(now, p.upstream)
}

func (r *completionRun) handleFrame(now time.Time, frame *upstream.Frame) []attempt.Action {
	if !r.started {
		r.started = true
		r.firstAt = now
		r.cached = frame.CachedTokens
		r.host.placement.learnFirstToken(r.place.PromptTokens, now.Sub(r.sentAt))
		r.note(record.Running, code.OK, "")
	}
	return r.machine.FrameReceived(now, *frame)
}

func (r *completionRun) handleBroken(now time.Time, e runEvent) []attempt.Action {
	failure := asUpstreamError(r.lastName(), e.err)
	r.noteBroken(failure)
	r.host.noteFailure(r, failure)
	return r.machine.Broken(now, e.attempt, failure)
}

// apply carries actions out in order.
func (r *completionRun) apply(actions []attempt.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Choose:
			r.choose(a)
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

// deliver hands text to the caller. A caller that is gone ends the request.
func (r *completionRun) deliver(a attempt.Deliver) {
	r.measureGap(time.Now(), a.Tokens)
	if err := r.sink.Deliver(a.Text, a.Tokens); err != nil {
		r.apply(r.machine.CallerGone(time.Now()))
	}
}

// measureGap records the time since the last delivery for each token of this
// one.
func (r *completionRun) measureGap(now time.Time, tokens uint32) {
	if !r.tokenAt.IsZero() && tokens > 0 {
		r.host.metrics.NextToken(r.place.Class.Wire(), now.Sub(r.tokenAt)/time.Duration(tokens))
	}
	r.tokenAt = now
}

// tell sends an event to the goroutine of the request unless it has ended.
func (r *completionRun) tell(work context.Context, e runEvent) bool {
	select {
	case r.events <- e:
		return true
	case <-work.Done():
		return false
	}
}

// choose looks for an upstream with room in a goroutine of its own, because
// the owner of an engine may have to be asked.
func (r *completionRun) choose(a attempt.Choose) {
	r.closeAttempt()
	request := *r.place
	request.Avoid = a.Avoid
	notBefore := r.retries.notBefore
	go func() {
		ctxtime.Sleep(r.work, time.Until(notBefore))
		p, err := r.host.placeContent(r.work, r, &request)
		if err != nil {
			r.tell(r.work, runEvent{kind: eventNotPlaced, err: err})
			return
		}
		if !r.tell(r.work, runEvent{kind: eventPlaced, placed: p}) {
			p.release()
		}
	}()
}

// send starts an attempt and reads its frames in a goroutine of its own.
func (r *completionRun) send(a attempt.Send) {
	// The stream of a whole answer outlives the request for the moment that it
	// takes to free its connection, so it does not end with the request.
	work, cancel := context.WithDeadline(context.WithoutCancel(r.work), a.Attempt.Deadline.Add(attempt.FinishGrace))
	r.open.attempt = a.Attempt
	r.open.cancel = cancel
	r.open.end = r.host.directory.Begin(a.Upstream)
	r.started = false
	r.sentAt = time.Now()
	r.note(record.Sending, code.OK, "")
	placed := r.open.placed
	go func() {
		defer cancel()
		r.stream(work, placed, a)
	}()
}

// stream reads one attempt to its end.
func (r *completionRun) stream(work context.Context, p *placed, a attempt.Send) {
	source, err := r.host.generate(work, p, r.c, a)
	if err != nil {
		r.tell(work, runEvent{kind: eventBroken, attempt: a.Attempt, err: err})
		return
	}
	defer func() { _ = source.Close() }()
	if !r.tell(work, runEvent{kind: eventHeaders, attempt: a.Attempt}) {
		return
	}
	for {
		frame, err := source.Next()
		if err != nil {
			r.tell(work, runEvent{kind: eventBroken, attempt: a.Attempt, err: err})
			return
		}
		if !r.tell(work, runEvent{kind: eventFrame, attempt: a.Attempt, frame: &frame}) || frame.Done {
			return
		}
	}
}

// cancelAttempt ends an attempt at its engine without waiting for it. If the
// cancel is lost, the owner of the engine reclaims the memory.
func (r *completionRun) cancelAttempt(a attempt.Cancel) {
	h := r.host
	go h.cancelAtEngine(a.Upstream, a.Attempt)
}

// openAttempt is an attempt that holds a share of an upstream.
type openAttempt struct {
	placed  *placed
	attempt ident.Attempt
	cancel  context.CancelFunc
	end     func()
}

// closeAttempt gives back what the current attempt holds. A stream that was
// read to its end marker closes by itself and keeps its connection usable.
func (r *completionRun) closeAttempt() {
	if r.open == nil {
		return
	}
	if r.open.cancel != nil {
		r.open.end()
		if r.finish == nil || r.finish.Code != code.OK {
			r.open.cancel()
		}
	}
	r.open.placed.release()
	r.open = nil
}

func (r *completionRun) lastName() upstream.Name {
	if r.open == nil {
		return ""
	}
	return r.open.placed.upstream
}

func (r *completionRun) lastUpstream() string {
	return string(r.lastName())
}
