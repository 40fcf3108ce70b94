package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronscale/citronscale/attempt"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/upstream"
)

const cancelTimeout = 2 * time.Second

// placed is an engine that a completion may be sent to.
type placed struct {
	upstream upstream.Name
	release  func() // gives the capacity back; may be called more than once
}

// describe returns what placement needs to know about a completion.
func (h *Host) describe(c *gateway.Completion) (*balancer.Request, config.ModelPolicy, error) {
	cfg, ok := h.agreement.config()
	if !ok {
		return nil, config.ModelPolicy{}, code.New(code.HostNotReady, "no configuration in force")
	}
	model, ok := cfg.Models[c.Model]
	if !ok {
		return nil, config.ModelPolicy{}, code.New(code.ModelUnknown, "model %q is not in the configuration", c.Model)
	}
	tokens := upstream.CountTokens(c.Prompt)
	if model.ContextTokens > 0 && tokens+c.MaxTokens > model.ContextTokens {
		return nil, config.ModelPolicy{}, code.New(code.PromptTooLong, "prompt and answer have %d tokens, model %q holds %d", tokens+c.MaxTokens, c.Model, model.ContextTokens)
	}
	return &balancer.Request{
		Model: c.Model, PromptTokens: tokens, MaxTokens: c.MaxTokens, Class: h.classify(tokens),
		PrefixDigests: upstream.PrefixDigests(c.Prompt), Team: c.Team, Deadline: c.Deadline,
	}, cfg.Model(c.Model), nil
}

// placeCompletion returns an engine with room for the request.
func (h *Host) placeCompletion(_ context.Context, request *balancer.Request, _ strike.Digest) (*placed, error) {
	var names []upstream.Name
	for _, s := range h.directory.Engines() {
		if s.Info.Model == request.Model && s.Usable() {
			names = append(names, s.Info.Name)
		}
	}
	if len(names) == 0 {
		return nil, code.New(code.UpstreamUnavailable, "model %q has no usable engine", request.Model)
	}
	return &placed{upstream: names[rand.IntN(len(names))], release: func() {}}, nil
}

// generate sends an attempt to its engine.
func (h *Host) generate(ctx context.Context, p *placed, c *gateway.Completion, a attempt.Send) (upstream.Stream, error) {
	engine, ok := h.directory.Engine(p.upstream)
	if !ok {
		return nil, &upstream.Error{Upstream: p.upstream, Sent: upstream.SentNothing, Err: errNotListed}
	}
	tokens := upstream.CountTokens(c.Prompt)
	return engine.Generate(ctx, &upstream.GenerateRequest{
		Attempt: a.Attempt, Model: c.Model, Prompt: c.Prompt, PromptTokens: tokens, MaxTokens: c.MaxTokens,
		Priority: h.classify(tokens).Priority(), ResumeOffset: a.ResumeOffset, ResumeText: a.ResumeText,
	})
}

// cancelAtEngine ends an attempt at its engine.
func (h *Host) cancelAtEngine(name upstream.Name, a ident.Attempt) {
	engine, ok := h.directory.Engine(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, a) // the owner of the engine reclaims what a lost cancel leaves
}

// retryGate is the retry policy of one request. It implements
// attempt.RetryPolicy.
type retryGate struct {
	policy    retry.Policy
	notBefore time.Time // of the next attempt
}

func (h *Host) newRetryGate(_ *balancer.Request) *retryGate {
	return &retryGate{policy: retry.DefaultPolicy()}
}

// AllowRetry implements attempt.RetryPolicy.
func (g *retryGate) AllowRetry(now time.Time, number int, _ bool, deadline time.Time) bool {
	return number < g.policy.MaxAttempts && now.Before(deadline)
}

// firstFrameTimeout returns how long an engine may take to the first frame: the
// progress timeout and the time to compute the prompt.
func firstFrameTimeout(request *balancer.Request, progress time.Duration) time.Duration {
	const slowestPrefill = 2_000 // tokens per second
	return progress + time.Duration(request.PromptTokens)*time.Second/slowestPrefill
}

// noteFailure tells the parts of the host that an attempt failed.
func (h *Host) noteFailure(_ *completionRun, failure *upstream.Error) {
	if failure.Refused == upstream.RefusedLeaving {
		h.noteUpstreams(h.directory.RefusedLeaving(time.Now(), failure.Upstream))
	}
}
