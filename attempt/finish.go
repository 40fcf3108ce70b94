package attempt

import (
	"errors"
	"io"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/upstream"
)

// refused goes on after an attempt that certainly did not run.
func (m *Machine) refused(now time.Time, failure *upstream.Error) []Action {
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

// permanentRefusals are those that every upstream would repeat.
var permanentRefusals = map[upstream.Refusal]code.Code{
	upstream.RefusedBadRequest:   code.BadRequest,
	upstream.RefusedUnknownModel: code.ModelUnknown,
}

// abandon goes on after an attempt that may have run and gave no whole answer.
func (m *Machine) abandon(now time.Time, reason code.Code, detail string) []Action {
	if m.lost == code.OK || m.lost.Outcome() != code.Ran {
		m.lost = reason // that an attempt ran stays known
	}
	actions := []Action{m.cancel()}
	m.close()
	if m.Attempts() >= m.options.MaxAttempts || !m.options.Retry.AllowRetry(now, m.Attempts(), true, m.options.Deadline) {
		return append(actions, m.finish(m.lost, detail))
	}
	return append(actions, m.retry()...)
}

// lostCode returns how an attempt ended that may have run.
func (m *Machine) lostCode(failure *upstream.Error) code.Code {
	switch {
	case m.State() != chart.AttemptStreaming:
		return code.UpstreamLost
	case errors.Is(failure.Err, io.EOF):
		return code.AnswerTruncated // the upstream itself ended the answer
	default:
		return code.AnswerIncomplete
	}
}

func (m *Machine) retry() []Action {
	m.fire(chart.AttemptRetry)
	return []Action{m.timer(), m.choose()}
}

// close ends the current attempt.
func (m *Machine) close() {
	m.waiting = false
	m.failed = append(m.failed, m.upstream)
}

func (m *Machine) cancel() Cancel {
	return Cancel{Attempt: m.current, Upstream: m.upstream}
}

func (m *Machine) finishWhole(reason string) []Action {
	m.waiting = false
	m.fire(chart.AttemptFinish)
	return []Action{Finish{Code: code.OK, FinishReason: reason, Tokens: m.answer.tokens}}
}

func (m *Machine) finishOverdue() []Action {
	return m.finishEarly(code.DeadlineBeforeStart, code.DeadlineExceeded, "the deadline passed")
}

// finishEarly ends the request while attempts can be open.
func (m *Machine) finishEarly(notRun, mayHaveRun code.Code, detail string) []Action {
	if m.state.Final() {
		return nil
	}
	var actions []Action
	if m.waiting {
		actions = append(actions, m.cancel())
		m.waiting = false
	}
	if m.possible > 0 {
		return append(actions, m.finish(mayHaveRun, detail))
	}
	return append(actions, m.finish(notRun, detail))
}

// finishNotRun ends the request with a code that promises "not run", or with
// how an earlier attempt ended if that one may have run.
func (m *Machine) finishNotRun(notRun code.Code, detail string) []Action {
	if m.possible > 0 {
		return []Action{m.finish(m.lost, detail)}
	}
	return []Action{m.finish(notRun, detail)}
}

func (m *Machine) finish(result code.Code, detail string) Finish {
	m.fire(chart.AttemptFinish)
	return Finish{Code: result, Detail: detail, Tokens: m.answer.tokens}
}
