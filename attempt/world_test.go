package attempt

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/upstream"
)

const (
	testRequests    = 2
	testEngines     = 4
	testMaxAttempts = 4
	testDeadline    = 10 * time.Second
	testProgress    = 2 * time.Second
)

var errReset = errors.New("connection reset by peer")

// simulation simulates two requests, the messages between their machines and the
// engines, and records what the engines ran, which is the oracle.
type simulation struct {
	t         assert.TestingT
	choose    testseed.Chooser
	faults    bool
	now       time.Time
	requests  []*request
	ran       map[ident.Attempt]bool // attempts that an engine began to run
	open      map[ident.Attempt]bool // attempts whose streams occupy memory on an engine
	cancelled map[ident.Attempt]bool // cancelled, possibly before the send arrived
	inTransit []message
}

// message is in transit to an engine (send is set) or to a machine.
type message struct {
	to      *request
	send    *Send
	frame   *upstream.Frame
	attempt ident.Attempt
	failure *upstream.Error
	headers bool
}

type request struct {
	id          ident.Request
	tokens      uint64 // length of the complete answer
	machine     *Machine
	deadline    time.Time
	timer       time.Time
	choosing    bool
	text        strings.Builder // delivered to the caller
	finish      *Finish
	retryChecks int // calls of AllowRetry
}

// AllowRetry implements RetryPolicy.
func (r *request) AllowRetry(_ time.Time, attempt int, _ bool, _ time.Time) bool {
	r.retryChecks++
	return attempt < testMaxAttempts
}

func newSimulation(t assert.TestingT, choose testseed.Chooser, faults bool) *simulation {
	w := &simulation{
		t: t, choose: choose, faults: faults, now: time.UnixMilli(1_000_000),
		ran: map[ident.Attempt]bool{}, open: map[ident.Attempt]bool{}, cancelled: map[ident.Attempt]bool{},
	}
	for n := range testRequests {
		r := &request{
			id:       ident.Request{Host: "host-1", Incarnation: 1, Sequence: uint64(n + 1)},
			tokens:   uint64(w.choose.Pick("tokens", 12)),
			deadline: w.now.Add(testDeadline),
		}
		r.machine = New(Options{
			Request: r.id, Deadline: r.deadline, FirstFrameTimeout: testProgress, ProgressTimeout: testProgress,
			MaxAttempts: testMaxAttempts, Retry: r,
		})
		w.requests = append(w.requests, r)
		w.apply(r, r.machine.Start(w.now))
	}
	return w
}

// answer returns the tokens from begin to end of the answer to the request.
func (r *request) answer(begin, end uint64) string {
	var text strings.Builder
	for k := begin; k < end; k++ {
		fmt.Fprintf(&text, "%d:%d ", r.id.Sequence, k)
	}
	return text.String()
}

// apply carries out the actions of a machine.
func (w *simulation) apply(r *request, actions []Action) {
	for _, action := range actions {
		assert.Assert(w.t, r.finish == nil, "%T after the end", action)
		switch a := action.(type) {
		case Choose:
			assert.Equal(w.t, a.ResumeOffset, r.delivered())
			r.choosing = true
		case Send:
			w.checkSend(r, a)
			w.inTransit = append(w.inTransit, message{to: r, send: &a})
		case Deliver:
			assert.Equal(w.t, a.Offset, r.delivered())
			assert.Assert(w.t, uint64(a.Tokens) <= r.tokens, "%d tokens delivered of %d", a.Tokens, r.tokens)
			r.text.WriteString(a.Text)
			assert.Equal(w.t, r.text.String(), r.answer(0, a.Offset+uint64(a.Tokens)), "the caller received text that is not its answer")
		case Cancel:
			w.cancel(a.Attempt)
		case SetTimer:
			r.timer = a.At
		case Finish:
			w.checkFinish(r, a)
			r.finish = &a
		}
	}
}

func (r *request) delivered() uint64 {
	return uint64(strings.Count(r.text.String(), " "))
}

func (w *simulation) checkSend(r *request, send Send) {
	assert.Assert(w.t, w.now.Before(r.deadline), "sent at or after the deadline")
	assert.Equal(w.t, send.ResumeText, r.text.String())
	assert.Equal(w.t, send.Fresh, send.Attempt.Number > 1)
	assert.Assert(w.t, send.Attempt.Number <= testMaxAttempts)
}

func (w *simulation) checkFinish(r *request, finish Finish) {
	assert.Equal(w.t, finish.Tokens, r.delivered())
	if finish.Code == code.OK {
		assert.Equal(w.t, r.text.String(), r.answer(0, r.tokens), "an incomplete answer was reported as complete")
		return
	}
	if finish.Code.Outcome() == code.Ran {
		assert.Assert(w.t, w.runs(r) > 0, "%s reports that the request ran", finish.Code.Name())
	}
}

func (w *simulation) runs(r *request) int {
	runs := 0
	for attempt := range w.ran {
		if attempt.Request == r.id {
			runs++
		}
	}
	return runs
}

// cancel frees the stream on the engine. An engine that receives the send later
// runs it nevertheless.
func (w *simulation) cancel(attempt ident.Attempt) {
	delete(w.open, attempt)
	w.cancelled[attempt] = true
}

func (w *simulation) step() {
	steps := []func(){w.chooseUpstream, w.chooseUpstream, w.deliver, w.deliver, w.deliver, w.deliver, w.advanceClock}
	if w.faults {
		steps = append(steps, w.deliver, w.loseMessage, w.duplicateFrame, w.misrouteFrame, w.noUpstream, w.pauseProcess, w.disconnectCaller)
	}
	steps[w.choose.Pick("step", len(steps))]()
	w.fireTimers()
}

func (w *simulation) request() *request {
	return w.requests[w.choose.Pick("request", len(w.requests))]
}

// chooseUpstream answers Choose.
func (w *simulation) chooseUpstream() {
	r := w.request()
	if r.choosing && r.finish == nil {
		r.choosing = false
		w.apply(r, r.machine.Chosen(w.now, upstream.Name("engine-"+strconv.Itoa(w.choose.Pick("engine", testEngines)))))
	}
}

func (w *simulation) noUpstream() {
	r := w.request()
	if r.choosing && r.finish == nil && w.choose.Pick("none", 8) == 0 {
		r.choosing = false
		w.apply(r, r.machine.NoUpstream(w.now, code.New(code.NoCapacity, "no free capacity")))
	}
}

func (w *simulation) deliver() {
	if len(w.inTransit) == 0 {
		return
	}
	at := 0
	if w.faults && w.choose.Pick("overtake", 8) == 0 {
		at = w.choose.Pick("message", len(w.inTransit))
	}
	m := w.inTransit[at]
	w.inTransit = slices.Delete(w.inTransit, at, at+1)
	r := m.to
	switch {
	case m.send != nil:
		w.run(r, m.send)
	case m.frame != nil:
		w.apply(r, r.machine.FrameReceived(w.now, *m.frame))
	case m.headers:
		w.apply(r, r.machine.Headers(w.now, m.attempt))
	default:
		w.apply(r, r.machine.AttemptFailed(w.now, m.attempt, m.failure))
	}
}

// run simulates the engine: it refuses, does not respond, answers completely or
// fails in one of several ways.
func (w *simulation) run(r *request, send *Send) {
	end := 0
	if w.faults {
		end = w.choose.Pick("engine does", 9)
	}
	fail := func(sent upstream.Sent, refused upstream.Refusal, err error) {
		w.inTransit = append(w.inTransit, message{to: r, attempt: send.Attempt, failure: &upstream.Error{Sent: sent, Refused: refused, Err: err}})
	}
	switch end {
	case 1:
		fail(upstream.SentNothing, "", errReset)
		return
	case 2:
		fail(upstream.SentSome, upstream.RefusedBusy, errReset)
		return
	case 3:
		fail(upstream.SentSome, "", errReset)
		return
	}
	w.ran[send.Attempt] = true
	if !w.cancelled[send.Attempt] {
		w.open[send.Attempt] = true
	}
	switch end {
	case 4: // no response
	case 5:
		fail(upstream.SentSome, "", errReset)
	case 6:
		w.stream(r, send, r.tokens/2)
		fail(upstream.SentSome, "", errReset)
	case 7:
		w.stream(r, send, r.tokens/2)
		fail(upstream.SentSome, "", io.EOF)
	default:
		delete(w.open, send.Attempt) // freed by the end of the stream
		w.inTransit = append(w.inTransit, message{to: r, attempt: send.Attempt, headers: true})
		w.stream(r, send, r.tokens)
		w.inTransit = append(w.inTransit, message{to: r, frame: &upstream.Frame{
			Attempt: send.Attempt, Offset: r.tokens, Done: true, FinishReason: upstream.FinishStop,
		}})
	}
}

// stream sends the tokens up to end in frames, some of which repeat tokens.
func (w *simulation) stream(r *request, send *Send, end uint64) {
	for offset := send.ResumeOffset; offset < end; {
		next := min(end, offset+1+uint64(w.choose.Pick("frame", 3)))
		begin := offset
		if w.faults && offset > send.ResumeOffset && w.choose.Pick("repeat", 6) == 0 {
			begin = send.ResumeOffset + uint64(w.choose.Pick("from", int(offset-send.ResumeOffset)))
		}
		w.inTransit = append(w.inTransit, message{to: r, frame: &upstream.Frame{
			Attempt: send.Attempt, Offset: begin, Text: r.answer(begin, next), Tokens: uint32(next - begin),
		}})
		offset = next
	}
}

func (w *simulation) loseMessage() {
	if len(w.inTransit) == 0 {
		return
	}
	at := w.choose.Pick("lost", len(w.inTransit))
	if m := w.inTransit[at]; m.send == nil || w.choose.Pick("send", 2) == 0 {
		w.inTransit = slices.Delete(w.inTransit, at, at+1)
	}
}

func (w *simulation) duplicateFrame() {
	if len(w.inTransit) == 0 {
		return
	}
	if m := w.inTransit[w.choose.Pick("doubled", len(w.inTransit))]; m.frame != nil {
		w.inTransit = append(w.inTransit, m)
	}
}

// misrouteFrame also sends a frame to the machine of the other request.
func (w *simulation) misrouteFrame() {
	if len(w.inTransit) == 0 {
		return
	}
	if m := w.inTransit[w.choose.Pick("misrouted", len(w.inTransit))]; m.frame != nil {
		m.to = w.requests[testRequests-int(m.to.id.Sequence)]
		w.inTransit = append(w.inTransit, m)
	}
}

func (w *simulation) advanceClock() {
	w.now = w.now.Add(time.Duration(w.choose.Pick("tick", 400)) * time.Millisecond)
}

// pauseProcess simulates a pause of the process, which delays the timers.
func (w *simulation) pauseProcess() {
	if w.choose.Pick("pause", 10) == 0 {
		w.now = w.now.Add(time.Duration(w.choose.Pick("jump", 12)) * time.Second)
		for _, r := range w.requests {
			w.chooseAfterPause(r)
			w.apply(r, r.machine.Resumed(w.now))
		}
	}
}

// chooseAfterPause may make the choice of an upstream the first event after a
// pause.
func (w *simulation) chooseAfterPause(r *request) {
	if r.choosing && w.choose.Pick("first", 2) == 0 {
		r.choosing = false
		w.apply(r, r.machine.Chosen(w.now, "engine-0"))
	}
}

func (w *simulation) disconnectCaller() {
	if r := w.request(); w.choose.Pick("leave", 20) == 0 {
		w.apply(r, r.machine.CallerGone(w.now))
	}
}

func (w *simulation) fireTimers() {
	for _, r := range w.requests {
		if r.finish == nil && !w.now.Before(r.timer) {
			w.apply(r, r.machine.TimerFired(w.now))
		}
	}
}

// endRequests withholds all messages and lets only timers fire; each request must
// end no later than its deadline. Engines then run the sends still in transit,
// and the reported results must remain correct.
func (w *simulation) endRequests() {
	for _, r := range w.requests {
		for r.finish == nil {
			assert.Assert(w.t, !r.timer.After(r.deadline), "the timer is set after the deadline")
			if r.timer.After(w.now) {
				w.now = r.timer
			}
			w.apply(r, r.machine.TimerFired(w.now))
		}
	}
	for _, m := range w.inTransit {
		if m.send != nil {
			w.run(m.to, m.send)
		}
	}
	for _, r := range w.requests {
		if r.finish.Code != code.OK && r.finish.Code.Outcome() == code.NotRun {
			assert.Equal(w.t, w.runs(r), 0, "%s reports that the request did not run", r.finish.Code.Name())
		}
		assert.Assert(w.t, r.retryChecks <= r.machine.Attempts())
		assert.Assert(w.t, !w.hasOpenStream(r), "a stream is still open on an engine")
	}
}

func (w *simulation) hasOpenStream(r *request) bool {
	for attempt := range w.open {
		if attempt.Request == r.id {
			return true
		}
	}
	return false
}
