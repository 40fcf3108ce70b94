package host

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/keyed"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/upstream"
)

// Limits of the memory for idempotency keys.
const (
	maxUsedKeys           = 200_000
	maxUsedTeamKeys       = 100_000
	maxOutcomeBytes       = 32 << 20
	maxOutcomeAnswerBytes = 1 << 20
	initialKeyLifetime    = 10 * time.Minute // until a configuration is in force; no key is issued before
)

// issuer guards the idempotency keys of this incarnation with a mutex.
type issuer struct {
	mu      sync.Mutex
	keys    *keyed.Issuer
	running map[string]chan struct{} // by key; closed when the running copy has finished
}

func newIssuer(host ident.Host, incarnation ident.Incarnation, lifetime time.Duration) *issuer {
	var secret keyed.Secret
	_, _ = rand.Read(secret[:]) // never fails
	return &issuer{running: make(map[string]chan struct{}), keys: keyed.New(keyed.Options{
		Host: host, Incarnation: incarnation, Secret: secret, Lifetime: lifetime,
		MaxKeys: maxUsedKeys, MaxTeamKeys: maxUsedTeamKeys,
		MaxOutcomeBytes: maxOutcomeBytes, MaxAnswerBytes: maxOutcomeAnswerBytes,
	})}
}

// setLifetime changes the lifetime of the keys issued from now on.
func (i *issuer) setLifetime(lifetime time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.keys.SetLifetime(lifetime)
}

func (i *issuer) issue(now time.Time, team string, n int) ([]string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys.Issue(now, team, n)
}

func (i *issuer) route(key string) (keyed.Route, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys.Route(key)
}

// begin decides how to handle a copy of a call. Waited is set if the copy has
// waited for another one that has finished. With keyed.Attach, begin returns a
// channel that is closed when the running copy has finished.
func (i *issuer) begin(now time.Time, call keyed.Call, waited bool) (keyed.Decision, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	decide := i.keys.Begin
	if waited {
		decide = i.keys.BeginAgain
	}
	decision := decide(now, call)
	if decision.Kind == keyed.Run {
		i.running[call.Key] = make(chan struct{})
	}
	return decision, i.running[call.Key]
}

func (i *issuer) sending(now time.Time, ticket keyed.Ticket) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys.Sending(now, ticket)
}

func (i *issuer) finish(now time.Time, key string, ticket keyed.Ticket, outcome keyed.Outcome) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	err := i.keys.Finish(now, ticket, outcome)
	close(i.running[key])
	delete(i.running, key)
	return err
}

// IssueKeys implements gateway.Backend.
func (h *Host) IssueKeys(team string, n int) ([]string, error) {
	return h.issuer.issue(time.Now(), team, n)
}

// CallService implements gateway.Backend. A call of a non-idempotent operation
// needs a key and is handled by the host that issued it; any other call is sent
// from here. The system never sends a call twice.
func (h *Host) CallService(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	if err := h.lifecycle.begin(time.Now(), h.settings.Limits.MaxInFlight); err != nil {
		return nil, err
	}
	defer h.lifecycle.end()
	return h.handleServiceCall(ctx, call)
}

func detailOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (h *Host) handleServiceCall(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	service, err := h.serviceConfig(call.Service)
	if err != nil {
		return nil, err
	}
	if !service.IsNonIdempotent(call.Method, pathWithoutQuery(call.Path)) {
		return h.callReplica(ctx, call, nil)
	}
	if call.Key == "" {
		return nil, code.New(code.KeyRequired, "%s %s of service %q is not idempotent and carries no Idempotency-Key", call.Method, pathWithoutQuery(call.Path), call.Service)
	}
	route, err := h.issuer.route(call.Key)
	if err != nil {
		return nil, err
	}
	if !route.Own {
		return h.forwardKeyed(ctx, call, route)
	}
	return h.runKeyed(ctx, call)
}

func (h *Host) serviceConfig(name string) (config.Service, error) {
	cfg, ok := h.agreement.config()
	if !ok {
		return config.Service{}, code.New(code.HostNotReady, "no configuration in force")
	}
	service, ok := cfg.Services[name]
	if !ok {
		return config.Service{}, code.New(code.ServiceUnknown, "service %q is not in the configuration", name)
	}
	return service, nil
}

// runKeyed handles a call with a key of this incarnation: it sends the call,
// replays a recorded outcome, or waits for a copy that is running.
func (h *Host) runKeyed(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	keyedCall := keyed.Call{
		Request: call.Request, Team: call.Team, Key: call.Key, Deadline: call.Deadline,
		Digest: keyed.DigestOf(call.Service, call.Method, call.Path, call.Body),
	}
	for waited := false; ; waited = true {
		decision, finished := h.issuer.begin(time.Now(), keyedCall, waited)
		switch decision.Kind {
		case keyed.Run:
			return h.sendWithTicket(call, decision.Ticket)
		case keyed.Replay:
			h.records.add(record.Entry{Request: call.Request, Kind: record.Replayed, Team: call.Team, Detail: "ran as " + decision.Outcome.RanAs.String()})
			return replayOutcome(decision.Outcome)
		case keyed.Attach:
			if err := waitAttached(ctx, call.Deadline, finished); err != nil {
				return nil, err
			}
		default:
			return nil, decision.Err
		}
	}
}

// waitAttached waits for the end of the running copy.
func waitAttached(ctx context.Context, deadline time.Time, finished <-chan struct{}) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-finished:
		return nil
	case <-timer.C:
		return code.New(code.DeadlineExceeded, "the deadline passed while another copy of the call ran")
	case <-ctx.Done():
		return code.New(code.CallerGone, "the caller closed the connection while another copy of the call ran")
	}
}

// sendWithTicket sends a call under the ticket that permits it. The call
// continues if its caller disconnects, so that its outcome is recorded for the
// next copy.
func (h *Host) sendWithTicket(call *gateway.ServiceCall, ticket keyed.Ticket) (*gateway.ServiceAnswer, error) {
	answer, err := h.callReplica(context.Background(), call, func() error { return h.issuer.sending(time.Now(), ticket) })
	outcome := keyed.Outcome{Code: code.Of(err), Detail: detailOf(err), RanAs: call.Request}
	if answer != nil {
		outcome.Status = answer.Status
		outcome.Header = answer.Header
		outcome.Body = answer.Body
		answer.RanAs = call.Request.String()
	}
	if finishErr := h.issuer.finish(time.Now(), call.Key, ticket, outcome); finishErr != nil {
		return nil, code.Wrap(finishErr, code.InternalFault)
	}
	return answer, err
}

func replayOutcome(outcome keyed.Outcome) (*gateway.ServiceAnswer, error) {
	if outcome.Code != code.OK {
		return nil, code.New(outcome.Code, "%s", outcome.Detail)
	}
	return &gateway.ServiceAnswer{
		Status: outcome.Status, Header: outcome.Header.Clone(), Body: outcome.Body,
		Replayed: true, RanAs: outcome.RanAs.String(),
	}, nil
}

// callReplica sends a call to the replicas of its service in turn until one may
// have received it. beforeSend, unless nil, is called once, right before the
// first send.
func (h *Host) callReplica(ctx context.Context, call *gateway.ServiceCall, beforeSend func() error) (*gateway.ServiceAnswer, error) {
	var lastFailure error
	for number, replica := range h.directory.Replicas(call.Service) {
		if !time.Now().Before(call.Deadline) {
			return nil, code.New(code.DeadlineBeforeStart, "the deadline passed before any replica of service %q received the call", call.Service)
		}
		if beforeSend != nil {
			if err := beforeSend(); err != nil {
				return nil, err
			}
			beforeSend = nil // called once, because another replica is tried only after a refusal
		}
		answer, err := h.callOnce(ctx, call, replica.Info.Name, uint64(number+1))
		if err == nil {
			return answer, nil
		}
		failure := asUpstreamError(replica.Info.Name, err)
		if !failure.NotRun() {
			return nil, serviceFailure(call, failure)
		}
		lastFailure = failure
	}
	if lastFailure == nil {
		return nil, code.New(code.UpstreamUnavailable, "service %q has no usable replica", call.Service)
	}
	return nil, code.Wrap(lastFailure, code.UpstreamUnavailable)
}

// callOnce sends a call to one replica.
func (h *Host) callOnce(ctx context.Context, call *gateway.ServiceCall, name upstream.Name, number uint64) (*gateway.ServiceAnswer, error) {
	service, ok := h.directory.Service(name)
	if !ok {
		return nil, &upstream.Error{Upstream: name, Sent: upstream.SentNothing, Err: errNotListed}
	}
	deadline := h.callDeadline(time.Now(), call)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer h.directory.Begin(name)()
	h.records.add(record.Entry{Request: call.Request, Kind: record.Sending, Attempt: number, Team: call.Team, Upstream: name})
	response, err := service.Call(ctx, &upstream.CallRequest{
		Attempt: ident.Attempt{Request: call.Request, Number: number, Deadline: deadline.Truncate(time.Millisecond)},
		Method:  call.Method, Path: call.Path, Header: serviceHeader(call), Body: call.Body,
	})
	if err != nil {
		h.recordServiceFailure(call, name, number, err)
		return nil, err
	}
	h.records.add(record.Entry{Request: call.Request, Kind: record.Running, Attempt: number, Team: call.Team, Upstream: name})
	return &gateway.ServiceAnswer{Status: response.Status, Header: response.Header, Body: response.Body, Upstream: string(name)}, nil
}

// callDeadline returns the deadline of a call that is sent now: the deadline of
// the request, or the call timeout of the service if that is earlier.
func (h *Host) callDeadline(now time.Time, call *gateway.ServiceCall) time.Time {
	cfg, ok := h.agreement.config()
	if !ok {
		return call.Deadline
	}
	end := now.Add(cfg.Service(call.Service).CallTimeout)
	if end.Before(call.Deadline) {
		return end
	}
	return call.Deadline
}

func (h *Host) recordServiceFailure(call *gateway.ServiceCall, name upstream.Name, number uint64, err error) {
	failure := asUpstreamError(name, err)
	kind := record.Broken
	if failure.NotRun() {
		kind = record.Refused
	}
	if failure.Refused == upstream.RefusedLeaving {
		h.applyUpstreamChanges(h.directory.RefusedLeaving(time.Now(), name))
	}
	h.records.add(record.Entry{Request: call.Request, Kind: kind, Attempt: number, Team: call.Team, Upstream: name, Detail: failure.Error()})
}

// serviceFailure returns the error of a call that may have run.
func serviceFailure(call *gateway.ServiceCall, failure *upstream.Error) error {
	if !time.Now().Before(call.Deadline) {
		return code.Wrap(failure, code.DeadlineExceeded)
	}
	if errors.Is(failure, context.DeadlineExceeded) {
		return code.Wrap(failure, code.UpstreamSilent)
	}
	return code.Wrap(failure, code.UpstreamLost)
}
