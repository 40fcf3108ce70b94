package host

import (
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
)

// Ready implements gateway.Backend.
func (h *Host) Ready() error {
	return h.lifecycle.admitting(time.Now())
}

// Authenticate implements gateway.Backend.
func (h *Host) Authenticate(token string) (team string, ok bool) {
	cfg, ok := h.agreement.config()
	if !ok {
		return "", false
	}
	return cfg.Authenticate(token)
}

// Models implements gateway.Backend.
func (h *Host) Models() []string {
	cfg, ok := h.agreement.config()
	if !ok {
		return nil
	}
	return cfg.ModelNames()
}

// Timeout implements gateway.Backend.
func (h *Host) Timeout(team string, requested time.Duration) time.Duration {
	cfg, ok := h.agreement.config()
	if !ok {
		return 0
	}
	policy := cfg.Team(team)
	if requested == 0 {
		return policy.DefaultDeadline
	}
	return min(requested, policy.MaxDeadline)
}

// NewRequest implements gateway.Backend.
func (h *Host) NewRequest(team string) ident.Request {
	request := h.records.issue(team)
	if team != "" {
		h.log.Emit(event.RequestAdmitted).Str("request", request.String()).Str("team", team).Msg("")
	}
	return request
}

// Finished implements gateway.Backend.
func (h *Host) Finished(o *gateway.Outcome) {
	h.records.finish(o)
	class := h.wireClass(o)
	h.metrics.RequestFinished(class, o.Code, o.Took)
	if o.FirstToken > 0 {
		h.metrics.FirstToken(class, o.FirstToken)
	}
	h.log.Emit(finishEvent(o.Code)).
		Str("request", o.Request.String()).Str("kind", o.Kind).Str("team", o.Team).
		Str("upstream", o.Upstream).Int("code", int(o.Code)).Str("detail", o.Detail).
		Uint32("prompt_tokens", o.PromptTokens).Uint32("completion_tokens", o.CompletionTokens).
		Int("attempts", o.Attempts).Dur("first_token", o.FirstToken).Dur("took", o.Took).Msg("")
}

func finishEvent(c code.Code) event.Event {
	switch {
	case c == code.OK:
		return event.RequestFinished
	case c.Outcome() == code.NotRun:
		return event.RequestRefused
	default:
		return event.RequestFailed
	}
}

func (h *Host) wireClass(o *gateway.Outcome) peerv1.WorkClass {
	if o.PromptTokens == 0 {
		return peerv1.WorkClass_WORK_CLASS_UNSPECIFIED
	}
	return h.classify(o.PromptTokens).Wire()
}

// classify returns the class of a prompt by the bounds in force.
func (h *Host) classify(promptTokens uint32) balancer.Class {
	cfg, ok := h.agreement.config()
	if !ok {
		return balancer.ClassLong
	}
	fleet := cfg.Fleet()
	return balancer.Classify(promptTokens, balancer.Bounds{ShortTokens: fleet.ShortMaxTokens, MediumTokens: fleet.LongMinTokens})
}
