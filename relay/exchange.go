package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/citronscale/citronscale/admission"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/leaving"
	"github.com/citronscale/citronscale/route"
	"github.com/citronscale/citronscale/strike"
)

// exchange is the state of one request of a caller.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	request *http.Request
	ctx     context.Context

	arrived    time.Duration
	call       Call
	table      *route.Table
	route      *route.Route
	team       string
	body       []byte
	bodyMemory *buffer.Reservation
	// answerMemory is for the complete answer of the latest attempt.
	answerMemory *buffer.Reservation
	content      strike.Request
	deadlineAt   time.Duration // the earlier deadline of the caller and the route

	path           string
	target         url.URL // without a host
	service        route.Service
	tried          []string // upstreams of all attempts
	runs           int      // attempts that may have run
	attempts       int      // all attempts
	firstRecorded  bool     // the first attempt was added to the retry budget
	answerStarted  bool     // the first bytes of the answer were sent to the caller
	events         int
	unnumbered     bool          // the caller has an event without an identifier
	endUnconfirmed bool          // the stream ended after the last event at an upstream that says nothing of itself
	firstAt        time.Duration // first event, or start of a buffered answer
	lastAt         time.Duration // latest event
	maxGap         time.Duration // longest time between two events
	predictedFirst float64       // predicted time to the first event, in milliseconds
	helpers        []string      // helpers of the latest attempt
	rested         bool          // it waited until an upstream returned from a pause
	retryTaken     bool          // the retry of the failed attempt was taken from the budget
	helperAtFault  bool          // a helper of the latest attempt caused its refusal
	lostBefore     bool          // the connection of an attempt was lost
	explains       bool          // Explain asks; no state changes
	race           *race         // of the current attempt, nil if it gets no second send
	placedAt       time.Duration
	limitedAt      time.Duration // when the latest attempt was counted against a limit
	status         int
	framing        framing // of the latest answer
	result         error
	notes          []string // errors of the attempts, for the log line
	abort          bool     // the connection to the caller must be aborted
	queueID        uint64   // in the admission queue, 0 if it doesn't wait
	queuedAt       time.Duration
	turnAt         time.Duration // begin of the latest try after a wait
	judged         admission.Request
	lastTry        bool    // it is too late to wait again
	draw           float64 // by which it yields to more urgent streams, 0 before it is drawn
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return &exchange{
		s: s, w: w, request: r, ctx: r.Context(), arrived: boottime.Now(),
		call: s.dialect.Call(r.Header), path: path,
		bodyMemory: s.buffers.Reserve(), answerMemory: s.buffers.Reserve(),
	}
}

// admit finds the route and the team and reads the body.
func (x *exchange) admit() error {
	if err := x.resolve(); err != nil {
		return err
	}
	var err error
	if x.target, err = targetURL(x.request.RequestURI); err != nil {
		return err
	}
	left := x.route.Timeout
	if x.call.TimeLeft > 0 {
		left = min(left, x.call.TimeLeft)
	}
	x.deadlineAt = x.arrived + left
	if elapsed, isLeaving := x.s.leavingFor(x.arrived); isLeaving && elapsed > x.s.options.AdmitLeaving {
		return code.New(code.HostLeaving, "the planned stop began %v ago", elapsed)
	}
	if err := x.checkLeaving(x.arrived); err != nil {
		return err
	}
	return x.readBody()
}

// checkLeaving refuses a request that isn't expected to end before a planned stop cuts it.
// One whose caller has part of the answer goes on.
func (x *exchange) checkLeaving(now time.Duration) error {
	elapsed, isLeaving := x.s.leavingFor(now)
	if !isLeaving || x.answerStarted || x.s.options.CutLeaving == 0 {
		return nil
	}
	rest := x.s.options.CutLeaving - elapsed
	request := leaving.Request{
		Limit: x.deadlineAt - now, Usual: x.s.durations.Longest(x.route.Name, now), Repeatable: x.route.Repeatable(),
	}
	if request.Fits(rest) {
		return nil
	}
	return code.New(code.HostLeaving, "requests in flight are cut in %v, and those of route %q took up to %v, with %v to the deadline of this one",
		rest, x.route.Name, request.Usual, request.Limit)
}

// resolve finds the route of the request and the team of its caller in the current
// table. If it fails, the exchange keeps those that it had.
func (x *exchange) resolve() error {
	table, r, err := x.s.match(x.request.Host, x.path)
	if table != nil {
		x.table = table
	}
	if err != nil {
		return err
	}
	team, err := x.s.authorize(table, r, x.call.Key)
	if err != nil && x.route != nil {
		return err
	}
	x.route, x.team = r, team
	return err
}

// match finds the route of a request in the current table.
func (s *Server) match(host, path string) (*route.Table, *route.Route, error) {
	table := s.routes.Table()
	if table == nil {
		return nil, nil, code.New(code.HostNotReady, "no configuration is in force")
	}
	if r := table.Match(host, path); r != nil {
		return table, r, nil
	}
	if !table.RoutesComplete() {
		return table, nil, code.New(code.ConfigUnconfirmed, "no route matches in configuration version %d, of which a route can't be read", table.Version())
	}
	if !s.Fresh() {
		return table, nil, code.New(code.ConfigUnconfirmed, "no route matches in configuration version %d, whose confirmation is overdue", table.Version())
	}
	return table, nil, code.New(code.RouteUnknown, "no route matches host %q and path %q", host, path)
}

// authorize returns the name of the team that holds a key, or the empty string if
// the route needs no key.
func (s *Server) authorize(table *route.Table, r *route.Route, key string) (string, error) {
	if r.Public || !table.RequiresKeys() {
		return "", nil
	}
	if s.options.FailClosed && !s.Fresh() {
		return "", code.New(code.ConfigUnconfirmed, "configuration version %d was last confirmed %v ago", table.Version(), s.routes.Age(boottime.Now()))
	}
	team := table.Team(key)
	if team == nil {
		return "", code.New(code.TeamTokenInvalid, "the key belongs to no team in configuration version %d", table.Version())
	}
	return team.Name, nil
}

func (x *exchange) readBody() error {
	limit := x.table.Limits().BodyBytes
	if x.request.ContentLength > limit {
		return code.New(code.BodyTooLarge, "body has %d bytes, limit is %d", x.request.ContentLength, limit)
	}
	controller := http.NewResponseController(x.w)
	// Writers that don't support deadlines are only used in tests.
	_ = controller.SetReadDeadline(time.Now().Add(x.timeLeft()))
	body, err := x.bodyMemory.ReadAll(http.MaxBytesReader(x.w, x.request.Body, limit), x.request.ContentLength, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.New(code.BodyTooLarge, "body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.Wrap(err, code.DeadlineBeforeStart)
	case err != nil:
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	x.content = x.requestContent()
	return nil
}

// timeLeft returns the time until the deadline of the request.
func (x *exchange) timeLeft() time.Duration {
	return x.deadlineAt - boottime.Now()
}

// wallDeadline returns the deadline as wall-clock time, for the retry policy.
func (x *exchange) wallDeadline() time.Time {
	return time.Now().Add(x.timeLeft())
}

// callerGone reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool {
	return x.ctx.Err() != nil
}

// refuse answers with the status of an error. If a part of the answer was sent
// already, finish aborts the connection instead.
func (x *exchange) refuse(err error) {
	if x.runs == 0 && !x.answerStarted {
		err = x.withReturn(err)
	}
	if x.runs > 0 && code.Of(err).Outcome() == code.NotRun {
		err = code.Wrap(err, codeAfterRun(code.Of(err)))
	}
	x.result = err
	if x.answerStarted {
		x.abort = true
		return
	}
	c := code.Of(err)
	x.status = c.Status()
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	after, ok := x.s.retryAfter(c)
	if wait, known := x.s.retryAfterRoom(err); known {
		after, ok = wait, true
	}
	var limited *limitError
	if errors.As(err, &limited) && (c == code.UpstreamLimit || c == code.UpstreamResting) {
		after, ok = x.s.retryAfterLimit(limited), true
	}
	if ok {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	body, encodeErr := json.Marshal(code.ProblemOf(err))
	if encodeErr != nil {
		x.addNote("encode the problem: %v", encodeErr)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(x.status)
	if err := x.write(body); err != nil {
		x.addNote("write the refusal: %v", err)
	}
}

// codeAfterRun returns the code of a request that is refused after an attempt that may
// have run.
func codeAfterRun(refusal code.Code) code.Code {
	if refusal == code.RequestQuarantined {
		return code.QuarantinedAfterRun
	}
	return code.UpstreamLost
}

// retryAfter returns the delay after which a refused caller should retry: none
// if another host can serve the request, and a random one if no host has
// capacity, so that the callers don't return together.
func (s *Server) retryAfter(c code.Code) (time.Duration, bool) {
	switch c {
	case code.NoCapacity, code.BufferFull, code.DeadlineTooShort:
		jitter := withRand(s, func(rng *rand.Rand) int64 { return rng.Int64N(int64(retryAfterMax - retryAfterMin)) })
		return (retryAfterMin + time.Duration(jitter)).Round(time.Millisecond), true
	case code.HostLeaving, code.HostNotReady, code.ConfigUnconfirmed, code.UpstreamUnavailable, code.RetryBudgetSpent:
		return 0, true
	default:
		return 0, false
	}
}

// retryAfterMin and retryAfterMax bound the random delay of callers that were
// refused for lack of capacity. A short stream ends in about that time.
const (
	retryAfterMin = time.Second
	retryAfterMax = 2 * time.Second
)

func (x *exchange) addNote(format string, args ...any) {
	const maxNotes = 6 // keeps log lines short
	if len(x.notes) < maxNotes {
		x.notes = append(x.notes, fmt.Sprintf(format, args...))
	}
}

// finish logs the request, and aborts the connection if the answer can't be
// completed.
func (x *exchange) finish() {
	c := code.Of(x.result)
	took := boottime.Now() - x.arrived
	if x.s.lines.allow(c == code.OK, time.Now(), x.s.log) {
		x.logRequest(c, took)
	}
	x.recordMetrics(c, took)
	if x.route != nil && x.runs > 0 && c != code.CallerGone {
		x.s.durations.Record(x.route.Name, took, x.arrived+took)
	}
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) logRequest(c code.Code, took time.Duration) {
	line := x.s.log.Emit(event.RequestRelayed).
		Str("request", x.call.ID).Int("code", int(c)).Str("result", c.Name()).Int("status", x.status).
		Dur("took", took).Dur("deadline", x.call.TimeLeft).Int("attempts", x.attempts).Strs("upstreams", x.tried).Str("team", x.team)
	if x.route != nil {
		line = line.Str("route", x.route.Name).Str("kind", x.route.Kind.String()).Str("service", x.service.Name)
	}
	if x.table != nil {
		line = line.Uint64("config", x.table.Version()).Dur("config_age", x.s.routes.Age(boottime.Now()))
	}
	if c != code.OK && len(x.call.Parts) > 0 {
		line = line.Strs("parts", partNames(x.call.Parts))
	}
	if c == code.RequestQuarantined || c == code.QuarantinedAfterRun {
		line = line.Str("content", partName(x.content.Content))
	}
	if x.predictedFirst > 0 {
		line = line.Int("prompt", x.call.PromptTokens).Float64("expected_ms", x.predictedFirst).Int("events", x.events).
			Strs("helpers", x.helpers).Dur("placed", x.placedAt-x.arrived)
		if x.firstAt > 0 {
			line = line.Dur("first", x.firstAt-x.arrived).Dur("pause", x.maxGap)
		}
	}
	if x.framing != "" {
		line = line.Str("framing", string(x.framing))
	}
	if len(x.notes) > 0 {
		line = line.Strs("notes", x.notes)
	}
	if x.result != nil {
		line = line.Str("detail", x.result.Error())
	}
	line.Msg("")
}

func (x *exchange) recordMetrics(c code.Code, took time.Duration) {
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	x.s.metrics.RelayFinished(kind, c, took)
	if x.firstAt > 0 {
		first := x.firstAt - x.arrived
		x.s.metrics.RelayFirstEvent(kind, first, x.predictedFirst/1000)
	}
}

// outcomeOf returns the outcome that the error of an attempt counts as for its
// upstream.
func outcomeOf(err error) fleet.Outcome {
	switch code.Of(err) {
	case code.OK:
		return fleet.Answered
	case code.UpstreamUnavailable, code.UpstreamSilent, code.UpstreamLost:
		return fleet.Unreachable
	case code.NoCapacity, code.UpstreamLimit:
		return fleet.Refused
	case code.CallerGone, code.CallerGoneBeforeStart, code.DeadlineExceeded:
		return fleet.Abandoned
	default:
		return fleet.Failed
	}
}
