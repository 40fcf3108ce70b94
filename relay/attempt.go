package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/endtoend"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/route"
)

// attempt is one request to one upstream.
type attempt struct {
	x        *exchange
	upstream fleet.Upstream
	ctx      context.Context
	cancel   context.CancelFunc
	watch    *sentconn.Watch
	timer    *time.Timer
	silent   atomic.Bool // the timer ended the attempt
	others   func() bool // the request may go on at another upstream
	begun    atomic.Bool // the answer is under way to the caller
	response *http.Response
	answer   Answer
}

// send sends the request and waits for the headers of the answer. It fails
// with the code that the request ends with if nothing else is tried. The caller
// closes the attempt.
func (x *exchange) send(send Send, wait time.Duration) (*attempt, error) {
	a := &attempt{x: x, upstream: send.Upstream}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	a.watch, a.ctx = sentconn.NewWatch(a.ctx)
	x.sends++
	x.runs++
	x.tried = append(x.tried, send.Upstream.ID)
	a.others = x.othersLeft()
	a.begun.Store(x.begun)
	a.timer = time.AfterFunc(wait, a.giveUp)
	response, err := x.s.transport.RoundTrip(x.outgoing(a.ctx, send)) //nolint:bodyclose // attempt.close closes it
	if err != nil {
		failure := a.failure(err)
		a.close()
		return nil, failure
	}
	a.response = response
	a.answer = x.s.dialect.Answer(response.StatusCode, response.Header)
	if err := a.check(); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// giveUp ends an attempt that made no progress for its wait. A silent upstream
// may still answer, so an answer that is under way and can't go on elsewhere waits
// to its end, and so does a request that the caller can't repeat either.
func (a *attempt) giveUp() {
	bound := a.begun.Load() || !a.x.route.Repeatable()
	if left := a.x.left(); left > minAttempt && bound && !a.others() {
		a.timer.Reset(left)
		return
	}
	a.silent.Store(true)
	a.cancel()
}

// othersLeft returns a function that reports whether the request may be tried
// once more after the present attempt. The timer calls it from its own goroutine,
// so it works on copies.
func (x *exchange) othersLeft() func() bool {
	if !x.route.Repeatable() || x.runs >= x.route.Attempts {
		return func() bool { return false }
	}
	service, tried := x.service.Name, slices.Clone(x.tried)
	return func() bool {
		if !x.s.mayRepeat(service) {
			return false
		}
		views := x.s.upstreams.Of(service, boottime.Now())
		return slices.ContainsFunc(views, func(v fleet.View) bool { return !v.Avoided && !slices.Contains(tried, v.ID) })
	}
}

// extend lets the attempt go on for another wait after an event.
func (a *attempt) extend(wait time.Duration) {
	a.begun.Store(true)
	a.timer.Reset(wait)
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close() // the connection is not used again
	}
}

func (x *exchange) outgoing(ctx context.Context, send Send) *http.Request {
	header := x.s.dialect.Outgoing(endtoend.Header(x.in.Header), send)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // net/http would add its own
	}
	out := &http.Request{
		Method: x.in.Method, URL: &url.URL{Scheme: "http", Host: send.Upstream.Address, Opaque: x.in.RequestURI},
		Host: x.in.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(x.body)), Body: http.NoBody,
	}
	if len(x.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return out.WithContext(ctx)
}

// failure turns an error of the connection into a code.
func (a *attempt) failure(err error) error {
	x := a.x
	sent := a.watch.Sent()
	switch {
	case !sent && x.gone():
		return code.New(code.CallerGoneBeforeStart, "the caller left")
	case !sent && x.left() <= 0:
		return code.New(code.DeadlineBeforeStart, "upstream %s was not reached in time: %w", a.upstream.ID, err)
	case !sent:
		x.runs--
		return code.New(code.UpstreamUnavailable, "reach upstream %s at %s: %w", a.upstream.ID, a.upstream.Address, err)
	case x.gone():
		return code.New(code.CallerGone, "the caller left")
	case x.left() <= minAttempt:
		return code.New(code.DeadlineExceeded, "no whole answer from upstream %s in time", a.upstream.ID)
	case a.silent.Load():
		return code.New(code.UpstreamSilent, "upstream %s made no progress", a.upstream.ID)
	default:
		return code.New(code.UpstreamLost, "upstream %s at %s: %w", a.upstream.ID, a.upstream.Address, err)
	}
}

// check fails if the answer says that the request did not run, or can't be the
// answer to this request.
func (a *attempt) check() error {
	x := a.x
	status := a.response.StatusCode
	switch {
	case a.answer.NotRun:
		x.runs--
		return code.New(code.NoCapacity, "upstream %s refused with status %d, fault %q", a.upstream.ID, status, a.answer.Fault)
	case a.answer.RequestID != x.call.ID:
		return code.New(code.AnswerIncomplete, "upstream %s answered request %q", a.upstream.ID, a.answer.RequestID)
	case !a.answer.Sealed || a.response.Header.Get("Content-Encoding") != "":
		return code.New(code.AnswerIncomplete, "upstream %s sent status %d without a seal", a.upstream.ID, status)
	}
	return nil
}

// again applies the retry rule to a failed attempt. It returns the final error
// if nothing else is tried.
func (x *exchange) again(failed error) error {
	x.note("%v", failed)
	if len(x.helpers) > 0 {
		x.note("helpers %v", x.helpers)
	}
	if x.gone() {
		return failed
	}
	c := code.Of(failed)
	failure := retry.Failure{
		Code: c, Attempt: x.runs, Idempotent: x.route.Repeatable(), Reported: true, Deadline: x.deadline(),
	}
	most := x.route.Attempts
	if c.Outcome() == code.NotRun {
		failure.Attempt = x.sends
		most += refusalsMore
	}
	if c == code.UpstreamUnavailable && x.sends < most && x.left() > minAttempt {
		return x.reroute() // nothing arrived anywhere, so the budget is not touched
	}
	decision := x.s.decide(x.service.Name, most, failure)
	if decision.Retry {
		x.s.metrics.RelayRetried(x.route.Kind.String(), c)
		return x.reroute()
	}
	if decision.Code != c {
		return code.Wrap(failed, decision.Code)
	}
	return failed
}

// refusalsMore is how many attempts that did not run are made beyond the
// attempts of a route. The retry budget bounds them over time.
const refusalsMore = 2

// reroute looks the request up anew: the configuration may have changed since
// the last attempt.
func (x *exchange) reroute() error {
	kind, team := x.route.Kind, x.team
	if err := x.resolve(); err != nil {
		return err
	}
	if err := x.authorize(); err != nil {
		return err
	}
	if x.route.Kind != kind || x.team != team {
		return code.New(code.UpstreamUnavailable, "the route changed to kind %v while the request waited", x.route.Kind)
	}
	return nil
}

// chooseService draws the service of the next attempt.
func (x *exchange) chooseService() {
	table, r := x.table, x.route
	x.service = draw(x.s, func(rng *rand.Rand) route.Service { return table.Service(r, rng) })
	if !x.counted {
		x.counted = true
		x.s.countFirst(x.service.Name)
	}
}
