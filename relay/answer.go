package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/route"
)

// whole is an answer that has arrived completely.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// serveAnswer serves a request whose answer is passed on once it is whole.
func (x *exchange) serveAnswer() {
	for {
		answer, err := x.tryAnswer()
		if err == nil {
			x.pass(answer)
			return
		}
		final := x.again(err)
		if final == nil {
			continue
		}
		if answer != nil { // the upstream's own failure
			x.result = final
			x.pass(answer)
			return
		}
		x.refuse(final)
		return
	}
}

// tryAnswer makes one attempt. A failure that the upstream itself reported
// comes back as an answer and an error.
func (x *exchange) tryAnswer() (*whole, error) {
	x.chooseService()
	now := boottime.Now()
	if x.until-now < minAttempt {
		return nil, code.New(code.DeadlineBeforeStart, "%v are left", x.until-now)
	}
	views := x.s.upstreams.Of(x.service.Name, now)
	tried := x.tried
	pick := draw(x.s, func(rng *rand.Rand) *fleet.View {
		if v, ok := fleet.Choose(views, x.s.options.FailureDomain, tried, rng); ok {
			return &v
		}
		return nil
	})
	if pick == nil {
		return nil, code.New(code.NoCapacity, "service %q has %d upstreams, %d were tried", x.service.Name, len(views), len(x.tried))
	}
	x.s.upstreams.Begin(pick.ID)
	answer, err := x.fetch(pick.Upstream)
	x.s.upstreams.End(pick.ID, outcomeOf(err), boottime.Now())
	return answer, err
}

func (x *exchange) fetch(upstream fleet.Upstream) (*whole, error) {
	a, err := x.send(Send{Upstream: upstream, TimeLeft: x.left(), Team: x.team, LastEvent: x.call.LastEvent}, x.answerWait())
	if err != nil {
		return nil, err
	}
	defer a.close()
	return a.readWhole()
}

// answerWait is how long an attempt may take. One that may be repeated gets
// several times the goal, so that another upstream can still answer in time.
func (x *exchange) answerWait() time.Duration {
	left := x.left()
	if x.route.Kind == route.Idempotent && x.runs+1 < x.route.Attempts {
		return min(max(hangFactor*x.route.Goal, left/4), left)
	}
	return left
}

// hangFactor times its goal is how long a repeatable request waits for an
// upstream; the slowest answers of a sound one take about that long.
const hangFactor = 2

// readWhole reads the rest of an answer.
func (a *attempt) readWhole() (*whole, error) {
	x := a.x
	if err := x.s.hold(answerBytes); err != nil {
		// The request has run, so the code must not say otherwise.
		return nil, code.Wrap(err, code.AnswerIncomplete)
	}
	defer x.s.buffered.Add(-answerBytes)
	body, err := io.ReadAll(io.LimitReader(a.response.Body, answerBytes+1))
	switch {
	case err != nil && (x.gone() || a.silent.Load()):
		return nil, a.failure(err)
	case err != nil:
		return nil, code.New(code.AnswerIncomplete, "answer of upstream %s broke off after %d bytes: %w", a.upstream.ID, len(body), err)
	case len(body) > answerBytes:
		return nil, code.New(code.AnswerTruncated, "answer of upstream %s exceeds %d bytes", a.upstream.ID, answerBytes)
	}
	answer := &whole{status: a.response.StatusCode, header: endtoend.Header(a.response.Header), body: body}
	if answer.status >= http.StatusInternalServerError {
		return answer, code.New(code.UpstreamFailed, "upstream %s answered with status %d", a.upstream.ID, answer.status)
	}
	return answer, nil
}

// pass writes a whole answer to the caller.
func (x *exchange) pass(answer *whole) {
	x.begun = true
	x.status = answer.status
	x.firstAt = boottime.Now()
	header := x.w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if x.in.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		x.note("write the answer: %v", err)
		x.result = code.Wrap(err, code.CallerGone)
	}
}
