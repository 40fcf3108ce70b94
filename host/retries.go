package host

import (
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/retry"
)

// retryGate is the retry policy of one request. It implements
// attempt.RetryPolicy with the retry budget of the host.
type retryGate struct {
	host      *Host
	class     balancer.Class
	notBefore time.Time // earliest start of the next attempt
}

func (h *Host) newRetryGate(request *balancer.Request) *retryGate {
	h.placement.mu.Lock()
	defer h.placement.mu.Unlock()
	h.placement.retryBudget.RecordFirst(time.Now())
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
	decision := p.retryPolicy.Decide(now, retry.Failure{Code: cause, Attempt: number, Idempotent: true, Deadline: deadline}, p.retryBudget, p.rng)
	p.mu.Unlock()
	if !decision.Retry {
		return false
	}
	g.notBefore = decision.At
	g.host.metrics.Retried(g.class.Wire(), cause)
	g.host.log.Emit(event.AttemptRetried).Int("attempt", number).Dur("delay", decision.At.Sub(now)).Msg("")
	return true
}
