package host

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/limit"
	"github.com/citronscale/citronscale/upstream"
)

// describe checks a completion against the configuration in force and returns
// the request for its placement.
func (h *Host) describe(c *gateway.Completion) (*balancer.Request, config.ModelPolicy, error) {
	cfg, ok := h.agreement.config()
	if !ok {
		return nil, config.ModelPolicy{}, code.New(code.HostNotReady, "no configuration in force")
	}
	model, ok := cfg.Models[c.Model]
	if !ok {
		return nil, config.ModelPolicy{}, code.New(code.ModelUnknown, "model %q is not in the configuration", c.Model)
	}
	tokens := c.PromptTokens
	if model.ContextTokens > 0 && tokens+c.MaxTokens > model.ContextTokens {
		return nil, config.ModelPolicy{}, code.New(code.PromptTooLong, "prompt and answer need %d tokens, the context of model %q has %d", tokens+c.MaxTokens, c.Model, model.ContextTokens)
	}
	request := &balancer.Request{
		Model: c.Model, PromptTokens: tokens, MaxTokens: c.MaxTokens, Class: h.classify(tokens),
		PrefixDigests: upstream.PrefixDigests(c.Prompt), Team: c.Team, Deadline: c.Deadline,
	}
	return request, cfg.Model(c.Model), h.limitTeam(cfg, request)
}

// limitTeam charges the tokens of a request to the rate limit of its team.
func (h *Host) limitTeam(cfg *config.Config, request *balancer.Request) error {
	policy := cfg.Team(request.Team)
	rate := limit.TeamRate{TokensPerSecond: float64(policy.TokensPerSecond), BurstTokens: float64(policy.BurstTokens)}
	p := h.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	allowed, wait := p.limiter.Allow(time.Now(), request.Team, rate, request.Memory())
	if !allowed {
		return code.New(code.TeamLimit, "team %q exceeds its limit of %d tokens/s; retry in %v", request.Team, policy.TokensPerSecond, wait.Round(time.Millisecond))
	}
	return nil
}
