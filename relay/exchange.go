package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/route"
)

// exchange is one request of a caller and what became of it.
type exchange struct {
	s   *Server
	w   http.ResponseWriter
	in  *http.Request
	ctx context.Context

	arrived time.Duration
	call    Call
	table   *route.Table
	route   *route.Route
	team    string
	body    []byte
	until   time.Duration // neither the caller nor the route waits longer

	path     string
	service  route.Service
	tried    []string // upstreams that got an attempt
	runs     int      // attempts that may have run
	sends    int      // attempts in all
	counted  bool     // in the retry budget
	begun    bool     // the answer is under way to the caller
	events   int
	firstAt  time.Duration
	lastAt   time.Duration // of the latest event
	pause    time.Duration // the longest between two events
	expected float64       // milliseconds until the first event, as predicted
	helpers  []string      // of the last attempt
	placedAt time.Duration
	status   int
	result   error
	notes    []string // why attempts failed
	broken   bool     // the connection to the caller must be cut
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return &exchange{
		s: s, w: w, in: r, ctx: r.Context(), arrived: boottime.Now(),
		call: s.dialect.Call(r.Header), path: path,
	}
}

// admit finds the route and the team and reads the body.
func (x *exchange) admit() error {
	if err := x.resolve(); err != nil {
		return err
	}
	if err := x.authorize(); err != nil {
		return err
	}
	left := x.route.Timeout
	if x.call.TimeLeft > 0 {
		left = min(left, x.call.TimeLeft)
	}
	x.until = x.arrived + left
	if since, leaving := x.s.leavingFor(x.arrived); leaving && since > x.s.options.AdmitLeaving {
		return code.New(code.HostLeaving, "host is leaving since %v", since)
	}
	return x.readBody()
}

// resolve looks the request up in the table in force.
func (x *exchange) resolve() error {
	x.table = x.s.routes.Table()
	if x.table == nil {
		return code.New(code.HostNotReady, "no configuration is in force")
	}
	x.route = x.table.Match(x.in.Host, x.path)
	if x.route != nil {
		return nil
	}
	if !x.s.Fresh() {
		return code.New(code.ConfigUnconfirmed, "no route matches in version %d, which is not confirmed", x.table.Version())
	}
	return code.New(code.RouteUnknown, "no route matches host %q and path %q", x.in.Host, x.path)
}

// authorize finds the team of the caller's key.
func (x *exchange) authorize() error {
	if x.route.Public || !x.table.HasTeams() {
		return nil
	}
	if x.s.options.FailClosed && !x.s.Fresh() {
		return code.New(code.ConfigUnconfirmed, "version %d was last confirmed %v ago", x.table.Version(), x.s.routes.Age(x.arrived))
	}
	team := x.table.Team(x.call.Key)
	if team == nil {
		return code.New(code.TeamTokenInvalid, "the key belongs to no team in version %d", x.table.Version())
	}
	x.team = team.Name
	return nil
}

func (x *exchange) readBody() error {
	limit := x.table.Limits().BodyBytes
	if x.in.ContentLength > limit {
		return code.New(code.BodyTooLarge, "body has %d bytes, limit is %d", x.in.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.in.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.New(code.BodyTooLarge, "body exceeds %d bytes", limit)
	case err != nil:
		return code.New(code.BodyIncomplete, "read the body: %w", err)
	}
	if err := x.s.hold(int64(len(body))); err != nil {
		return err
	}
	x.body = body
	return nil
}

// left returns the time until nobody waits any more.
func (x *exchange) left() time.Duration {
	return x.until - boottime.Now()
}

// deadline is the same as a reading of the wall clock, for the retry rule.
func (x *exchange) deadline() time.Time {
	return time.Now().Add(x.left())
}

// gone reports whether the caller has closed its connection.
func (x *exchange) gone() bool {
	return x.ctx.Err() != nil
}

// refuse answers with the status of an error, or cuts the connection if the
// answer is under way.
func (x *exchange) refuse(err error) {
	if x.runs > 0 && code.Of(err).Outcome() == code.NotRun {
		err = code.Wrap(err, code.UpstreamLost) // an earlier attempt may have run
	}
	x.result = err
	if x.begun {
		x.broken = true
		return
	}
	c := code.Of(err)
	x.status = c.Status()
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	if after, ok := x.s.retryAfter(c); ok {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	body, encodeErr := json.Marshal(code.ProblemOf(err))
	if encodeErr != nil {
		x.note("encode the problem: %v", encodeErr)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(body); err != nil {
		x.note("write the refusal: %v", err)
	}
}

// retryAfter returns when a refused caller should come back: at once where
// another host can serve it, later, and not all together, where all are short of
// room.
func (s *Server) retryAfter(c code.Code) (time.Duration, bool) {
	switch c {
	case code.NoCapacity, code.BufferFull, code.DeadlineTooShort:
		spread := draw(s, func(rng *rand.Rand) int64 { return rng.Int64N(int64(returnMost - returnLeast)) })
		return (returnLeast + time.Duration(spread)).Round(time.Millisecond), true
	case code.HostLeaving, code.HostNotReady, code.ConfigUnconfirmed, code.UpstreamUnavailable, code.RetryBudgetSpent:
		return 0, true
	default:
		return 0, false
	}
}

// returnLeast and returnMost spread the returns of callers that found no room. A
// short stream frees its place in about that time.
const (
	returnLeast = time.Second
	returnMost  = 2 * time.Second
)

func (x *exchange) note(format string, args ...any) {
	const mostNotes = 6 // keeps log lines short
	if len(x.notes) < mostNotes {
		x.notes = append(x.notes, fmt.Sprintf(format, args...))
	}
}

// finish writes the line of the request, and cuts the connection if the answer
// can't be completed.
func (x *exchange) finish() {
	c := code.Of(x.result)
	took := boottime.Now() - x.arrived
	if x.s.lines.allow(c == code.OK, time.Now(), x.s.log) {
		x.writeLine(c, took)
	}
	x.observe(c, took)
	if x.broken {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) writeLine(c code.Code, took time.Duration) {
	line := x.s.log.Emit(event.RequestRelayed).
		Str("request", x.call.ID).Int("code", int(c)).Str("result", c.Name()).Int("status", x.status).
		Dur("took", took).Dur("deadline", x.call.TimeLeft).Int("attempts", x.sends).Strs("upstreams", x.tried).Str("team", x.team)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Str("kind", x.route.Kind.String()).Str("service", x.service.Name)
	}
	if x.table != nil {
		line = line.Uint64("config", x.table.Version()).Dur("config_age", x.s.routes.Age(boottime.Now()))
	}
	if x.expected > 0 {
		line = line.Int("prompt", x.call.Prompt).Float64("expected_ms", x.expected).Int("events", x.events).
			Strs("helpers", x.helpers).Dur("placed", x.placedAt-x.arrived)
		if x.firstAt > 0 {
			line = line.Dur("first", x.firstAt-x.arrived).Dur("pause", x.pause)
		}
	}
	if len(x.notes) > 0 {
		line = line.Strs("notes", x.notes)
	}
	if x.result != nil {
		line = line.Str("detail", x.result.Error())
	}
	line.Msg("")
}

func (x *exchange) observe(c code.Code, took time.Duration) {
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	x.s.metrics.Relayed(kind, c, took)
	if x.firstAt > 0 {
		first := x.firstAt - x.arrived
		x.s.metrics.RelayedFirstEvent(kind, first, x.expected/1000)
	}
}

// outcomeOf says what a failure teaches about an upstream.
func outcomeOf(err error) fleet.Outcome {
	switch code.Of(err) {
	case code.OK:
		return fleet.Answered
	case code.UpstreamUnavailable, code.UpstreamSilent, code.UpstreamLost:
		return fleet.Unreachable
	case code.NoCapacity:
		return fleet.Full
	case code.CallerGone, code.CallerGoneBeforeStart, code.DeadlineExceeded:
		return fleet.Abandoned
	default:
		return fleet.Failed
	}
}
