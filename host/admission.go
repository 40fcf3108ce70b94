package host

import (
	"sync"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/limit"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/strike"
	"github.com/citronscale/citronscale/upstream"
)

// describe checks a completion against the configuration in force and returns
// what placement needs to know about it.
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
		return nil, config.ModelPolicy{}, code.New(code.PromptTooLong, "prompt and answer have %d tokens, model %q holds %d", tokens+c.MaxTokens, c.Model, model.ContextTokens)
	}
	request := &balancer.Request{
		Model: c.Model, PromptTokens: tokens, MaxTokens: c.MaxTokens, Class: h.classify(tokens),
		PrefixDigests: upstream.PrefixDigests(c.Prompt), Team: c.Team, Deadline: c.Deadline,
	}
	return request, cfg.Model(c.Model), h.limitTeam(cfg, request)
}

// limitTeam takes the tokens of a request out of the rate of its team.
func (h *Host) limitTeam(cfg *config.Config, request *balancer.Request) error {
	policy := cfg.Team(request.Team)
	rate := limit.TeamRate{TokensPerSecond: float64(policy.TokensPerSecond), BurstTokens: float64(policy.BurstTokens)}
	p := h.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	allowed, wait := p.limiter.Allow(time.Now(), request.Team, rate, request.Memory())
	if !allowed {
		return code.New(code.TeamLimit, "team %q is over %d tokens/s; there is room in %v", request.Team, policy.TokensPerSecond, wait.Round(time.Millisecond))
	}
	return nil
}

// strikes guards the registry of content that crashes engines.
type strikes struct {
	mu       sync.Mutex
	registry *strike.Registry
	running  map[upstream.Name]map[strike.Digest]int // own content by engine
}

const (
	maxStrikes  = 4096
	strikeDecay = time.Hour
)

func newStrikes() *strikes {
	return &strikes{
		registry: strike.New(strike.Options{MaxRecords: maxStrikes, Decay: strikeDecay}),
		running:  make(map[upstream.Name]map[strike.Digest]int),
	}
}

// judge says how content may run.
func (s *strikes) judge(now time.Time, content strike.Digest) strike.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Judge(now, content)
}

// begin notes that content runs on an engine; the returned function ends it.
func (s *strikes) begin(name upstream.Name, content strike.Digest) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[name] == nil {
		s.running[name] = make(map[strike.Digest]int)
	}
	s.running[name][content]++
	return sync.OnceFunc(func() { s.endRun(name, content) })
}

func (s *strikes) endRun(name upstream.Name, content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[name][content]--
	if s.running[name][content] <= 0 {
		delete(s.running[name], content)
	}
}

// crashed strikes all own content that ran on an engine which crashed.
func (s *strikes) crashed(now time.Time, name upstream.Name, incarnation uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	contents := make([]strike.Digest, 0, len(s.running[name]))
	for content := range s.running[name] {
		contents = append(contents, content)
	}
	if len(contents) > 0 {
		alone := len(contents) == 1 && s.registry.Isolated(contents[0])
		s.registry.Crash(now, name, incarnation, contents, alone)
	}
	return len(contents)
}

// finished clears content that ran to its end.
func (s *strikes) finished(content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Finished(content)
}

// startTrial asks for leave to send suspect content.
func (s *strikes) startTrial(content strike.Digest, verdict strike.Verdict) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.StartTrial(content, verdict)
}

// suspectEngines returns the engines on which this host runs suspect content.
func (s *strikes) suspectEngines(now time.Time) []upstream.Name {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []upstream.Name
	for name, contents := range s.running {
		for content := range contents {
			if s.registry.Judge(now, content) != strike.Allow {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

func (s *strikes) endTrial(content strike.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.EndTrial(content)
}

// retryGate is the retry policy of one request. It implements
// attempt.RetryPolicy on top of the budget of the host.
type retryGate struct {
	host      *Host
	class     balancer.Class
	notBefore time.Time // of the next attempt
}

func (h *Host) newRetryGate(request *balancer.Request) *retryGate {
	h.placement.mu.Lock()
	defer h.placement.mu.Unlock()
	h.placement.budget.First(time.Now())
	return &retryGate{host: h, class: request.Class}
}

// AllowRetry implements attempt.RetryPolicy. Completions are idempotent.
func (g *retryGate) AllowRetry(now time.Time, number int, sent bool, deadline time.Time) bool {
	cause := code.UpstreamUnavailable
	if sent {
		cause = code.UpstreamLost
	}
	p := g.host.placement
	p.mu.Lock()
	decision := p.policy.Decide(now, retry.Failure{Code: cause, Attempt: number, Idempotent: true, Deadline: deadline}, p.budget, p.rng)
	p.mu.Unlock()
	if !decision.Retry {
		return false
	}
	g.notBefore = decision.At
	g.host.metrics.Retried(g.class.Wire(), cause)
	g.host.log.Emit(event.AttemptRetried).Int("attempt", number).Dur("delay", decision.At.Sub(now)).Msg("")
	return true
}
