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

// world holds two requests, the messages between their machines and the
// engines, and the record of what the engines ran, which is the oracle.
type world struct {
	t        assert.TestingT
	choose   testseed.Chooser
	faults   bool
	now      time.Time
	requests []*request
	ran      map[ident.Attempt]bool // engines that began a run
	open     map[ident.Attempt]bool // streams that hold memory on an engine
	ended    map[ident.Attempt]bool // cancelled, perhaps before the send arrived
	wire     []message
}

// message is on its way to an engine (send is set) or to a machine.
type message struct {
	to      *request
	send    *Send
	frame   *upstream.Frame
	attempt ident.Attempt
	broken  *upstream.Error
	headers bool
}

type request struct {
	id       ident.Request
	tokens   uint64 // length of the whole answer
	machine  *Machine
	deadline time.Time
	timer    time.Time
	choosing bool
	text     strings.Builder // what the caller has
	finish   *Finish
	asked    int // of the retry policy
}

// AllowRetry implements RetryPolicy.
func (r *request) AllowRetry(_ time.Time, attempt int, _ bool, _ time.Time) bool {
	r.asked++
	return attempt < testMaxAttempts
}

func newWorld(t assert.TestingT, choose testseed.Chooser, faults bool) *world {
	w := &world{
		t: t, choose: choose, faults: faults, now: time.UnixMilli(1_000_000),
		ran: map[ident.Attempt]bool{}, open: map[ident.Attempt]bool{}, ended: map[ident.Attempt]bool{},
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
		w.follow(r, r.machine.Start(w.now))
	}
	return w
}

// text returns the tokens from begin to end of the answer to a request.
func (r *request) answer(begin, end uint64) string {
	var text strings.Builder
	for k := begin; k < end; k++ {
		fmt.Fprintf(&text, "%d:%d ", r.id.Sequence, k)
	}
	return text.String()
}

// follow carries out the actions of a machine.
func (w *world) follow(r *request, actions []Action) {
	for _, action := range actions {
		assert.Assert(w.t, r.finish == nil, "%T after the end", action)
		switch a := action.(type) {
		case Choose:
			assert.Equal(w.t, a.ResumeOffset, r.delivered())
			r.choosing = true
		case Send:
			w.checkSend(r, a)
			w.wire = append(w.wire, message{to: r, send: &a})
		case Deliver:
			assert.Equal(w.t, a.Offset, r.delivered())
			assert.Assert(w.t, uint64(a.Tokens) <= r.tokens, "%d tokens delivered of %d", a.Tokens, r.tokens)
			r.text.WriteString(a.Text)
			assert.Equal(w.t, r.text.String(), r.answer(0, a.Offset+uint64(a.Tokens)), "the caller got other text than its own answer")
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

func (w *world) checkSend(r *request, send Send) {
	assert.Assert(w.t, w.now.Before(r.deadline), "sent at or after the deadline")
	assert.Equal(w.t, send.ResumeText, r.text.String())
	assert.Equal(w.t, send.Fresh, send.Attempt.Number > 1)
	assert.Assert(w.t, send.Attempt.Number <= testMaxAttempts)
}

func (w *world) checkFinish(r *request, finish Finish) {
	assert.Equal(w.t, finish.Tokens, r.delivered())
	if finish.Code == code.OK {
		assert.Equal(w.t, r.text.String(), r.answer(0, r.tokens), "a broken answer passed off as whole")
		return
	}
	if finish.Code.Outcome() == code.Ran {
		assert.Assert(w.t, w.runs(r) > 0, "%s says ran", finish.Code.Name())
	}
}

func (w *world) runs(r *request) int {
	runs := 0
	for attempt := range w.ran {
		if attempt.Request == r.id {
			runs++
		}
	}
	return runs
}

// cancel frees the stream on the engine. An engine that gets the send later
// runs it all the same.
func (w *world) cancel(attempt ident.Attempt) {
	delete(w.open, attempt)
	w.ended[attempt] = true
}

func (w *world) step() {
	steps := []func(){w.pick, w.pick, w.deliver, w.deliver, w.deliver, w.deliver, w.tick}
	if w.faults {
		steps = append(steps, w.deliver, w.lose, w.duplicate, w.misroute, w.noUpstream, w.jump, w.leave)
	}
	steps[w.choose.Pick("step", len(steps))]()
	w.fireTimers()
}

func (w *world) request() *request {
	return w.requests[w.choose.Pick("request", len(w.requests))]
}

// pick answers Choose.
func (w *world) pick() {
	r := w.request()
	if r.choosing && r.finish == nil {
		r.choosing = false
		w.follow(r, r.machine.Chosen(w.now, upstream.Name("engine-"+strconv.Itoa(w.choose.Pick("engine", testEngines)))))
	}
}

func (w *world) noUpstream() {
	r := w.request()
	if r.choosing && r.finish == nil && w.choose.Pick("none", 8) == 0 {
		r.choosing = false
		w.follow(r, r.machine.NoUpstream(w.now, code.New(code.NoCapacity, "no room")))
	}
}

func (w *world) deliver() {
	if len(w.wire) == 0 {
		return
	}
	at := 0
	if w.faults && w.choose.Pick("overtake", 8) == 0 {
		at = w.choose.Pick("message", len(w.wire))
	}
	m := w.wire[at]
	w.wire = slices.Delete(w.wire, at, at+1)
	r := m.to
	switch {
	case m.send != nil:
		w.run(r, m.send)
	case m.frame != nil:
		w.follow(r, r.machine.FrameReceived(w.now, *m.frame))
	case m.headers:
		w.follow(r, r.machine.Headers(w.now, m.attempt))
	default:
		w.follow(r, r.machine.Broken(w.now, m.attempt, m.broken))
	}
}

// run is the engine: it refuses, stays silent, or answers in one of several
// broken ways.
func (w *world) run(r *request, send *Send) {
	end := 0
	if w.faults {
		end = w.choose.Pick("engine does", 9)
	}
	fail := func(sent upstream.Sent, refused upstream.Refusal, err error) {
		w.wire = append(w.wire, message{to: r, attempt: send.Attempt, broken: &upstream.Error{Sent: sent, Refused: refused, Err: err}})
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
	if !w.ended[send.Attempt] {
		w.open[send.Attempt] = true
	}
	switch end {
	case 4: // silent
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
		w.wire = append(w.wire, message{to: r, attempt: send.Attempt, headers: true})
		w.stream(r, send, r.tokens)
		w.wire = append(w.wire, message{to: r, frame: &upstream.Frame{
			Attempt: send.Attempt, Offset: r.tokens, Done: true, FinishReason: upstream.FinishStop,
		}})
	}
}

// stream sends the tokens up to end in frames, some of which repeat tokens.
func (w *world) stream(r *request, send *Send, end uint64) {
	for offset := send.ResumeOffset; offset < end; {
		next := min(end, offset+1+uint64(w.choose.Pick("frame", 3)))
		begin := offset
		if w.faults && offset > send.ResumeOffset && w.choose.Pick("repeat", 6) == 0 {
			begin = send.ResumeOffset + uint64(w.choose.Pick("from", int(offset-send.ResumeOffset)))
		}
		w.wire = append(w.wire, message{to: r, frame: &upstream.Frame{
			Attempt: send.Attempt, Offset: begin, Text: r.answer(begin, next), Tokens: uint32(next - begin),
		}})
		offset = next
	}
}

func (w *world) lose() {
	if len(w.wire) == 0 {
		return
	}
	at := w.choose.Pick("lost", len(w.wire))
	if m := w.wire[at]; m.send == nil || w.choose.Pick("send", 2) == 0 {
		w.wire = slices.Delete(w.wire, at, at+1)
	}
}

func (w *world) duplicate() {
	if len(w.wire) == 0 {
		return
	}
	if m := w.wire[w.choose.Pick("doubled", len(w.wire))]; m.frame != nil {
		w.wire = append(w.wire, m)
	}
}

// misroute hands a frame to the machine of the other request as well.
func (w *world) misroute() {
	if len(w.wire) == 0 {
		return
	}
	if m := w.wire[w.choose.Pick("misrouted", len(w.wire))]; m.frame != nil {
		m.to = w.requests[testRequests-int(m.to.id.Sequence)]
		w.wire = append(w.wire, m)
	}
}

func (w *world) tick() {
	w.now = w.now.Add(time.Duration(w.choose.Pick("tick", 400)) * time.Millisecond)
}

// jump is a pause of the process: timers fire late.
func (w *world) jump() {
	if w.choose.Pick("pause", 10) == 0 {
		w.now = w.now.Add(time.Duration(w.choose.Pick("jump", 12)) * time.Second)
		for _, r := range w.requests {
			w.pickAfterPause(r)
			w.follow(r, r.machine.Resumed(w.now))
		}
	}
}

// pickAfterPause lets the choice of an upstream be the first thing that a
// paused process does.
func (w *world) pickAfterPause(r *request) {
	if r.choosing && w.choose.Pick("first", 2) == 0 {
		r.choosing = false
		w.follow(r, r.machine.Chosen(w.now, "engine-0"))
	}
}

func (w *world) leave() {
	if r := w.request(); w.choose.Pick("leave", 20) == 0 {
		w.follow(r, r.machine.CallerGone(w.now))
	}
}

func (w *world) fireTimers() {
	for _, r := range w.requests {
		if r.finish == nil && !w.now.Before(r.timer) {
			w.follow(r, r.machine.TimerFired(w.now))
		}
	}
}

// settle loses every message and lets only timers fire: each request ends no
// later than its deadline, and what callers were told is true for good.
func (w *world) settle() {
	for _, r := range w.requests {
		for r.finish == nil {
			assert.Assert(w.t, !r.timer.After(r.deadline), "no timer before the deadline")
			if r.timer.After(w.now) {
				w.now = r.timer
			}
			w.follow(r, r.machine.TimerFired(w.now))
		}
	}
	for _, m := range w.wire {
		if m.send != nil {
			w.run(m.to, m.send)
		}
	}
	for _, r := range w.requests {
		if r.finish.Code != code.OK && r.finish.Code.Outcome() == code.NotRun {
			assert.Equal(w.t, w.runs(r), 0, "%s says not run", r.finish.Code.Name())
		}
		assert.Assert(w.t, r.asked <= r.machine.Attempts())
		assert.Assert(w.t, !w.holds(r), "a stream is left on an engine")
	}
}

func (w *world) holds(r *request) bool {
	for attempt := range w.open {
		if attempt.Request == r.id {
			return true
		}
	}
	return false
}
