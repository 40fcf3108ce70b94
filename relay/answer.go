package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/route"
)

// completeAnswer is an answer that was received completely.
type completeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// serveAnswer serves a request whose answer is buffered and forwarded when it is
// complete.
func (x *exchange) serveAnswer() {
	for {
		answer, err := x.tryAnswer()
		if err == nil {
			x.writeAnswer(answer)
			return
		}
		if x.awaitLimit(err) {
			continue
		}
		if errors.Is(err, errNotPlaced) && len(x.route.Backends) == 1 { // another attempt finds none either
			x.refuse(err)
			return
		}
		final := x.prepareRetry(err)
		if final == nil {
			continue
		}
		if answer != nil { // the upstream reported the failure
			x.result = final
			x.writeAnswer(answer)
			return
		}
		x.refuse(final)
		return
	}
}

// tryAnswer makes one attempt. If the upstream reported a failure, tryAnswer
// returns both its answer and an error.
func (x *exchange) tryAnswer() (*completeAnswer, error) {
	x.chooseService()
	now := boottime.Now()
	if x.deadlineAt-now < minAttemptTime {
		return nil, code.New(code.DeadlineBeforeStart, "%v left before the deadline", x.deadlineAt-now)
	}
	if err := x.checkLeaving(now); err != nil {
		return nil, err
	}
	if err := x.checkQuarantine(); err != nil {
		return nil, err
	}
	chosen, release, err := x.choose(now)
	if err != nil {
		return nil, err
	}
	defer release()
	defer x.endRace(x.startRace(chosen.Upstream, true))
	x.s.upstreams.Begin(chosen.ID)
	answer, err := x.runAnswer(chosen.Upstream)
	if second := x.awaitSecond(err); second != nil {
		return second.answer, nil
	}
	return answer, err
}

// runAnswer makes an attempt that was counted at its upstream, and records its outcome.
func (x *exchange) runAnswer(upstream fleet.Upstream) (*completeAnswer, error) {
	began := boottime.Now()
	answer, err := x.fetch(upstream)
	if err == nil && !x.claim() {
		err = errOvertaken
	}
	x.logLost(upstream, x.events, err)
	x.recordCrash(upstream, 0, err)
	if err == nil {
		x.recordStart(began)
	}
	if now := boottime.Now(); err == nil || x.overtaken(err) { // an upstream that was overtaken took at least as long
		x.s.upstreams.Took(upstream.ID, x.route.Name, now-began, now)
	}
	x.s.upstreams.End(upstream.ID, x.attemptOutcome(err), boottime.Now())
	return answer, err
}

// choose selects the upstream of an attempt and counts the request against the rate that
// it may have named. The caller calls release when the attempt has ended.
func (x *exchange) choose(now time.Duration) (chosen *fleet.View, release func(), err error) {
	for {
		all, err := x.s.candidates(x.service.Name, now)
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errNotPlaced, err)
		}
		untried := slices.DeleteFunc(slices.Clone(all), func(v fleet.View) bool { return slices.Contains(x.tried, v.ID) })
		if len(untried) == 0 && x.rested {
			untried = all // they refused the request before the pause for which it has waited
		}
		views, err := x.s.withinLimits(untried, now)
		if err != nil {
			return nil, nil, err
		}
		v := withRand(x.s, func(rng *rand.Rand) *fleet.View {
			if chosen, ok := fleet.Choose(views, x.s.options.FailureDomain, nil, rng); ok {
				return &chosen
			}
			return nil
		})
		if v == nil {
			err := code.New(code.NoCapacity, "service %q has %d upstreams, %d were tried", x.service.Name, len(all), len(x.tried))
			return nil, nil, fmt.Errorf("%w: %w", errNotPlaced, err)
		}
		release, ok := x.s.standing.Take(v.Upstream, now)
		if !ok {
			continue // another request is on its way to an upstream that returns
		}
		key := limitKey(v.ID)
		if !x.s.limits.Take(key, now) {
			release()
			continue // another request took the last place
		}
		x.limitedAt = now
		if x.s.limits.Restricted(key, now) {
			x.s.peers.StreamPlaced()
		}
		return v, release, nil
	}
}

func (x *exchange) fetch(upstream fleet.Upstream) (*completeAnswer, error) {
	a, err := x.send(AttemptParams{Upstream: upstream, TimeLeft: x.timeLeft(), Team: x.team, LastEvent: x.call.LastEvent}, x.answerTimeout())
	if err != nil {
		return nil, err
	}
	defer a.close()
	x.recordFirstByte()
	return a.readAnswer()
}

// answerTimeout returns the timeout of an attempt. If the request may be retried,
// the timeout is a few times the goal, so that another upstream can still
// answer before the deadline.
func (x *exchange) answerTimeout() time.Duration {
	left := x.timeLeft()
	if x.route.Kind == route.Idempotent && x.runs+1 < x.route.Attempts {
		return min(max(hangTimeoutFactor*x.route.Goal, left/4), left)
	}
	return left
}

// hangTimeoutFactor is the timeout of a retryable request in multiples of its
// goal. The slowest answers of a healthy upstream take about as long.
const hangTimeoutFactor = 2

// readAnswer reads the body of the answer.
func (a *attempt) readAnswer() (*completeAnswer, error) {
	x := a.x
	x.answerMemory.Release() // of an earlier attempt
	body, err := x.answerMemory.ReadAll(a.response.Body, a.response.ContentLength, maxAnswerBytes)
	switch {
	case code.Of(err) == code.BodyTooLarge:
		return nil, code.New(code.AnswerTruncated, "answer of upstream %s exceeds %d bytes", a.upstream.ID, maxAnswerBytes)
	case code.Of(err) == code.BufferFull:
		// The request has run, so the code must not be one with the outcome NotRun.
		return nil, code.Wrap(err, code.AnswerIncomplete)
	case err != nil && (x.callerGone() || a.timedOut.Load()):
		return nil, a.connectionError(err)
	case err != nil:
		return nil, code.Wrap(fmt.Errorf("answer of upstream %s: %w", a.upstream.ID, err), code.AnswerIncomplete)
	}
	if err := a.unframedEnd(0, false); err != nil {
		return nil, err
	}
	answer := &completeAnswer{status: a.response.StatusCode, header: endtoend.Header(a.response.Header), body: body}
	if answer.status >= http.StatusInternalServerError {
		return answer, code.New(code.UpstreamFailed, "upstream %s answered with status %d", a.upstream.ID, answer.status)
	}
	return answer, nil
}

// writeAnswer writes a complete answer to the caller.
func (x *exchange) writeAnswer(answer *completeAnswer) {
	x.answerStarted = true
	x.status = answer.status
	x.firstAt = boottime.Now()
	header := x.w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.w.WriteHeader(answer.status)
	if err := x.write(answer.body); err != nil {
		x.addNote("write the answer: %v", err)
		x.result = code.Wrap(err, code.CallerGone)
	}
}
