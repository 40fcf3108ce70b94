package attempt

import (
	"errors"
	"io"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
)

// attemptRefused retries or ends the request after an attempt that certainly did
// not run.
func (m *Machine) attemptRefused(now time.Time, failure *upstream.Error) []Action {
	m.close()
	if m.overdue(now) {
		return m.finishOverdue()
	}
	if permanent, ok := permanentRefusals[failure.Refused]; ok {
		return m.finishNotRun(permanent, failure.Error())
	}
	if m.Attempts() >= m.options.MaxAttempts {
		return m.finishNotRun(code.UpstreamUnavailable, failure.Error())
	}
	if !m.options.Retry.AllowRetry(now, m.Attempts(), false, m.options.Deadline) {
		return m.finishNotRun(code.RetryBudgetSpent, failure.Error())
	}
	return m.retry()
}

// permanentRefusals maps the refusals that every upstream would repeat to the
// code of the request.
var permanentRefusals = map[upstream.Refusal]code.Code{
	upstream.RefusedBadRequest:   code.BadRequest,
	upstream.RefusedUnknownModel: code.ModelUnknown,
}

// abandon cancels an attempt that may have run but returned no complete answer,
// then retries or ends the request.
func (m *Machine) abandon(now time.Time, reason code.Code, detail string) []Action {
	if m.failureCode == code.OK || m.failureCode.Outcome() != code.Ran {
		m.failureCode = reason // a code of the outcome Ran is kept
	}
	actions := []Action{m.cancel()}
	m.close()
	if m.Attempts() >= m.options.MaxAttempts || !m.options.Retry.AllowRetry(now, m.Attempts(), true, m.options.Deadline) {
		return append(actions, m.finish(m.failureCode, detail))
	}
	return append(actions, m.retry()...)
}

// lostCode returns the code of a failed attempt that may have run.
func (m *Machine) lostCode(failure *upstream.Error) code.Code {
	switch {
	case m.State() != chart.AttemptStreaming:
		return code.UpstreamLost
	case errors.Is(failure.Err, io.EOF):
		return code.AnswerTruncated // the upstream closed the stream
	default:
		return code.AnswerIncomplete
	}
}

func (m *Machine) retry() []Action {
	m.fire(chart.AttemptRetry)
	return []Action{m.timer(), m.choose()}
}

// close ends the current attempt and excludes its upstream from the next choice.
func (m *Machine) close() {
	m.attemptOpen = false
	m.avoid = append(m.avoid, m.upstream)
}

func (m *Machine) cancel() Cancel {
	return Cancel{Attempt: m.current, Upstream: m.upstream}
}

func (m *Machine) finishComplete(reason string) []Action {
	m.attemptOpen = false
	m.fire(chart.AttemptFinish)
	return []Action{Finish{Code: code.OK, FinishReason: reason, Tokens: m.answer.tokens}}
}

func (m *Machine) finishOverdue() []Action {
	return m.finishEarly(code.DeadlineBeforeStart, code.DeadlineExceeded, "the deadline passed")
}

// finishEarly ends the request and cancels the open attempt, if any.
func (m *Machine) finishEarly(notRun, mayHaveRun code.Code, detail string) []Action {
	if m.state.Final() {
		return nil
	}
	var actions []Action
	if m.attemptOpen {
		actions = append(actions, m.cancel())
		m.attemptOpen = false
	}
	if m.possibleRuns > 0 {
		return append(actions, m.finish(mayHaveRun, detail))
	}
	return append(actions, m.finish(notRun, detail))
}

// finishNotRun ends the request with notRun, or with the code of an earlier
// attempt that may have run.
func (m *Machine) finishNotRun(notRun code.Code, detail string) []Action {
	if m.possibleRuns > 0 {
		return []Action{m.finish(m.failureCode, detail)}
	}
	return []Action{m.finish(notRun, detail)}
}

func (m *Machine) finish(result code.Code, detail string) Finish {
	m.fire(chart.AttemptFinish)
	return Finish{Code: result, Detail: detail, Tokens: m.answer.tokens}
}
