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
// request ends. It covers a delayed timer and the last write to the caller.
const FinishGrace = time.Second

// RetryPolicy decides whether a failed attempt is followed by another one.
// Nothing else in the system allows retries.
type RetryPolicy interface {
	// AllowRetry is called at most once per failed attempt. Attempts count from
	// 1; sent is true if the upstream may have run the attempt.
	AllowRetry(now time.Time, attempt int, sent bool, deadline time.Time) bool
}

// Options describes one request.
type Options struct {
	Request           ident.Request
	Deadline          time.Time
	FirstFrameTimeout time.Duration // from the send to the first frame
	ProgressTimeout   time.Duration // between frames
	MaxAttempts       int
	Retry             RetryPolicy
}

var attemptChart = chart.MustLoad(chart.Attempt)

// Machine is the state machine of one request.
type Machine struct {
	options Options
	state   *chart.Machine

	number           uint64 // of the current or last attempt
	current          ident.Attempt
	upstream         upstream.Name
	avoid            []upstream.Name
	progressDeadline time.Time // when the current attempt times out without progress
	attemptOpen      bool      // the current attempt is open

	possibleRuns  int       // attempts, ended or current, that may have run
	failureCode   code.Code // code of a failed attempt that may have run
	answer        answer
	droppedFrames int // frames dropped because their attempt is not current
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

// MayHaveRun reports whether an upstream may have run the request.
func (m *Machine) MayHaveRun() bool {
	return m.possibleRuns > 0
}

// LateFrames returns the number of frames dropped because their attempt was not
// the current, open one.
func (m *Machine) LateFrames() int {
	return m.droppedFrames
}

// Start begins the request.
func (m *Machine) Start(now time.Time) []Action {
	m.fire(chart.AttemptStart)
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return []Action{SetTimer{At: m.options.Deadline}, m.choose()}
}

// Chosen answers Choose with an upstream that has free capacity. It checks the
// deadline immediately before the send, so that a process that was paused does
// not send a request whose deadline has passed.
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
	m.attemptOpen = true
	m.possibleRuns++
	m.progressDeadline = now.Add(m.options.FirstFrameTimeout)
	send := Send{
		Attempt:      m.current,
		Upstream:     name,
		ResumeOffset: m.answer.tokens,
		ResumeText:   m.answer.text.String(),
		Fresh:        m.number > 1,
	}
	return []Action{m.timer(), send}
}

// NoUpstream answers Choose when no upstream is available. The error carries the
// result code. If an earlier attempt may have run, the code of that attempt
// replaces it, because the result must not state that the request did not run.
func (m *Machine) NoUpstream(now time.Time, err error) []Action {
	if !m.state.Can(chart.AttemptChosen) {
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return m.finishNotRun(code.Of(err), err.Error())
}

// Sent reports that the upstream has received the complete request.
func (m *Machine) Sent(now time.Time, attempt ident.Attempt) []Action {
	return m.advance(now, attempt)
}

// Headers reports that the upstream accepted the request.
func (m *Machine) Headers(now time.Time, attempt ident.Attempt) []Action {
	return m.advance(now, attempt)
}

func (m *Machine) advance(now time.Time, attempt ident.Attempt) []Action {
	if !m.isCurrent(attempt) {
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	m.fire(chart.AttemptSent)
	return nil
}

// FrameReceived handles a frame of any attempt.
func (m *Machine) FrameReceived(now time.Time, frame upstream.Frame) []Action {
	if !m.isCurrent(frame.Attempt) {
		m.droppedFrames++
		return nil
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	delivery, err := m.answer.accept(frame)
	if err != nil {
		return m.abandon(now, code.AnswerIncomplete, err.Error())
	}
	m.fire(chart.AttemptFrame)
	if frame.Done {
		return m.finishComplete(frame.FinishReason)
	}
	if delivery.Tokens == 0 {
		return nil // a duplicate does not count as progress
	}
	m.progressDeadline = now.Add(m.options.ProgressTimeout)
	return []Action{delivery, m.timer()}
}

// Delivered reports that the caller has taken a delivery. Until then the upstream may
// have been unable to send, so it is not silent.
func (m *Machine) Delivered(now time.Time) {
	m.progressDeadline = now.Add(m.options.ProgressTimeout)
}

// AttemptFailed reports that an attempt ended without an end marker.
func (m *Machine) AttemptFailed(now time.Time, attempt ident.Attempt, failure *upstream.Error) []Action {
	if !m.isCurrent(attempt) {
		return nil
	}
	if failure.NotRun() && m.State() != chart.AttemptStreaming {
		m.possibleRuns--
		return m.attemptRefused(now, failure)
	}
	if m.overdue(now) {
		return m.finishOverdue()
	}
	return m.abandon(now, m.lostCode(failure), failure.Error())
}

// TimerFired reports that the timer of the last SetTimer expired.
func (m *Machine) TimerFired(now time.Time) []Action {
	switch {
	case m.state.Final():
		return nil
	case m.overdue(now):
		return m.finishOverdue()
	case m.attemptOpen && !now.Before(m.progressDeadline):
		return m.abandon(now, code.UpstreamSilent, "upstream "+string(m.upstream)+" made no progress")
	default:
		return []Action{m.timer()}
	}
}

// Resumed reports that the process was paused.
func (m *Machine) Resumed(now time.Time) []Action {
	return m.TimerFired(now)
}

// CallerGone reports that the caller has disconnected.
func (m *Machine) CallerGone(time.Time) []Action {
	return m.finishEarly(code.CallerGoneBeforeStart, code.CallerGone, "the caller closed the connection")
}

// Stop reports that the process terminates before the request has ended.
func (m *Machine) Stop(time.Time) []Action {
	return m.finishEarly(code.HostLeaving, code.HostStopped, "the process ends")
}

// isCurrent reports whether the attempt is the current one and open.
func (m *Machine) isCurrent(attempt ident.Attempt) bool {
	return m.attemptOpen && attempt.Number == m.current.Number && attempt.Request == m.current.Request
}

func (m *Machine) overdue(now time.Time) bool {
	return !now.Before(m.options.Deadline)
}

func (m *Machine) timer() SetTimer {
	if m.attemptOpen && m.progressDeadline.Before(m.options.Deadline) {
		return SetTimer{At: m.progressDeadline}
	}
	return SetTimer{At: m.options.Deadline}
}

func (m *Machine) choose() Choose {
	return Choose{
		Number:       m.number + 1,
		Avoid:        append([]upstream.Name(nil), m.avoid...),
		ResumeOffset: m.answer.tokens,
		Deadline:     m.options.Deadline,
		MayHaveRun:   m.MayHaveRun(),
	}
}

// fire applies an event to the state chart. It panics if the state does not
// allow the event.
func (m *Machine) fire(event chart.Event) {
	if _, err := m.state.Fire(event); err != nil {
		panic(err)
	}
}

// Text returns the text delivered so far.
func (m *Machine) Text() string {
	return m.answer.text.String()
}

// answer is the part of the answer already delivered to the caller.
type answer struct {
	tokens      uint64
	text        strings.Builder
	frameStarts []frameStart
}
