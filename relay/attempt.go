package relay

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/internal/statusline"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/route"
)

// attempt is one try of a request at one upstream.
type attempt struct {
	x             *exchange // used by the goroutine of the request alone
	s             *Server
	upstream      fleet.Upstream
	ctx           context.Context
	cancel        context.CancelFunc
	watch         *sentconn.Watch
	timer         *time.Timer
	timedOut      atomic.Bool // the timer ended the attempt
	takeFailOver  func() bool // takes a retry if another upstream can get the request
	retryTaken    atomic.Bool // takeFailOver took a retry from the budget
	answerStarted atomic.Bool // the first bytes of the answer were sent to the caller
	unnumbered    atomic.Bool // the caller has an event without an identifier
	response      *http.Response
	answer        Answer
	repeatable    bool                  // of the route; this and the next are fixed, because other goroutines read them
	deadlineAt    time.Duration         // of the request
	healthPath    string                // of the service
	events        *eventReader          // nil before the first read of a stream
	asked         <-chan identification // of the process of an unframed stream, nil if it isn't asked
}

// send sends the request and waits for the headers of the answer. The code of
// its error is the result of the request unless another attempt follows. The
// caller of send must close the attempt.
func (x *exchange) send(params AttemptParams, timeout time.Duration) (*attempt, error) {
	sentAt := boottime.Now()
	if err := x.s.checkStanding(params.Upstream, sentAt); err != nil {
		return nil, err
	}
	a := &attempt{x: x, s: x.s, upstream: params.Upstream, healthPath: x.service.HealthPath}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	a.watch, a.ctx = sentconn.NewWatch(a.ctx)
	x.attempts++
	x.runs++
	x.tried = append(x.tried, params.Upstream.ID)
	x.framing = ""
	a.takeFailOver = x.failOverCheck()
	a.answerStarted.Store(x.answerStarted)
	a.startTimer(timeout)
	response, err := x.s.transport.RoundTrip(x.upstreamRequest(a.ctx, params)) //nolint:bodyclose // attempt.close closes it
	if err != nil {
		failure := a.connectionError(err)
		a.close()
		return nil, failure
	}
	a.response = response
	if err := statusline.Check(response); err != nil {
		a.close()
		return nil, code.New(code.AnswerIncomplete, "answer of upstream %s: %w", a.upstream.ID, err)
	}
	a.answer = x.s.dialect.Answer(response.StatusCode, response.Header)
	x.framing = a.framing()
	x.s.metrics.RelayAnswered(x.route.Kind.String(), string(x.framing))
	x.s.recordLimit(params.Upstream, a.answer)
	x.s.recordStanding(params.Upstream, a.answer, sentAt)
	x.takeBack(params.Upstream, response.StatusCode)
	if err := a.checkAnswer(); err != nil {
		a.close()
		return nil, err
	}
	a.watchIdentity()
	return a, nil
}

// startTimer starts the timeout of the attempt. The timer is set only once it is stored,
// because onTimeout uses the field and a process may be suspended in between.
func (a *attempt) startTimer(timeout time.Duration) {
	a.repeatable, a.deadlineAt = a.x.route.Repeatable(), a.x.deadlineAt
	a.timer = time.AfterFunc(math.MaxInt64, a.onTimeout)
	a.timer.Reset(timeout)
}

// onTimeout ends an attempt that made no progress within its timeout. The
// upstream may still answer, so the attempt goes on if no other upstream can take
// over and either the caller has part of the answer or the caller can't safely
// repeat the request. The check is repeated until the deadline.
func (a *attempt) onTimeout() {
	mustFinish := a.answerStarted.Load() || !a.repeatable
	if left := a.deadlineAt - boottime.Now(); left > minAttemptTime && mustFinish {
		if a.unnumbered.Load() || !a.takeFailOver() {
			a.timer.Reset(min(left, failOverCheckInterval))
			return
		}
		a.retryTaken.Store(true)
	}
	a.timedOut.Store(true)
	a.cancel()
}

// failOverCheckInterval is the time between two checks whether another upstream
// can take over a silent answer.
const failOverCheckInterval = 250 * time.Millisecond

// failOverCheck returns a function that reports whether another upstream can take
// over after the current attempt: the configuration in force still allows the
// request, an upstream has room for it, and the retry budget allows a retry. The
// function takes the retry, because all streams of a silent upstream ask at the same
// moment. The timer calls the function in a goroutine of its own, so the function uses only
// copies and fields that don't change during an attempt.
func (x *exchange) failOverCheck() func() bool {
	if !x.route.Repeatable() || x.runs >= x.route.Attempts {
		return func() bool { return false }
	}
	service, runs, tried, current, team := x.service, x.runs, slices.Clone(x.tried), x.route, x.team
	race := x.race
	return func() bool {
		second, sent := race.secondSend(x)
		if sent && runs+1 >= current.Attempts {
			return false
		}
		table, r, err := x.s.match(x.request.Host, x.path)
		if err != nil || r.Kind != current.Kind {
			return false
		}
		if name, err := x.s.authorize(table, r, x.call.Key); err != nil || name != team {
			return false
		}
		now := boottime.Now()
		views, err := x.s.candidates(service.Name, now)
		if err != nil {
			return false
		}
		views = slices.DeleteFunc(views, func(v fleet.View) bool {
			return v.Avoided || slices.Contains(tried, v.ID) || v.ID == second || x.s.limits.Wait(limitKey(v.ID), now) > 0
		})
		if len(views) == 0 || current.Kind == route.Stream && service.Engine != nil && !x.hasRoom(service.Engine, views, now) {
			return false
		}
		return x.s.takeRetry(service.Name)
	}
}

// restartTimeout restarts the timeout of the attempt after an event.
func (a *attempt) restartTimeout(timeout time.Duration) {
	a.answerStarted.Store(true)
	a.timer.Reset(timeout)
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close() // the connection is not reused
	}
}

func (x *exchange) upstreamRequest(ctx context.Context, params AttemptParams) *http.Request {
	header := x.s.dialect.Outgoing(endtoend.Header(x.request.Header), params)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	target := x.target
	target.Host = params.Upstream.Address
	out := &http.Request{
		Method: x.request.Method, URL: &target,
		Host: x.request.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(x.body)), Body: http.NoBody,
	}
	if len(x.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return out.WithContext(ctx)
}

// connectionError returns the error with the code for an error of the connection.
func (a *attempt) connectionError(err error) error {
	x := a.x
	sent := a.watch.Sent()
	switch {
	case !sent && x.callerGone():
		return code.New(code.CallerGoneBeforeStart, "the caller closed its connection")
	case !sent && x.timeLeft() <= 0:
		return code.New(code.DeadlineBeforeStart, "upstream %s not reached before the deadline: %w", a.upstream.ID, err)
	case !sent:
		x.runs--
		return code.New(code.UpstreamUnavailable, "connect to upstream %s at %s: %w", a.upstream.ID, a.upstream.Address, err)
	case x.callerGone():
		return code.New(code.CallerGone, "the caller closed its connection")
	case x.timeLeft() <= minAttemptTime:
		return code.New(code.DeadlineExceeded, "no complete answer from upstream %s before the deadline", a.upstream.ID)
	case a.timedOut.Load():
		x.retryTaken = a.retryTaken.Load()
		return code.New(code.UpstreamSilent, "upstream %s made no progress within its timeout", a.upstream.ID)
	default:
		return code.New(code.UpstreamLost, "connection to upstream %s at %s: %w", a.upstream.ID, a.upstream.Address, err)
	}
}

// checkAnswer returns an error if the upstream did not run the request, or if
// the answer belongs to another request, has no seal or has a content encoding.
func (a *attempt) checkAnswer() error {
	x := a.x
	status := a.response.StatusCode
	switch {
	case a.answer.NotRun && (a.answer.RequestID == "" || a.answer.RequestID == x.call.ID):
		x.runs--
		a.blameHelper()
		return code.New(code.NoCapacity, "upstream %s refused with status %d, fault %q", a.upstream.ID, status, a.answer.Fault)
	case a.answer.RequestID != x.call.ID:
		return code.New(code.AnswerIncomplete, "upstream %s answered another request, %q", a.upstream.ID, a.answer.RequestID)
	case !a.answer.Sealed || a.response.Header.Get("Content-Encoding") != "":
		return code.New(code.AnswerIncomplete, "upstream %s sent status %d without a seal or with a content encoding", a.upstream.ID, status)
	}
	return nil
}

// logLost logs an attempt that was sent and whose answer broke off, with what tells
// apart a fault of the upstream from one of the request.
func (x *exchange) logLost(upstream fleet.Upstream, eventsBefore int, err error) {
	switch code.Of(err) {
	case code.UpstreamLost, code.UpstreamSilent, code.AnswerIncomplete:
	default:
		return
	}
	if !x.s.lines.allow(false, time.Now(), x.s.log) {
		return
	}
	x.s.log.Emit(event.AttemptFailed).Str("request", x.call.ID).Str("upstream", upstream.ID).
		Int("attempt", x.attempts).Str("framing", string(x.framing)).Int("events", x.events-eventsBefore).Strs("parts", partNames(x.call.Parts)).Err(err).Msg("")
}

// partNames returns the identifiers of prompt parts as logs and dumps show them.
func partNames(parts []uint64) []string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = partName(part)
	}
	return names
}

func partName(part uint64) string {
	return strconv.FormatUint(part, 16)
}

// blameHelper records the fault of a helper for which the upstream refused the
// request, so that the next attempt does without it.
func (a *attempt) blameHelper() {
	fault := a.answer.Fault
	if len(a.x.helpers) == 0 || fault == "" || fault == a.upstream.ID || fault == a.upstream.Address {
		return
	}
	a.x.helperAtFault = a.x.s.upstreams.ReportFault(fault, boottime.Now())
}

// prepareRetry applies the retry policy to a failed attempt. It returns nil if
// another attempt follows, and the final error otherwise.
func (x *exchange) prepareRetry(failed error) error {
	x.addNote("%v", failed)
	if len(x.helpers) > 0 {
		x.addNote("helpers %v", x.helpers)
	}
	if x.callerGone() || x.unnumbered {
		return failed
	}
	return x.decideRetry(failed)
}

// decideRetry is prepareRetry without a note for the log.
func (x *exchange) decideRetry(failed error) error {
	c := code.Of(failed)
	failure := retry.Failure{
		Code: c, Attempt: x.runs, Idempotent: x.route.Repeatable(), RetryReported: true, Deadline: x.wallDeadline(),
	}
	maxAttempts := x.route.Attempts
	if c.Outcome() == code.NotRun {
		failure.Attempt = x.attempts
		maxAttempts += extraNotRunAttempts
		if x.answerStarted {
			failure.Attempt = min(failure.Attempt, maxAttempts-1) // awaitResume spaces them out
		}
	}
	if c == code.UpstreamUnavailable && x.attempts < maxAttempts && x.timeLeft() > minAttemptTime {
		return x.reroute() // no upstream received the request, so the retry costs no budget
	}
	decision := x.s.decideRetry(x.service.Name, maxAttempts, failure, x.retryTaken)
	x.retryTaken = false
	if decision.Retry {
		x.s.metrics.RelayRetried(x.route.Kind.String(), c)
		return x.reroute()
	}
	if decision.Code != c {
		return code.Wrap(failed, decision.Code)
	}
	return failed
}

// extraNotRunAttempts is added to the number of attempts of a route after an
// attempt that did not run. The retry budget bounds these attempts over time.
const extraNotRunAttempts = 2

// reroute matches the request against the current routes again, because the
// configuration may have changed since the last attempt.
func (x *exchange) reroute() error {
	kind, team := x.route.Kind, x.team
	if err := x.resolve(); err != nil {
		return err
	}
	if x.route.Kind != kind || x.team != team {
		return code.New(code.UpstreamUnavailable, "the route changed to kind %v, or the team changed, between attempts", x.route.Kind)
	}
	return nil
}

// chooseService selects a service of the route at random for the next attempt. A stream of
// which the caller has a part stays with its service while the route leads there.
func (x *exchange) chooseService() {
	table, r := x.table, x.route
	if begun, ok := table.Backend(r, x.service.Name); ok && x.answerStarted {
		x.service = begun
		return
	}
	x.service = withRand(x.s, func(rng *rand.Rand) route.Service { return table.Service(r, rng) })
	if !x.firstRecorded {
		x.firstRecorded = true
		x.s.recordFirstAttempt(x.service.Name)
	}
}
