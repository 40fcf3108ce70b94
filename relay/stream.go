package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/place"
)

// serveStream serves a request whose events are forwarded as they arrive. A
// stream that fails before its end is resumed at another upstream if the route
// allows it.
func (x *exchange) serveStream() {
	defer x.leaveQueue(waitRefused)
	for {
		answer, err := x.tryStream()
		if err == nil {
			return
		}
		if errors.Is(err, errNotPlaced) {
			again, err := x.awaitRoom(err)
			if again || x.awaitLimit(err) || x.awaitResume(err) {
				continue
			}
			x.refuse(err)
			return
		}
		final := x.prepareRetry(err)
		for final != nil && x.awaitResume(final) {
			final = x.decideRetry(err)
		}
		if final == nil {
			if x.answerStarted {
				x.s.log.Emit(event.StreamResumed).Str("request", x.call.ID).Str("after", x.call.LastEvent).Msg("")
			}
			continue
		}
		if answer != nil && !x.answerStarted {
			x.result = final
			x.writeAnswer(answer)
			return
		}
		x.refuse(final)
		return
	}
}

// awaitResume waits a moment if a stream of which the caller has a part can't be resumed
// for lack of capacity or of retry budget, and reports whether to try again. The
// caller leaves when its own patience ends; cutting the answer before would only take
// the chance away.
func (x *exchange) awaitResume(reason error) bool {
	if !x.answerStarted || x.unnumbered || !x.route.Repeatable() || x.runs >= x.route.Attempts {
		return false
	}
	switch code.Of(reason) {
	case code.NoCapacity, code.UpstreamLimit, code.UpstreamResting, code.UpstreamUnavailable, code.ConfigUnconfirmed, code.RetryBudgetSpent,
		code.UpstreamLost, code.UpstreamSilent, code.AnswerIncomplete:
	default:
		return false // waiting doesn't help
	}
	return x.timeLeft() > minAttemptTime+resumeInterval && ctxtime.Sleep(x.ctx, resumeInterval)
}

// tryStream makes one attempt. If the upstream reported a failure before the
// first event, tryStream returns both its answer and an error.
func (x *exchange) tryStream() (*completeAnswer, error) {
	x.chooseService()
	if x.timeLeft() < minAttemptTime {
		return nil, code.New(code.DeadlineBeforeStart, "%v left before the deadline", x.timeLeft())
	}
	if err := x.checkLeaving(boottime.Now()); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlaced, err)
	}
	if err := x.checkQuarantine(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlaced, err)
	}
	p, err := x.place()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlaced, err)
	}
	x.helperAtFault = false
	defer x.endRace(x.startRace(p.main, len(p.helpers) == 0))
	x.s.upstreams.Begin(p.main.ID)
	answer, err := x.runStream(p, x.streamFrom)
	if second := x.awaitSecond(err); second != nil {
		return x.runStream(second.placement, x.continueSecond(second.attempt))
	}
	return answer, err
}

// runStream forwards a stream that was placed and counted at its upstream, and records the
// outcome.
func (x *exchange) runStream(p *placement, forward func(p *placement) (*completeAnswer, error)) (*completeAnswer, error) {
	eventsBefore := x.events
	answer, err := forward(p)
	p.end()
	x.logLost(p.main, eventsBefore, err)
	x.recordCrash(p.main, x.events-eventsBefore, err)
	outcome := x.attemptOutcome(err)
	if x.helperAtFault {
		outcome = fleet.Abandoned
	}
	x.s.upstreams.End(p.main.ID, outcome, boottime.Now())
	return answer, err
}

// sendStream sends the request of a stream.
func (x *exchange) sendStream(p *placement) (*attempt, error) {
	params := AttemptParams{
		Upstream: p.main, TimeLeft: x.timeLeft(), Team: x.team, Helpers: p.helpers,
		LastEvent: x.call.LastEvent, Urgency: x.urgency(), Ranked: true,
	}
	return x.send(params, x.firstEventTimeout(p))
}

// streamFrom sends the request and forwards the events.
func (x *exchange) streamFrom(p *placement) (*completeAnswer, error) {
	a, err := x.sendStream(p)
	if err != nil {
		return nil, err
	}
	defer a.close()
	kind, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	if err != nil {
		x.addNote("content type of upstream %s: %v", p.main.ID, err)
	}
	if a.response.StatusCode != http.StatusOK || kind != "text/event-stream" {
		if x.answerStarted {
			return nil, a.notContinued(kind)
		}
		answer, err := a.readAnswer()
		if err == nil && !x.claim() {
			err = errOvertaken
		}
		if err == nil {
			x.writeAnswer(answer)
		}
		return nil, err
	}
	return nil, x.forwardEvents(a, p)
}

// notContinued returns the error of an answer that doesn't continue a stream of which the
// caller has a part. Its status and body can't be forwarded any more.
func (a *attempt) notContinued(kind string) error {
	c := code.AnswerIncomplete
	if a.response.StatusCode >= http.StatusInternalServerError {
		c = code.UpstreamFailed
	}
	return code.New(c, "upstream %s continued the stream with status %d and content type %q", a.upstream.ID, a.response.StatusCode, kind)
}

// firstEventTimeout returns the timeout of the first event. A cancelled stream
// loses its prefill, so the timeout is longer than any wait that a queue
// explains. The connection detects a crashed engine.
func (x *exchange) firstEventTimeout(p *placement) time.Duration {
	const share = 0.7 // of the time that the caller waits; the rest is for the next upstream
	timeout := time.Duration(share * float64(place.CallerTimeout(x.route.Goal, x.route.GapGoal)))
	return min(max(timeout, 2*costmodel.Millis(p.plan.First)), x.timeLeft())
}

// gapTimeout returns the timeout between two events: most of the time after which
// the caller leaves.
func (x *exchange) gapTimeout() time.Duration {
	const share = 0.75 // of the time that the caller waits; the rest is for the next upstream
	return min(time.Duration(share*float64(place.CallerTimeout(x.route.Goal, x.route.GapGoal))), x.timeLeft())
}

func (x *exchange) forwardEvents(a *attempt, p *placement) error {
	reader := a.eventReader()
	flusher := http.NewResponseController(x.w)
	var begun time.Duration // first event of the attempt
	recorded := false
	p.pace.reading(boottime.Now(), 0)
	for {
		raw, id, err := reader.next()
		if errors.Is(err, io.EOF) {
			if err := a.checkStreamEnd(begun > 0); err != nil {
				return err
			}
			if !recorded && begun > 0 {
				x.recordStart(begun)
			}
			return x.endStream(a, raw)
		}
		if err != nil {
			return a.streamError(err)
		}
		if !x.continues(id) {
			return code.New(code.AnswerIncomplete, "upstream %s sent event %q after event %q", p.main.ID, id, x.call.LastEvent)
		}
		if !x.answerStarted {
			x.recordFirstByte()
			if !x.claim() {
				return errOvertaken
			}
			x.writeStreamHeader(a)
		}
		now := boottime.Now()
		x.recordEvent(now)
		p.pace.event(now)
		p.firstEvent()
		switch {
		case begun == 0:
			begun = now
		case !recorded && now-begun >= upstreamProof:
			recorded = true
			x.recordStart(begun)
		}
		a.timer.Stop() // while the caller doesn't read, the upstream can't write
		if err := x.write(raw); err != nil {
			return code.New(code.CallerGone, "write to the caller: %w", err)
		}
		if err := flusher.Flush(); err != nil {
			return code.New(code.CallerGone, "flush to the caller: %w", err)
		}
		p.pace.reading(boottime.Now(), now)
		if id == "" {
			a.endsResumption()
		} else {
			x.call.LastEvent = id
		}
		a.restartTimeout(x.gapTimeout())
	}
}

// checkStreamEnd checks a stream that ended properly, with or without an event of this
// attempt.
func (a *attempt) checkStreamEnd(hadEvent bool) error {
	confirmsEnd := !hadEvent && a.x.endUnconfirmed // nothing follows the last event here either
	if !hadEvent && a.unframed() && !confirmsEnd {
		return a.connectionError(errNoEvent)
	}
	return a.unframedEnd(confirmStreamAfter, confirmsEnd)
}

// continues reports whether an event with this identifier may follow the last event that
// the caller has. Identifiers rise; those that are not numbers must at least differ.
func (x *exchange) continues(id string) bool {
	last := x.call.LastEvent
	if id == "" || last == "" || x.events == 0 && !x.route.Repeatable() {
		return true // on a route without resumption, the stream begins anew
	}
	after, errID := strconv.ParseUint(id, 10, 64)
	before, errLast := strconv.ParseUint(last, 10, 64)
	if errID != nil || errLast != nil {
		return id != last
	}
	return after > before
}

// endsResumption records that the caller has an event without an identifier. No upstream
// can be told to go on after it.
func (a *attempt) endsResumption() {
	a.x.unnumbered = true
	a.unnumbered.Store(true)
}

// recordEvent records the arrival of an event.
func (x *exchange) recordEvent(now time.Duration) {
	if x.events == 0 {
		x.firstAt = now
	} else {
		x.maxGap = max(x.maxGap, now-x.lastAt)
	}
	x.lastAt = now
	x.events++
	x.endUnconfirmed = false
}

// endStream completes the answer after its last event with the comments that follow
// it. It sends the header if the stream had no event.
func (x *exchange) endStream(a *attempt, comments []byte) error {
	if !x.answerStarted {
		if !x.claim() {
			return errOvertaken
		}
		x.writeStreamHeader(a)
	}
	if err := x.write(comments); err != nil {
		return code.New(code.CallerGone, "write to the caller: %w", err)
	}
	if err := x.closeWhole(); err != nil {
		x.addNote("HTTP/1.0 caller: %v", err)
	}
	return nil
}

func (x *exchange) writeStreamHeader(a *attempt) {
	header := x.w.Header()
	for name, values := range endtoend.Header(a.response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	if err := x.resetUnlessWhole(); err != nil {
		x.addNote("HTTP/1.0 caller: %v", err)
	}
	x.answerStarted = true
	x.status = a.response.StatusCode
	x.w.WriteHeader(x.status)
}

// streamError returns the error of a stream that ended before its last event.
func (a *attempt) streamError(err error) error {
	if errors.Is(err, errEventTooLong) {
		return code.Wrap(err, code.AnswerTruncated)
	}
	return a.connectionError(err)
}

// errNotPlaced is returned if no upstream was found for a request.
var errNotPlaced = errors.New("request not placed on an upstream")

// errNoEvent is returned if the connection of an upstream ends without a framed end of the
// answer and without an event. A crashed upstream closes its connections as well.
var errNoEvent = errors.New("connection ended before the first event")

var errEventTooLong = errors.New("event of the stream exceeds the size limit")

// eventReader splits a stream into its events.
type eventReader struct {
	in      *bufio.Reader
	afterCR bool // the last line ended with a carriage return, whose line feed may follow

	unreadEvent []byte // returned by the next call of next, nil if there is none
	unreadID    string
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReader(body)}
}

// eventReader returns the reader of the events of an answer.
func (a *attempt) eventReader() *eventReader {
	if a.events == nil {
		a.events = newEventReader(a.response.Body)
	}
	return a.events
}

// unread makes the next call of next return an event again.
func (r *eventReader) unread(raw []byte, id string) {
	r.unreadEvent, r.unreadID = raw, id
}

// next returns the bytes of the next event, including its blank line, and its
// identifier. Lines end with a line feed, a carriage return or both; the line feed of the
// last line of an event is returned with the next event if it comes later. Comments and
// blank lines before an event are returned with it: they are no progress of the answer. At
// the end of the stream next returns io.EOF and the comments after the last event, and
// io.ErrUnexpectedEOF if the stream ends within an event or a line.
func (r *eventReader) next() (raw []byte, id string, err error) {
	if r.unreadEvent != nil {
		raw, r.unreadEvent = r.unreadEvent, nil
		return raw, r.unreadID, nil
	}
	hasField := false
	lineStart := 0 // of the current line in raw
	for {
		part, err := r.readLine()
		endsLine := r.afterCR && lineStart == len(raw) && string(part) == "\n"
		raw = append(raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(raw) < maxEventBytes {
			continue
		}
		if len(raw) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if errors.Is(err, io.EOF) && (hasField || len(raw) > 0 && !endsWithLine(raw)) {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return raw, "", err
		}
		line := bytes.TrimRight(raw[lineStart:], "\r\n")
		lineStart = len(raw)
		r.afterCR = raw[len(raw)-1] == '\r'
		if endsLine {
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 && hasField {
			return raw, id, nil
		}
		hasField = hasField || len(line) > 0 && line[0] != ':'
	}
}

func endsWithLine(raw []byte) bool {
	last := raw[len(raw)-1]
	return last == '\n' || last == '\r'
}

// readLine returns the next line, or bufio.ErrBufferFull and a part of a line that fills the
// buffer, or another error and what came before it. It doesn't wait for a line feed after a
// carriage return. The bytes are valid until the next read.
func (r *eventReader) readLine() ([]byte, error) {
	searched := 0
	for {
		buffered, err := r.in.Peek(r.in.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexAny(buffered[searched:], "\r\n"); i >= 0 {
			end := searched + i + 1
			if buffered[end-1] == '\r' && end < len(buffered) && buffered[end] == '\n' {
				end++
			}
			return r.take(end, nil)
		}
		if len(buffered) == r.in.Size() {
			return r.take(len(buffered), bufio.ErrBufferFull)
		}
		searched = len(buffered)
		if _, err := r.in.Peek(searched + 1); err != nil {
			return r.take(searched, err)
		}
	}
}

// take consumes buffered bytes and returns them with an error.
func (r *eventReader) take(n int, cause error) ([]byte, error) {
	taken, err := r.in.Peek(n)
	if err != nil {
		return nil, err
	}
	if _, err := r.in.Discard(n); err != nil {
		return nil, err
	}
	return taken, cause
}
