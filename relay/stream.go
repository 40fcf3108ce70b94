package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/place"
)

// serveStream serves a request whose events are passed on as they come. A
// stream that may be resumed goes on at another upstream when it breaks off.
func (x *exchange) serveStream() {
	for {
		answer, err := x.tryStream()
		if err == nil {
			return
		}
		if errors.Is(err, errNotPlaced) {
			x.refuse(err)
			return
		}
		final := x.again(err)
		if final == nil {
			if x.begun {
				x.s.log.Emit(event.StreamResumed).Str("request", x.call.ID).Str("after", x.call.LastEvent).Msg("")
			}
			continue
		}
		if answer != nil && !x.begun {
			x.result = final
			x.pass(answer)
			return
		}
		x.refuse(final)
		return
	}
}

// tryStream makes one attempt. A failure that the upstream itself reported
// before the first event comes back as an answer and an error.
func (x *exchange) tryStream() (*whole, error) {
	x.chooseService()
	if x.left() < minAttempt {
		return nil, code.New(code.DeadlineBeforeStart, "%v are left", x.left())
	}
	p, err := x.place()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotPlaced, err)
	}
	x.s.upstreams.Begin(p.main.ID)
	answer, err := x.follow(p)
	p.end()
	x.s.upstreams.End(p.main.ID, outcomeOf(err), boottime.Now())
	return answer, err
}

// follow sends the request and passes the events on.
func (x *exchange) follow(p *placement) (*whole, error) {
	send := Send{
		Upstream: p.main, TimeLeft: x.left(), Team: x.team, Helpers: p.helpers,
		LastEvent: x.call.LastEvent, Urgency: urgency(x.route.Goal),
	}
	a, err := x.send(send, x.firstWait(p))
	if err != nil {
		return nil, err
	}
	defer a.close()
	kind, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	if err != nil {
		x.note("content type of upstream %s: %v", p.main.ID, err)
	}
	if a.response.StatusCode != http.StatusOK || kind != "text/event-stream" {
		answer, err := a.readWhole()
		if err == nil {
			x.pass(answer)
		}
		return nil, err
	}
	return nil, x.passEvents(a, p)
}

// firstWait is how long the first event may take. A stream that is cut costs its
// engine all that it has read, so only silence that no queue explains counts: a
// dead engine is found by its connection.
func (x *exchange) firstWait(p *placement) time.Duration {
	const share = 0.7 // of the caller's patience; the rest is for the next upstream
	patient := time.Duration(share * float64(place.Patience(x.route.Goal, x.route.GapGoal)))
	return min(max(patient, 2*costmodel.Millis(p.plan.First)), x.left())
}

// gapWait is how long a started stream may be silent: most of the time after
// which its caller leaves.
func (x *exchange) gapWait() time.Duration {
	const share = 0.75 // of the caller's patience; the rest is for the next upstream
	return min(time.Duration(share*float64(place.Patience(x.route.Goal, x.route.GapGoal))), x.left())
}

func (x *exchange) passEvents(a *attempt, p *placement) error {
	events := newEventReader(a.response.Body)
	flusher := http.NewResponseController(x.w)
	for {
		piece, id, err := events.next()
		if errors.Is(err, io.EOF) && len(piece) == 0 {
			return x.endStream(a)
		}
		if err != nil {
			return a.broken(err)
		}
		if !x.begun {
			x.beginStream(a)
		}
		x.countEvent(boottime.Now())
		p.writing()
		if _, err := x.w.Write(piece); err != nil {
			return code.New(code.CallerGone, "write to the caller: %w", err)
		}
		if err := flusher.Flush(); err != nil {
			return code.New(code.CallerGone, "flush to the caller: %w", err)
		}
		if id != "" {
			x.call.LastEvent = id
		}
		a.extend(x.gapWait())
	}
}

// countEvent records when an event came.
func (x *exchange) countEvent(now time.Duration) {
	if x.events == 0 {
		x.firstAt = now
	} else {
		x.pause = max(x.pause, now-x.lastAt)
	}
	x.lastAt = now
	x.events++
}

// endStream ends the answer after its last event.
func (x *exchange) endStream(a *attempt) error {
	if !x.begun {
		x.beginStream(a)
	}
	return nil
}

func (x *exchange) beginStream(a *attempt) {
	header := x.w.Header()
	for name, values := range endtoend.Header(a.response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	x.begun = true
	x.status = a.response.StatusCode
	x.w.WriteHeader(x.status)
}

// broken is the code of a stream that ended before its last event.
func (a *attempt) broken(err error) error {
	if errors.Is(err, errLongEvent) {
		return code.Wrap(err, code.AnswerTruncated)
	}
	return a.failure(err)
}

// urgency orders prompts that wait at an engine by their goals.
func urgency(goal time.Duration) int {
	const (
		short  = 500 * time.Millisecond
		middle = 2 * time.Second
	)
	switch {
	case goal <= short:
		return 2
	case goal <= middle:
		return 4
	default:
		return 6
	}
}

// errNotPlaced says that no engine was found for a stream.
var errNotPlaced = errors.New("stream is not placed")

var errLongEvent = errors.New("event is too long")

// eventReader splits a stream into whole events.
type eventReader struct {
	in *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReader(body)}
}

// next returns the bytes of one whole event, its blank line included, and its
// identifier. At the end of the stream it returns io.EOF and no bytes; a stream
// that ends within an event is io.ErrUnexpectedEOF.
func (r *eventReader) next() (piece []byte, id string, err error) {
	for {
		line, err := r.in.ReadSlice('\n')
		piece = append(piece, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(piece) < eventBytes {
			continue
		}
		if len(piece) > eventBytes {
			return nil, "", errLongEvent
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(piece)) > 0 {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 {
			return piece, id, nil
		}
	}
}
