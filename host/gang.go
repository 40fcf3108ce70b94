package host

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/gang"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/upstream"
)

const (
	gangPoll        = 50 * time.Millisecond // between two attempts to place a prompt on several engines
	gangCallTimeout = 5 * time.Second       // of one reservation or release
	bytesPerToken   = upstream.BlockBytes / upstream.BlockTokens
)

// gangCandidates returns the engines of a model with the free memory of each.
func (p *placement) gangCandidates(request *balancer.Request) []gang.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []gang.Candidate
	for _, load := range p.engineSet.Loads(request.Model) {
		used := load.UsedTokens + load.QueuedTokens + load.UnreportedTokens
		candidates = append(candidates, gang.Candidate{
			Name: load.Name, FailureDomain: load.FailureDomain, CapacityTokens: load.CapacityTokens,
			FreeTokens: load.CapacityTokens - min(used, load.CapacityTokens),
		})
	}
	return candidates
}

// needsGang reports whether no single engine can hold the request in addition
// to the share that is reserved for short requests.
func (p *placement) needsGang(request *balancer.Request, shortShare float64) bool {
	if request.Class != balancer.ClassLong {
		return false
	}
	var largest uint64
	for _, c := range p.gangCandidates(request) {
		largest = max(largest, c.CapacityTokens)
	}
	return largest > 0 && request.Memory() > uint64((1-max(shortShare, minFreeShare))*float64(largest))
}

// minFreeShare is the smallest share of an engine that one request must leave
// free.
const minFreeShare = 0.1

// placeGang selects the engines that hold the request together. It waits until
// they have enough free memory.
func (h *Host) placeGang(ctx context.Context, request *balancer.Request) (*assignment, error) {
	until := time.Now().Add(h.fleetPolicy().QueueTime)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	for {
		candidates := h.placement.gangCandidates(request)
		plan, err := gang.Plan(request.PromptTokens, request.MaxTokens, candidates, h.settings.Host.FailureDomain)
		if err == nil {
			return h.placement.admitGang(plan), nil
		}
		if code.Of(err) != code.NoCapacity || !time.Now().Before(until) || ctx.Err() != nil {
			return nil, err
		}
		ctxtime.Sleep(ctx, gangPoll)
	}
}

// admitGang adds the parts of a plan to the loads of their engines.
func (p *placement) admitGang(plan *gang.Placement) *assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, part := range plan.Parts {
		p.engineSet.Started(now, part.Member, balancer.ClassLong, uint64(part.Reserve))
	}
	release := sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, part := range plan.Parts {
			p.engineSet.Finished(part.Member, uint64(part.Reserve))
		}
	})
	return &assignment{upstream: plan.Lead().Member, gang: plan, release: release}
}

// gangRun drives the machine of one attempt on several engines. Its goroutine
// continues after the end of the request until every engine has released its
// memory.
type gangRun struct {
	host       *Host
	plan       *gang.Placement
	machine    *gang.Machine
	request    *upstream.GenerateRequest
	events     chan gang.Event
	stream     chan gangStream // buffers one value
	attemptCtx context.Context // ends when the attempt has its result
	cancel     context.CancelFunc
	timer      *time.Timer
}

type gangStream struct {
	stream upstream.Stream
	err    error
}

const gangEventBuffer = 64

// generateGang reserves memory on all engines of the plan, prefills the parts
// of the prompt and starts the answer on the lead engine.
func (h *Host) generateGang(ctx context.Context, plan *gang.Placement, request *upstream.GenerateRequest) (upstream.Stream, error) {
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Attempt.Deadline)
	run := &gangRun{
		host: h, plan: plan, request: request,
		machine:    gang.New(gang.DefaultOptions(), request.Attempt, plan),
		events:     make(chan gang.Event, gangEventBuffer),
		stream:     make(chan gangStream, 1),
		attemptCtx: attemptCtx, cancel: cancel,
		timer: time.NewTimer(time.Until(request.Attempt.Deadline)),
	}
	go run.loop()
	select {
	case result := <-run.stream:
		return result.stream, result.err
	case <-ctx.Done():
		run.postEvent(gang.Event{Kind: gang.Cancelled})
		return nil, &upstream.Error{Upstream: plan.Lead().Member, Sent: upstream.SentSome, Err: ctx.Err()}
	}
}

// postEvent sends an event to the loop. The loop ends after the last possible
// event or when the time for releases has passed.
func (r *gangRun) postEvent(event gang.Event) {
	select {
	case r.events <- event:
	default: // the loop has ended or its buffer is full; its timers work without the event
	}
}

func (r *gangRun) loop() {
	defer r.cancel()
	defer r.timer.Stop()
	actions := r.machine.Handle(time.Now(), gang.Event{Kind: gang.Started})
	for r.apply(actions) {
		select {
		case event := <-r.events:
			actions = r.machine.Handle(time.Now(), event)
		case <-r.timer.C:
			actions = r.machine.Handle(time.Now(), gang.Event{Kind: gang.TimerFired})
		}
	}
}

// apply executes actions. It returns false if the machine has ended.
func (r *gangRun) apply(actions []gang.Action) bool {
	for _, action := range actions {
		switch action.Kind {
		case gang.Reserve:
			go r.reserve(action.Part)
		case gang.Prefill:
			go r.prefill(action.Part)
		case gang.Generate:
			go r.generate(action.Part)
		case gang.Release:
			go r.release(action.Part)
		case gang.SetTimer:
			r.timer.Reset(time.Until(action.At))
		case gang.Finish:
			r.finish(action.Code)
		case gang.End:
			return false
		}
	}
	return true
}

// finish returns an error to generateGang if the attempt ended before its
// stream began.
func (r *gangRun) finish(result code.Code) {
	r.cancel()
	if result == code.OK {
		return
	}
	sent := upstream.SentSome
	if result.Outcome() == code.NotRun {
		sent = upstream.SentNothing
	}
	err := &upstream.Error{Upstream: r.plan.Lead().Member, Sent: sent, Err: code.New(result, "the attempt on %d engines failed", len(r.plan.Parts))}
	select {
	case r.stream <- gangStream{err: err}:
	default: // the stream was already returned; its reader gets the failure
	}
}

func (r *gangRun) engine(name upstream.Name) (upstream.Engine, error) {
	engine, ok := r.host.directory.Engine(name)
	if !ok {
		return nil, &upstream.Error{Upstream: name, Sent: upstream.SentNothing, Err: errNotListed}
	}
	return engine, nil
}

func (r *gangRun) reserve(part gang.Part) {
	engine, err := r.engine(part.Member)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.attemptCtx), gangCallTimeout)
		defer cancel()
		err = engine.Reserve(ctx, &upstream.ReserveRequest{Attempt: r.request.Attempt, Tokens: part.Reserve, Expiry: r.request.Attempt.Deadline})
	}
	if err != nil {
		r.postEvent(gang.Event{Kind: gang.ReserveFailed, Member: part.Member, Refused: asUpstreamError(part.Member, err).Refused})
		return
	}
	r.postEvent(gang.Event{Kind: gang.Reserved, Member: part.Member})
}

func (r *gangRun) prefill(part gang.Part) {
	engine, err := r.engine(part.Member)
	if err == nil {
		_, err = engine.Prefill(r.attemptCtx, &upstream.PrefillRequest{
			Attempt: r.request.Attempt, Model: r.request.Model, Part: part.Index, Prompt: r.text(part), Priority: r.request.Priority,
		})
	}
	if err != nil {
		r.postEvent(gang.Event{Kind: gang.PrefillFailed, Member: part.Member, Refused: asUpstreamError(part.Member, err).Refused})
		return
	}
	r.postEvent(gang.Event{Kind: gang.Prefilled, Member: part.Member})
}

// text returns the text of a part of the prompt.
func (r *gangRun) text(part gang.Part) string {
	from := min(int(part.Offset)*bytesPerToken, len(r.request.Prompt))
	to := min(from+int(part.Tokens)*bytesPerToken, len(r.request.Prompt))
	return r.request.Prompt[from:to]
}

func (r *gangRun) generate(lead gang.Part) {
	request := *r.request
	request.Prompt = r.text(lead)
	for _, part := range r.plan.Parts {
		if part.Member == lead.Member {
			continue
		}
		status, ok := r.host.directory.Status(part.Member)
		if ok {
			request.Members = append(request.Members, upstream.Member{Name: part.Member, Address: status.Info.Address})
		}
	}
	engine, err := r.engine(lead.Member)
	var stream upstream.Stream
	if err == nil {
		stream, err = engine.Generate(r.attemptCtx, &request)
	}
	if err != nil {
		r.postEvent(gang.Event{Kind: gang.GenerateFailed, Code: code.UpstreamLost})
		return
	}
	select {
	case r.stream <- gangStream{stream: &gangAnswer{Stream: stream, run: r}}:
	default: // the attempt has failed in the meantime
		_ = stream.Close()
	}
}

func (r *gangRun) release(part gang.Part) {
	engine, err := r.engine(part.Member)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.attemptCtx), gangCallTimeout)
		defer cancel()
		err = engine.Release(ctx, r.request.Attempt)
	}
	kind := gang.Released
	if err != nil {
		kind = gang.ReleaseFailed
	}
	r.postEvent(gang.Event{Kind: kind, Member: part.Member})
}

// gangAnswer is the stream of the lead engine. When it ends, all engines
// release their memory.
type gangAnswer struct {
	upstream.Stream
	run   *gangRun
	ended sync.Once
}

// Next implements upstream.Stream.
func (a *gangAnswer) Next() (upstream.Frame, error) {
	frame, err := a.Stream.Next()
	switch {
	case err == nil && frame.Done, errors.Is(err, io.EOF):
		a.end(gang.Event{Kind: gang.Generated})
	case err != nil:
		a.end(gang.Event{Kind: gang.GenerateFailed, Code: code.AnswerIncomplete})
	}
	return frame, err
}

// Close implements upstream.Stream.
func (a *gangAnswer) Close() error {
	a.end(gang.Event{Kind: gang.Cancelled})
	return a.Stream.Close()
}

func (a *gangAnswer) end(event gang.Event) {
	a.ended.Do(func() { a.run.postEvent(event) })
}
