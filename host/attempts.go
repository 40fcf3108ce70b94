package host

import (
	"context"
	"time"

	"github.com/citronscale/citronscale/attempt"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/upstream"
)

const (
	cancelTimeout     = 2 * time.Second
	crashProbeTimeout = 500 * time.Millisecond // limit for a report that distinguishes a crash from a broken connection
	crashProbePoll    = 20 * time.Millisecond  // between two requests for that report
	idleEnginePoll    = time.Second            // mean time between two attempts to reserve a whole engine
	trialPoll         = 20 * time.Millisecond  // between two attempts to start a trial of suspect content
	minPrefillRate    = 2_000                  // tokens per second; a slower engine may exceed its first-frame timeout
)

// generate sends an attempt to its engine or engines.
func (h *Host) generate(ctx context.Context, p *assignment, c *gateway.Completion, a attempt.Send) (upstream.Stream, error) {
	tokens := c.PromptTokens
	request := &upstream.GenerateRequest{
		Attempt: a.Attempt, Model: c.Model, Prompt: c.Prompt, PromptTokens: tokens, MaxTokens: c.MaxTokens,
		Priority: h.priority(tokens), ResumeOffset: a.ResumeOffset, ResumeText: a.ResumeText,
	}
	if p.gang != nil {
		return h.generateGang(ctx, p.gang, request)
	}
	engine, ok := h.directory.Engine(p.upstream)
	if !ok {
		return nil, &upstream.Error{Upstream: p.upstream, Sent: upstream.SentNothing, Err: errNotListed}
	}
	return engine.Generate(ctx, request)
}

// priority returns the priority of a prompt at the engines.
func (h *Host) priority(promptTokens uint32) int {
	if !h.settings.Placement.Priorities {
		return 0
	}
	return h.classify(promptTokens).Priority()
}

// cancelAtEngine cancels an attempt at its engine. If the call fails, the owner
// of the engine reclaims the memory.
func (h *Host) cancelAtEngine(name upstream.Name, a ident.Attempt) {
	engine, ok := h.directory.Engine(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, a)
}

// firstFrameTimeout returns the timeout for the first frame of an attempt: the
// progress timeout plus the longest time for the prefill.
func firstFrameTimeout(request *balancer.Request, progress time.Duration) time.Duration {
	return progress + time.Duration(request.PromptTokens)*time.Second/minPrefillRate
}

// handleAttemptFailure updates the state of the upstream after a failed attempt
// and checks whether the upstream crashed.
func (h *Host) handleAttemptFailure(r *completionRun, failure *upstream.Error) {
	if failure.Refused == upstream.RefusedLeaving {
		h.applyUpstreamChanges(h.directory.RefusedLeaving(time.Now(), failure.Upstream))
	}
	if failure.NotRun() && failure.Refused == "" {
		suspect := h.fleetPolicy().SuspectTime
		h.applyUpstreamChanges(h.directory.ReportLost(time.Now(), failure.Upstream, suspect))
	}
	if !failure.NotRun() {
		h.detectCrash(r, failure.Upstream)
	}
}

// detectCrash requests a report from an engine whose stream broke. An engine
// that refuses the connection or reports a new incarnation has crashed, and the
// content that this host ran there becomes suspect.
func (h *Host) detectCrash(r *completionRun, name upstream.Name) {
	status, ok := h.directory.Status(name)
	engine, found := h.directory.Engine(name)
	if !ok || !found {
		return
	}
	before := status.Incarnation
	ctx, cancel := context.WithTimeout(r.requestCtx, crashProbeTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, refused := reportOrRefusal(ctx, name, engine)
	if report != nil {
		h.applyReport(requestedAt, report)
	}
	if !crashed(before, report, refused) {
		return
	}
	h.recordCrash(name, before)
}

// reporter is the part of an engine that a crash probe uses.
type reporter interface {
	Report(ctx context.Context) (*upstream.Report, error)
}

// reportOrRefusal polls an engine until it reports or refuses the connection.
// Any other failure is inconclusive: a connection that was opened before the
// crash, or accepted by the terminating process, breaks in the same way as one
// over a faulty network.
func reportOrRefusal(ctx context.Context, name upstream.Name, engine reporter) (report *upstream.Report, refused bool) {
	for ctx.Err() == nil {
		report, err := engine.Report(ctx)
		if err == nil {
			return report, false
		}
		if asUpstreamError(name, err).Sent == upstream.SentNothing && ctx.Err() == nil {
			return nil, true
		}
		ctxtime.Sleep(ctx, crashProbePoll)
	}
	return nil, false
}

// crashed reports, from the result of a probe, whether the incarnation that the
// engine had before the failure has ended.
func crashed(before uint64, report *upstream.Report, refused bool) bool {
	if report == nil {
		return refused
	}
	return before != 0 && report.Incarnation != before
}

// awaitVerdict waits until the content may run: immediately if it is not
// suspect, otherwise one copy at a time. It returns an error if the content is
// quarantined. The returned function ends the trial of suspect content.
func (h *Host) awaitVerdict(ctx context.Context, r *completionRun) (verdict strike.Verdict, end func(), err error) {
	for waited := false; ; waited = true {
		verdict := h.strikes.judge(time.Now(), r.content)
		switch verdict {
		case strike.Refuse:
			h.log.Emit(event.ContentQuarantined).Str("request", r.completion.Request.String()).Str("team", r.completion.Team).Msg("")
			return verdict, nil, code.New(code.RequestQuarantined, "engines crashed while they ran this content")
		case strike.Spread, strike.Isolate:
			if h.strikes.startTrial(r.content, verdict) {
				return verdict, func() { h.strikes.endTrial(r.content) }, nil
			}
			if !waited {
				r.recordQueued("another copy of the suspect content is running")
			}
		default:
			return verdict, func() {}, nil
		}
		ctxtime.Sleep(ctx, trialPoll)
		if ctx.Err() != nil {
			return verdict, nil, code.New(code.NoCapacity, "the request ended while its suspect content waited for another copy to finish")
		}
	}
}

// placeContent places a request once its content may run.
func (h *Host) placeContent(ctx context.Context, r *completionRun, request *balancer.Request) (*assignment, error) {
	verdict, endTrial, err := h.awaitVerdict(ctx, r)
	if err != nil {
		return nil, err
	}
	p, err := h.placeByVerdict(ctx, request, verdict, r.recordQueued)
	if err != nil {
		endTrial()
		return nil, err
	}
	endRun := h.strikes.begin(p.upstream, r.content)
	release := p.release
	p.release = func() {
		release()
		endRun()
		endTrial()
	}
	return p, nil
}

// placeByVerdict separates suspect contents. With the verdict Spread, content
// avoids engines on which this host runs other suspect content, if another
// candidate exists. With the verdict Isolate, it gets an idle engine
// exclusively.
func (h *Host) placeByVerdict(ctx context.Context, request *balancer.Request, verdict strike.Verdict, onQueued func(reason string)) (*assignment, error) {
	switch verdict {
	case strike.Spread:
		separated := *request
		separated.Avoid = append(h.strikes.suspectEngines(time.Now()), request.Avoid...)
		if len(h.placement.candidates(&separated)) > 0 {
			request = &separated
		}
		return h.placeCompletion(ctx, request, onQueued)
	case strike.Isolate:
		return h.placeOnIdleEngine(ctx, request, onQueued)
	default:
		return h.placeCompletion(ctx, request, onQueued)
	}
}

// placeOnIdleEngine waits for an idle engine, up to the deadline. It does not
// use the queue: a waiter that needs a whole engine would cause head-of-line
// blocking.
func (h *Host) placeOnIdleEngine(ctx context.Context, request *balancer.Request, onQueued func(reason string)) (*assignment, error) {
	for waited := false; time.Now().Before(request.Deadline) && ctx.Err() == nil; waited = true {
		if p, err := h.tryIdleEngine(ctx, request); p != nil || err != nil {
			return p, err
		}
		if !waited {
			onQueued("suspect content waits for an idle engine")
		}
		ctxtime.Sleep(ctx, jitter(idleEnginePoll))
	}
	return nil, code.New(code.NoCapacity, "no engine became idle for suspect content that must run alone")
}

// tryIdleEngine requests leases on all leasable memory of the candidates in
// turn. An owner can grant that much only while no other lease on the engine is
// held.
func (h *Host) tryIdleEngine(ctx context.Context, request *balancer.Request) (*assignment, error) {
	names := h.placement.candidates(request)
	if len(names) == 0 {
		return nil, code.New(code.UpstreamUnavailable, "model %q has no usable engine", request.Model)
	}
	for _, name := range names {
		exclusive := *request
		h.placement.extendToWholeEngine(&exclusive, name, h.upstreamPolicy(name).CapacityShare)
		candidate := []upstream.Name{name}
		if p, ok := h.placement.take(&exclusive, candidate); ok {
			return p, nil
		}
		h.requestLease(ctx, lease.Key{Engine: name, Class: exclusive.Class}, exclusive.Memory())
		if p, ok := h.placement.take(&exclusive, candidate); ok {
			return p, nil
		}
	}
	return nil, nil
}
