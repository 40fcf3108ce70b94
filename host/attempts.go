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
	cancelTimeout  = 2 * time.Second
	crashProbe     = 500 * time.Millisecond // time for a report that tells a crash from a cut
	crashProbePoll = 20 * time.Millisecond  // between two tries to get that report
	alonePoll      = time.Second            // mean time between two tries to get an engine alone
	trialPoll      = 20 * time.Millisecond  // between two tries to run isolated content alone
	slowestPrefill = 2_000                  // tokens per second; an engine below it counts as silent
)

// generate sends an attempt to its engine or engines.
func (h *Host) generate(ctx context.Context, p *placed, c *gateway.Completion, a attempt.Send) (upstream.Stream, error) {
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

// cancelAtEngine ends an attempt at its engine. The owner of the engine
// reclaims what a lost cancel leaves.
func (h *Host) cancelAtEngine(name upstream.Name, a ident.Attempt) {
	engine, ok := h.directory.Engine(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, a)
}

// firstFrameTimeout returns how long an engine may take to the first frame: the
// progress timeout and the time to compute the prompt.
func firstFrameTimeout(request *balancer.Request, progress time.Duration) time.Duration {
	return progress + time.Duration(request.PromptTokens)*time.Second/slowestPrefill
}

// noteFailure tells the parts of the host that an attempt failed.
func (h *Host) noteFailure(r *completionRun, failure *upstream.Error) {
	if failure.Refused == upstream.RefusedLeaving {
		h.noteUpstreams(h.directory.RefusedLeaving(time.Now(), failure.Upstream))
	}
	if failure.NotRun() && failure.Refused == "" {
		suspect := h.fleetPolicy().SuspectTime
		h.noteUpstreams(h.directory.ReportLost(time.Now(), failure.Upstream, suspect))
	}
	if !failure.NotRun() {
		h.probeCrash(r, failure.Upstream)
	}
}

// probeCrash asks an engine whose stream broke for a report. An engine that
// refuses the connection, or reports a new incarnation, has crashed; the content
// of this host that ran there becomes suspect.
func (h *Host) probeCrash(r *completionRun, name upstream.Name) {
	status, ok := h.directory.Status(name)
	engine, found := h.directory.Engine(name)
	if !ok || !found {
		return
	}
	before := status.Incarnation
	ctx, cancel := context.WithTimeout(r.work, crashProbe)
	defer cancel()
	asked := time.Now()
	report, refused := reportOrRefusal(ctx, name, engine)
	if report != nil {
		h.takeReport(asked, report)
	}
	if !crashed(before, report, refused) {
		return
	}
	h.noteCrash(name, before)
}

// reporter is an engine that tells its state.
type reporter interface {
	Report(ctx context.Context) (*upstream.Report, error)
}

// reportOrRefusal asks an engine until it reports or refuses the connection.
// Any other failure says nothing: a connection kept open from before the crash,
// or accepted by the dying process, breaks as one over a bad network does.
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

// crashed tells from the end of a probe whether the incarnation of an engine
// that was known before has ended.
func crashed(before uint64, report *upstream.Report, refused bool) bool {
	if report == nil {
		return refused
	}
	return before != 0 && report.Incarnation != before
}

// awaitVerdict waits until the content may run: at once if nothing speaks
// against it, one copy at a time if it is suspect. It fails if the content is
// refused. The returned function ends a trial.
func (h *Host) awaitVerdict(ctx context.Context, r *completionRun) (verdict strike.Verdict, end func(), err error) {
	for waits := false; ; waits = true {
		verdict := h.strikes.judge(time.Now(), r.content)
		switch verdict {
		case strike.Refuse:
			h.log.Emit(event.ContentQuarantined).Str("request", r.c.Request.String()).Str("team", r.c.Team).Msg("")
			return verdict, nil, code.New(code.RequestQuarantined, "engines crashed while they ran this content")
		case strike.Spread, strike.Isolate:
			if h.strikes.startTrial(r.content, verdict) {
				return verdict, func() { h.strikes.endTrial(r.content) }, nil
			}
			if !waits {
				r.noteQueued("another copy of suspect content runs")
			}
		default:
			return verdict, func() {}, nil
		}
		ctxtime.Sleep(ctx, trialPoll)
		if ctx.Err() != nil {
			return verdict, nil, code.New(code.NoCapacity, "the request ended while its content waited for its turn")
		}
	}
}

// placeContent places a request once its content may run.
func (h *Host) placeContent(ctx context.Context, r *completionRun, request *balancer.Request) (*placed, error) {
	verdict, endTrial, err := h.awaitVerdict(ctx, r)
	if err != nil {
		return nil, err
	}
	p, err := h.placeByVerdict(ctx, request, verdict, r.noteQueued)
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

// placeByVerdict keeps suspects apart: spread content avoids engines that run
// other suspects of this host, as long as another engine is left, and isolated
// content gets an engine of its own.
func (h *Host) placeByVerdict(ctx context.Context, request *balancer.Request, verdict strike.Verdict, queued func(reason string)) (*placed, error) {
	switch verdict {
	case strike.Spread:
		apart := *request
		apart.Avoid = append(h.strikes.suspectEngines(time.Now()), request.Avoid...)
		if len(h.placement.candidates(&apart)) > 0 {
			request = &apart
		}
		return h.placeCompletion(ctx, request, queued)
	case strike.Isolate:
		return h.placeAlone(ctx, request, queued)
	default:
		return h.placeCompletion(ctx, request, queued)
	}
}

// placeAlone waits for an engine without other work, up to the deadline. It does
// not queue: a waiter that asks for a whole engine would hold up all behind it.
func (h *Host) placeAlone(ctx context.Context, request *balancer.Request, queued func(reason string)) (*placed, error) {
	for waits := false; time.Now().Before(request.Deadline) && ctx.Err() == nil; waits = true {
		if p, err := h.tryAlone(ctx, request); p != nil || err != nil {
			return p, err
		}
		if !waits {
			queued("suspect content waits for an engine of its own")
		}
		ctxtime.Sleep(ctx, jitter(alonePoll))
	}
	return nil, code.New(code.NoCapacity, "no engine was free for content that has to run alone")
}

// tryAlone asks the owners of the candidates for all memory that may be lent of
// their engines, which they have only while nothing else holds any.
func (h *Host) tryAlone(ctx context.Context, request *balancer.Request) (*placed, error) {
	names := h.placement.candidates(request)
	if len(names) == 0 {
		return nil, code.New(code.UpstreamUnavailable, "model %q has no usable engine", request.Model)
	}
	for _, name := range names {
		whole := *request
		h.placement.askWhole(&whole, name, h.upstreamPolicy(name).CapacityShare)
		only := []upstream.Name{name}
		if p, ok := h.placement.take(&whole, only); ok {
			return p, nil
		}
		h.askOwner(ctx, lease.Line{Engine: name, Class: whole.Class}, whole.Memory())
		if p, ok := h.placement.take(&whole, only); ok {
			return p, nil
		}
	}
	return nil, nil
}
