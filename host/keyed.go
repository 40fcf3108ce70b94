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

// Bounds of the memory for idempotency keys.
const (
	maxUsedKeys      = 200_000
	maxUsedTeamKeys  = 100_000
	maxOutcomeBytes  = 32 << 20
	maxOutcomeAnswer = 1 << 20
	firstKeyLifetime = 10 * time.Minute // until a configuration is in force; no key is issued before
)

// issuer guards the idempotency keys of this incarnation.
type issuer struct {
	mu      sync.Mutex
	keys    *keyed.Issuer
	running map[string]chan struct{} // by key; closed when the copy that runs has finished
}

func newIssuer(host ident.Host, incarnation ident.Incarnation, lifetime time.Duration) *issuer {
	var secret keyed.Secret
	_, _ = rand.Read(secret[:]) // never fails
	return &issuer{running: make(map[string]chan struct{}), keys: keyed.New(keyed.Options{
		Host: host, Incarnation: incarnation, Secret: secret, Lifetime: lifetime,
		MaxKeys: maxUsedKeys, MaxTeamKeys: maxUsedTeamKeys,
		MaxOutcomeBytes: maxOutcomeBytes, MaxAnswerBytes: maxOutcomeAnswer,
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

// begin decides about a copy of a call; again says that it was attached to one
// that has finished. With keyed.Attach it returns a channel that is closed when
// the copy that runs has finished.
func (i *issuer) begin(now time.Time, call keyed.Call, again bool) (keyed.Decision, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	decide := i.keys.Begin
	if again {
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
// needs a key and is decided at the host that issued it; any other call runs
// here. No call is ever sent twice by the system.
func (h *Host) CallService(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	if err := h.lifecycle.begin(time.Now(), h.settings.Limits.MaxInFlight); err != nil {
		return nil, err
	}
	defer h.lifecycle.end()
	return h.decideService(ctx, call)
}

func detailOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (h *Host) decideService(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	service, err := h.serviceConfig(call.Service)
	if err != nil {
		return nil, err
	}
	if !service.IsNonIdempotent(call.Method, pathOnly(call.Path)) {
		return h.callReplica(ctx, call, nil)
	}
	if call.Key == "" {
		return nil, code.New(code.KeyRequired, "%s %s of service %q may not be repeated and carries no Idempotency-Key", call.Method, pathOnly(call.Path), call.Service)
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

// runKeyed decides a call with a key of this incarnation.
func (h *Host) runKeyed(ctx context.Context, call *gateway.ServiceCall) (*gateway.ServiceAnswer, error) {
	copyOfCall := keyed.Call{
		Request: call.Request, Team: call.Team, Key: call.Key, Deadline: call.Deadline,
		Digest: keyed.DigestOf(call.Service, call.Method, call.Path, call.Body),
	}
	for again := false; ; again = true {
		decision, finished := h.issuer.begin(time.Now(), copyOfCall, again)
		switch decision.Kind {
		case keyed.Run:
			return h.runTicket(call, decision.Ticket)
		case keyed.Replay:
			h.records.add(record.Entry{Request: call.Request, Kind: record.Replayed, Team: call.Team, Detail: "ran as " + decision.Outcome.RanAs.String()})
			return replayed(decision.Outcome)
		case keyed.Attach:
			if err := waitAttached(ctx, call.Deadline, finished); err != nil {
				return nil, err
			}
		default:
			return nil, decision.Err
		}
	}
}

// waitAttached waits for the end of the copy that runs.
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

// runTicket sends a call that holds the right to be sent. The call goes on if
// its caller leaves, so that its outcome is recorded for the next copy.
func (h *Host) runTicket(call *gateway.ServiceCall, ticket keyed.Ticket) (*gateway.ServiceAnswer, error) {
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

func replayed(outcome keyed.Outcome) (*gateway.ServiceAnswer, error) {
	if outcome.Code != code.OK {
		return nil, code.New(outcome.Code, "%s", outcome.Detail)
	}
	return &gateway.ServiceAnswer{
		Status: outcome.Status, Header: outcome.Header.Clone(), Body: outcome.Body,
		Replayed: true, RanAs: outcome.RanAs.String(),
	}, nil
}

// callReplica sends a call once to one replica of its service. Replicas that
// certainly did not get the call are passed over. The function beforeSend, if
// any, is asked right before each send.
func (h *Host) callReplica(ctx context.Context, call *gateway.ServiceCall, beforeSend func() error) (*gateway.ServiceAnswer, error) {
	var last error
	for number, replica := range h.directory.Replicas(call.Service) {
		if !time.Now().Before(call.Deadline) {
			return nil, code.New(code.DeadlineBeforeStart, "the deadline passed before any replica of service %q got the call", call.Service)
		}
		if beforeSend != nil {
			if err := beforeSend(); err != nil {
				return nil, err
			}
			beforeSend = nil // the right to send is asked for once; later replicas follow refusals only
		}
		answer, err := h.callOnce(ctx, call, replica.Info.Name, uint64(number+1))
		if err == nil {
			return answer, nil
		}
		failure := asUpstreamError(replica.Info.Name, err)
		if !failure.NotRun() {
			return nil, serviceFailure(call, failure)
		}
		last = failure
	}
	if last == nil {
		return nil, code.New(code.UpstreamUnavailable, "service %q has no usable replica", call.Service)
	}
	return nil, code.Wrap(last, code.UpstreamUnavailable)
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
		h.noteServiceFailure(call, name, number, err)
		return nil, err
	}
	h.records.add(record.Entry{Request: call.Request, Kind: record.Running, Attempt: number, Team: call.Team, Upstream: name})
	return &gateway.ServiceAnswer{Status: response.Status, Header: response.Header, Body: response.Body, Upstream: string(name)}, nil
}

// callDeadline returns the end of a call that is sent now: the deadline of the
// request, or the longest time of a call of the service if that is earlier.
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

func (h *Host) noteServiceFailure(call *gateway.ServiceCall, name upstream.Name, number uint64, err error) {
	failure := asUpstreamError(name, err)
	kind := record.Broken
	if failure.NotRun() {
		kind = record.Refused
	}
	if failure.Refused == upstream.RefusedLeaving {
		h.noteUpstreams(h.directory.RefusedLeaving(time.Now(), name))
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
