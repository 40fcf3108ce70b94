package attempt

import (
	"strings"
	"time"

	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// FinishGrace is the time after its deadline within which every admitted
// request has ended: it covers a late timer and the last write to the caller.
const FinishGrace = time.Second

// RetryPolicy decides whether a failed attempt is followed by another one. It
// is the only place of the system that allows retries.
type RetryPolicy interface {
	// AllowRetry is asked once per failed attempt. The attempt counts from 1;
	// sent tells whether the upstream may have run it.
	AllowRetry(now time.Time, attempt int, sent bool, deadline time.Time) bool
}

// Options describe one request.
type Options struct {
	Request           ident.Request
	Deadline          time.Time
	FirstFrameTimeout time.Duration // from the send to the first frame
	ProgressTimeout   time.Duration // between frames
	MaxAttempts       int
	Retry             RetryPolicy
}

var attemptChart = chart.MustLoad(chart.Attempt)

// Machine is the lifetime of one request.
type Machine struct {
	options Options
	state   *chart.Machine

	number   uint64 // of the current or last attempt
	current  ident.Attempt
	upstream upstream.Name
	failed   []upstream.Name
	silentAt time.Time // when the current attempt counts as silent
	waiting  bool      // the current attempt has an upstream

	possible int       // ended and current attempts that may have run
	lost     code.Code // how the last attempt that may have run ended
	answer   answer
	late     int // frames of other attempts
}

// New returns the machine of an admitted request.
func New(options Options) *Machine {
	options.Deadline = options.Deadline.Truncate(time.Millisecond)
	return &Machine{options: options, state: attemptChart.New()}
}

// State returns the state of the request.
func (m *Machine) State() chart.State {
	return m.state.State()
}

// Attempts returns the number of attempts made.
func (m *Machine) Attempts() int {
	return int(m.number)
}

// MayHaveRun reports whether an upstream can have run the request.
func (m *Machine) MayHaveRun() bool {
	return m.possible > 0
}

// LateFrames returns the number of frames dropped because they belong to
// another attempt.
func (m *Machine) LateFrames() int {
	return m.late
}

// Start begins the request.
func (m *Machine) Start(now time.Time) []Action {
	m.fire(chart.AttemptStart)
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return []Action{SetTimer{At: m.options.Deadline}, m.choose()}
}

// Chosen answers Choose with an upstream that has room. The clock is compared
// here, right before the send: a process that was paused meanwhile does not
// send a request whose time is over.
func (m *Machine) Chosen(now time.Time, name upstream.Name) []Action {
	if !m.state.Can(chart.AttemptChosen) {
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	m.fire(chart.AttemptChosen)
	m.number++
	m.current = ident.Attempt{Request: m.options.Request, Number: m.number, Deadline: m.options.Deadline}
	m.upstream = name
	m.waiting = true
	m.possible++
	m.silentAt = now.Add(m.options.FirstFrameTimeout)
	send := Send{
		Attempt:      m.current,
		Upstream:     name,
		ResumeOffset: m.answer.tokens,
		ResumeText:   m.answer.text.String(),
		Fresh:        m.number > 1,
	}
	return []Action{m.timer(), send}
}

// NoUpstream answers Choose when no upstream can be had. The error carries the
// result code; a code that promises "not run" is replaced if an earlier
// attempt may have run.
func (m *Machine) NoUpstream(now time.Time, err error) []Action {
	if !m.state.Can(chart.AttemptChosen) {
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return m.finishNotRun(code.Of(err), err.Error())
}

// Sent tells that the upstream has the whole request.
func (m *Machine) Sent(now time.Time, attempt ident.Attempt) []Action {
	return m.advance(now, attempt)
}

// Headers tells that the upstream accepted the request.
func (m *Machine) Headers(now time.Time, attempt ident.Attempt) []Action {
	return m.advance(now, attempt)
}

func (m *Machine) advance(now time.Time, attempt ident.Attempt) []Action {
	if !m.holds(attempt) {
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	m.fire(chart.AttemptSent)
	return nil
}

// FrameReceived takes a frame of any attempt.
func (m *Machine) FrameReceived(now time.Time, frame upstream.Frame) []Action {
	if !m.holds(frame.Attempt) {
		m.late++
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	piece, err := m.answer.take(frame)
	if err != nil {
		return m.abandon(now, code.AnswerIncomplete, err.Error())
	}
	m.fire(chart.AttemptFrame)
	if frame.Done {
		return m.finishWhole(frame.FinishReason)
	}
	if piece.Tokens == 0 {
		return nil // a duplicate is no progress
	}
	m.silentAt = now.Add(m.options.ProgressTimeout)
	return []Action{piece, m.timer()}
}

// Broken tells that an attempt ended without an end marker.
func (m *Machine) Broken(now time.Time, attempt ident.Attempt, failure *upstream.Error) []Action {
	if !m.holds(attempt) {
		return nil
	}
	if failure.NotRun() && m.State() != chart.AttemptStreaming {
		m.possible--
		return m.refused(now, failure)
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return m.abandon(now, m.lostCode(failure), failure.Error())
}

// TimerFired tells that the time of the last SetTimer came.
func (m *Machine) TimerFired(now time.Time) []Action {
	switch {
	case m.state.Final():
		return nil
	case m.overdue(now):
		return m.finishOverdue()
	case m.waiting && !now.Before(m.silentAt):
		return m.abandon(now, code.UpstreamSilent, "upstream "+string(m.upstream)+" made no progress")
	default:
		return []Action{m.timer()}
	}
}

// Resumed tells that the process did not run for a while.
func (m *Machine) Resumed(now time.Time) []Action {
	return m.TimerFired(now)
}

// CallerGone tells that nobody reads the answer any more.
func (m *Machine) CallerGone(time.Time) []Action {
	return m.finishEarly(code.CallerGoneBeforeStart, code.CallerGone, "the caller closed the connection")
}

// Stop tells that the process ends before the request did.
func (m *Machine) Stop(time.Time) []Action {
	return m.finishEarly(code.HostLeaving, code.HostStopped, "the process ends")
}

// holds reports whether the attempt is the current one and still open.
func (m *Machine) holds(attempt ident.Attempt) bool {
	return m.waiting && attempt.Number == m.current.Number && attempt.Request == m.current.Request
}

func (m *Machine) overdue(now time.Time) bool {
	return !now.Before(m.options.Deadline)
}

func (m *Machine) timer() SetTimer {
	if m.waiting && m.silentAt.Before(m.options.Deadline) {
		return SetTimer{At: m.silentAt}
	}
	return SetTimer{At: m.options.Deadline}
}

func (m *Machine) choose() Choose {
	return Choose{
		Number:       m.number + 1,
		Avoid:        append([]upstream.Name(nil), m.failed...),
		ResumeOffset: m.answer.tokens,
		Deadline:     m.options.Deadline,
	}
}

// fire moves the chart. Callers have checked that the event is possible.
func (m *Machine) fire(event chart.Event) {
	if _, err := m.state.Fire(event); err != nil {
		panic(err)
	}
}

// Text returns the text delivered so far.
func (m *Machine) Text() string {
	return m.answer.text.String()
}

// answer is the part of the answer that the caller has.
type answer struct {
	tokens  uint64
	text    strings.Builder
	borders []border
}
