package relay

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/admission"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/route"
)

const (
	// maxWaiting bounds the streams that wait at a host. At 43,000 requests a second over
	// 700 hosts it is the load of two seconds, the longest wait for a short stream.
	maxWaiting = 128
	// waitingBytesShare is the share of the buffers that bodies of waiting streams may
	// take; the rest is for those that can run.
	waitingBytesShare = 0.5
	// waitPoll is the longest time between two passes over the queue: peers may be silent
	// while their streams end as predicted.
	waitPoll = 50 * time.Millisecond
	// minPassInterval bounds the passes for news of peers, which come hundreds of times a
	// second in a large fleet, and maxTryShare the share of the time that tries of waiting
	// streams take: each simulates all engines, and the smallest hosts have 0.13 cores.
	minPassInterval = 20 * time.Millisecond
	maxTryShare     = 0.05
	// minRetryJitter is the least range of the random part of Retry-After.
	minRetryJitter = 500 * time.Millisecond
	// maxHolders is the number of engines that may hold a prompt together.
	maxHolders = 16
	// shareLogInterval is the least time between two log lines about one team.
	shareLogInterval = time.Second
)

// Ends of a wait, in metrics.
const (
	waitServed  = "served"
	waitRefused = "refused"
	waitEvicted = "evicted"
	waitGone    = "caller gone"
)

// Reasons of refusals, in metrics.
const (
	refusedRoom  = "room"       // no answer is possible by the forecast
	refusedShare = "share"      // the team is over its share
	refusedFull  = "queue full" // by number or bytes
	refusedLate  = "waited"     // it got no room in time although it was expected to
	refusedFirst = "first"      // the first event would come too late
)

// admissionQueue holds the streams of this host that wait for room.
type admissionQueue struct {
	s       *Server
	waiting atomic.Int32 // length of the queue, read without the lock
	lastID  atomic.Uint64
	ranks   atomic.Pointer[tableRanks]

	mu     sync.Mutex
	queue  *admission.Queue
	turns  map[uint64]*turn
	passAt time.Duration         // begin of the latest pass
	tried  time.Duration         // duration of the latest try that found no room
	shares map[string]*teamShare // of teams that were over their share lately
}

// turn wakes a stream that waits.
type turn struct {
	ready   chan struct{} // capacity 1
	evicted chan struct{} // closed when a more urgent stream takes its place in a full queue
}

// tableRanks are the ranks of the streams of a table.
type tableRanks struct {
	table *route.Table
	ranks *admission.Ranks
}

// teamShare is the latest state of a team while room is scarce.
type teamShare struct {
	over           bool
	loggedAt       time.Duration
	running, share float64
}

func newAdmissionQueue(s *Server) *admissionQueue {
	limits := admission.Limits{Items: maxWaiting, Bytes: int64(waitingBytesShare * float64(s.options.BufferBytes))}
	return &admissionQueue{s: s, queue: admission.NewQueue(limits), turns: map[uint64]*turn{}, shares: map[string]*teamShare{}}
}

func (s *Server) queuesStreams() bool {
	return s.admission != nil && s.options.QueueStreams
}

// roomError refuses a stream for lack of room.
type roomError struct {
	error
	request admission.Request
	mayWait bool
	wait    time.Duration // until it is expected to get room
	known   bool          // there is such a forecast
	full    bool          // no engine has a slot and the memory
	turn    bool          // more urgent streams are tried first
	reason  string        // in metrics
}

func (e *roomError) Unwrap() error { return e.error }

// ranksOf returns the ranks of a table. They are computed once for each table.
func (a *admissionQueue) ranksOf(table *route.Table) *admission.Ranks {
	if r := a.ranks.Load(); r != nil && r.table == table {
		return r.ranks
	}
	r := &tableRanks{table, admission.NewRanks(table.Config())}
	a.ranks.Store(r)
	return r.ranks
}

// urgency returns the priority of a stream that is sent to engines.
func (x *exchange) urgency() int {
	if x.s.queuesStreams() {
		return x.s.admission.ranksOf(x.table).Engine(x.team, x.route)
	}
	return admission.GoalUrgency(x.route.Goal)
}

// teamDigest returns the digest of the team that is told to peers, or 0 if shares are off.
func (x *exchange) teamDigest() uint16 {
	if !x.s.options.TeamShares {
		return 0
	}
	return admission.TeamDigest(x.team)
}

func (x *exchange) admissionRequest(costs *costmodel.Costs, request place.Request, engines int) admission.Request {
	times := admission.Times{Arrived: x.arrived, DeadlineAt: x.deadlineAt, Goal: x.route.Goal, GapGoal: x.route.GapGoal}
	if x.draw == 0 {
		x.draw = withRand(x.s, func(rng *rand.Rand) float64 { return rng.Float64() })
	}
	r := admission.Request{
		ID: x.queueID, Draw: x.draw, Service: x.service.Name, Team: x.teamDigest(), Rank: x.s.admission.ranksOf(x.table).Rank(x.team, x.route),
		Tokens: place.MainTokens(costs, request, engines), Work: request.Prompt + request.Answer, Bytes: int64(len(x.body)), Arrived: x.arrived,
	}
	r.GoalBy, r.StartBy = admission.LatestStarts(costs, request, engines, times)
	r.StartBy -= minAttemptTime
	return r
}

// judge decides whether a stream with the given plan runs now. The caller must hold
// Server.placing.
func (x *exchange) judge(costs *costmodel.Costs, engines []place.Engine, request place.Request, plan place.Plan, ok bool, now time.Duration) (place.Plan, bool, error) {
	a := x.s.admission
	if a == nil || x.answerStarted {
		return plan, ok, nil
	}
	r := x.admissionRequest(costs, request, len(engines))
	situation := admission.Situation{
		Costs: costs, Engines: engines, Queue: a.queue, Hosts: x.s.peers.Hosts(),
		Queues: x.s.options.QueueStreams, Shares: x.s.options.TeamShares, Now: now,
		Streams: func() []place.Stream { return runningOn(engines, x.s.ledger.All(now)) },
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Yields = a.queue.Yields(&r, now)
	if x.queueID == 0 && x.s.options.QueueStreams && a.queue.Preceded(&r, now) {
		return plan, false, &roomError{error: code.New(code.NoCapacity, "more urgent streams wait for room"), request: r, mayWait: true, turn: true, reason: refusedRoom}
	}
	verdict := situation.Judge(&r, ok, x.queueID != 0)
	if verdict.Action == admission.RefuseRoom && !ok && x.s.options.QueueStreams {
		if plan, ok = x.decideAmongAll(costs, engines, request, now); ok {
			verdict = situation.Judge(&r, ok, x.queueID != 0)
		}
	}
	if !x.explains {
		a.noteShare(x.team, &verdict, now)
	}
	x.judged = r
	return plan, ok, x.roomErrorOf(&r, &verdict, ok, len(engines), request.Prompt)
}

func (x *exchange) roomErrorOf(r *admission.Request, v *admission.Verdict, room bool, engines, prompt int) error {
	e := &roomError{request: *r, mayWait: v.Action == admission.Wait, wait: v.Wait, known: v.Known, reason: refusedRoom}
	switch {
	case v.Action == admission.Run, !x.s.options.QueueStreams && !v.Over:
		return nil
	case v.Over:
		e.reason = refusedShare
		e.error = code.New(code.TeamOverShare, "the team runs %.0f tokens of work, its share is %.0f", v.Running, v.Share)
	case room:
		e.error = code.New(code.NoCapacity, "room is scarce and left to more urgent streams")
	default:
		e.full = true
		e.error = code.New(code.NoCapacity, "none of %d engines has capacity for a prompt of %d tokens, the first one is expected to in %v", engines, prompt, v.Wait)
	}
	return e
}

// admitted records that a stream runs.
func (x *exchange) admitted(now time.Duration) {
	a := x.s.admission
	if a == nil || x.answerStarted || x.isSecond() {
		return
	}
	a.mu.Lock()
	a.queue.Record(&x.judged, true, now)
	a.mu.Unlock()
	x.leaveQueue(waitServed)
}

// decideAmongAll decides on a stream that would be refused, without the preference for the
// engines of the own group and without sparing the last slots of others.
func (x *exchange) decideAmongAll(costs *costmodel.Costs, engines []place.Engine, request place.Request, now time.Duration) (place.Plan, bool) {
	for i := range engines {
		e := &engines[i]
		e.Shared, e.AtLimit = false, e.Limited && e.AtLimit
	}
	return x.decide(costs, engines, request, now)
}

// runningOn returns the streams that the given engines decode.
func runningOn(engines []place.Engine, streams []place.Stream) []place.Stream {
	keys := make(map[uint64]bool, len(engines))
	for i := range engines {
		keys[engines[i].Key] = true
	}
	return slices.DeleteFunc(streams, func(s place.Stream) bool { return len(s.Engines) == 0 || !keys[s.Engines[0]] })
}

// tooLate returns the refusal of a stream whose first event would come too late by the
// given time.
func (x *exchange) tooLate(by time.Duration, refusal error) error {
	if !x.s.queuesStreams() {
		return refusal
	}
	return &roomError{error: refusal, wait: by, known: true, reason: refusedFirst}
}

// notReserved lets a stream wait whose helpers have no memory for their parts.
func (x *exchange) notReserved(reason error, request place.Request) error {
	if !x.s.queuesStreams() || x.answerStarted || x.ctx.Err() != nil {
		return reason
	}
	r := x.admissionRequest(x.service.Engine, request, maxHolders)
	return &roomError{
		error: reason, request: r, mayWait: admission.MayWait(&r, waitPoll, boottime.Now(), false),
		wait: waitPoll, known: true, reason: refusedRoom,
	}
}

// awaitRoom waits until it is the turn of a stream that found no room, and reports whether
// to try again. Otherwise it returns the error to refuse the stream with.
func (x *exchange) awaitRoom(reason error) (again bool, err error) {
	var room *roomError
	if x.s.admission == nil || !errors.As(reason, &room) {
		x.leaveQueue(waitRefused)
		return false, reason
	}
	if !room.mayWait || x.answerStarted {
		if x.queueID != 0 && room.reason == refusedRoom {
			room.reason = refusedLate
		}
		x.leaveQueue(waitRefused)
		return false, reason
	}
	t := x.s.admission.enter(x, room)
	if t == nil {
		room.reason = refusedFull
		return false, reason
	}
	if err := x.awaitTurn(t, room); err != nil {
		return false, err
	}
	x.turnAt = boottime.Now()
	if err := x.reroute(); err != nil { // the configuration may have changed
		x.leaveQueue(waitRefused)
		return false, err
	}
	return true, nil
}

// awaitTurn waits for the turn of a stream in the queue.
func (x *exchange) awaitTurn(t *turn, room *roomError) error {
	timer := time.NewTimer(waitPoll)
	defer timer.Stop()
	for {
		left := room.request.StartBy - boottime.Now()
		if left <= waitPoll && !x.lastTry {
			x.lastTry = true
			return nil
		}
		if left <= 0 {
			room.reason = refusedLate
			x.leaveQueue(waitRefused)
			return room
		}
		timer.Reset(min(left, waitPoll))
		select {
		case <-t.ready:
			return nil
		case <-t.evicted:
			room.reason = refusedFull
			x.queueID = 0
			return room
		case <-x.ctx.Done():
			x.leaveQueue(waitGone)
			return code.New(code.CallerGoneBeforeStart, "the caller closed its connection while the request waited for room")
		case <-timer.C:
			x.s.admission.pass(waitPoll)
		}
	}
}

// enter adds a stream to the queue, or records that it found no room again. It returns nil
// if the queue is full.
func (a *admissionQueue) enter(x *exchange, room *roomError) *turn {
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.offerNext(now)
	if t := a.turns[x.queueID]; t != nil {
		a.tried = now - x.turnAt
		a.recordTry(room)
		return t
	}
	room.request.ID = a.lastID.Add(1)
	evicted, ok := a.queue.Push(room.request, now)
	for i := range evicted {
		close(a.turns[evicted[i].ID].evicted)
		delete(a.turns, evicted[i].ID)
		a.s.metrics.RelayWaited(waitEvicted, now-evicted[i].Arrived)
	}
	if !ok {
		return nil
	}
	t := &turn{ready: make(chan struct{}, 1), evicted: make(chan struct{})}
	a.turns[room.request.ID] = t
	a.countWaiting()
	x.queueID, x.queuedAt = room.request.ID, now
	a.recordTry(room)
	a.s.log.Emit(event.RequestWaits).Str("request", x.call.ID).Str("route", x.route.Name).Str("team", x.team).
		Dur("expected", room.wait).Int("waiting", a.queue.Len()).Msg("")
	return t
}

// recordTry records that a stream in the queue was tried. The caller must hold the lock.
func (a *admissionQueue) recordTry(room *roomError) {
	switch {
	case room.full:
		a.queue.Failed(&room.request)
	case !room.turn:
		a.queue.Tried(room.request.ID)
	}
}

// leaveQueue removes a stream from the queue, if it is there, and offers room to the next.
func (x *exchange) leaveQueue(end string) {
	if x.queueID == 0 {
		return
	}
	a, now := x.s.admission, boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Remove(x.queueID) {
		delete(a.turns, x.queueID)
		a.countWaiting()
		a.s.metrics.RelayWaited(end, now-x.queuedAt)
	}
	x.queueID = 0
	a.offerNext(now)
}

func (a *admissionQueue) countWaiting() {
	a.waiting.Store(int32(a.queue.Len()))
	a.s.metrics.RelayWaiting(a.queue.Len())
}

// streamEnded begins a pass after a stream of this host ended. The receiver may be nil.
func (a *admissionQueue) streamEnded() {
	if a != nil {
		a.pass(0)
	}
}

// peersHeard begins a pass after news of peers.
func (a *admissionQueue) peersHeard() {
	a.pass(minPassInterval)
}

// pass begins a pass over the queue unless the latest one began within an interval. Room
// that comes free meanwhile is found by the poll.
func (a *admissionQueue) pass(interval time.Duration) {
	if a.waiting.Load() == 0 {
		return
	}
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.passAt < max(interval, min(time.Duration(float64(a.tried)/maxTryShare), waitPoll)) {
		return
	}
	a.passAt = now
	a.queue.BeginPass(now)
	a.offerNext(now)
}

// offerNext wakes the next stream of the pass. The caller must hold the lock.
func (a *admissionQueue) offerNext(now time.Duration) {
	id, ok := a.queue.Next(now)
	if !ok {
		return
	}
	select {
	case a.turns[id].ready <- struct{}{}:
	default: // it is awake already
	}
}

// noteShare records and logs whether a team is over its share. The caller must hold the
// lock.
func (a *admissionQueue) noteShare(team string, v *admission.Verdict, now time.Duration) {
	known, ok := a.shares[team]
	if !ok && !v.Over {
		return
	}
	if !ok {
		known = &teamShare{loggedAt: now - shareLogInterval}
		a.shares[team] = known
	}
	known.running, known.share = v.Running, v.Share
	if known.over == v.Over || now-known.loggedAt < shareLogInterval {
		return
	}
	known.over, known.loggedAt = v.Over, now
	a.s.log.Emit(event.TeamOverShare).Str("team", team).Bool("over", v.Over).Float64("running", v.Running).Float64("share", v.Share).Msg("")
	if !v.Over {
		delete(a.shares, team) // the map holds no team that isn't over its share
	}
}

// retryAfterRoom returns the delay after which the caller of a stream that was refused for
// lack of room should retry: the forecast and a random time, so that the callers don't
// return together.
func (s *Server) retryAfterRoom(err error) (time.Duration, bool) {
	var room *roomError
	if !errors.As(err, &room) || code.Of(err) != code.Of(room.error) {
		return 0, false
	}
	s.admission.recordRefusal(room)
	jitter := withRand(s, func(rng *rand.Rand) int64 { return rng.Int64N(int64(max(minRetryJitter, room.wait/2))) })
	return (room.wait + time.Duration(jitter)).Round(time.Millisecond), room.known
}

// recordRefusal counts a stream that is refused.
func (a *admissionQueue) recordRefusal(room *roomError) {
	a.s.metrics.RelayAdmissionRefused(room.reason)
	if room.reason == refusedShare || room.request.Service == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Record(&room.request, false, boottime.Now())
}

// AdmissionEntry is the form in dumps of the streams that wait for room.
type AdmissionEntry struct {
	Waiting []WaitingEntry      `json:"waiting"` // in the order in which they get room
	Bytes   int64               `json:"bytes"`   // of their bodies
	Over    map[string]TeamWork `json:"over"`    // teams over their share
}

// WaitingEntry is the form in dumps of a stream that waits for room.
type WaitingEntry struct {
	Service string        `json:"service"`
	Rank    int           `json:"rank"`
	Tokens  int           `json:"tokens"`
	Waited  time.Duration `json:"waited_ns"`
	Left    time.Duration `json:"left_ns"` // until no answer is possible
}

// TeamWork is the form in dumps of the work of a team, in tokens.
type TeamWork struct {
	Running float64 `json:"running"`
	Share   float64 `json:"share"`
}

// Admission returns the streams that wait for room, for dumps.
func (s *Server) Admission(now time.Duration) AdmissionEntry {
	e := AdmissionEntry{Waiting: []WaitingEntry{}, Over: map[string]TeamWork{}}
	a := s.admission
	if a == nil {
		return e
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	e.Bytes = a.queue.Bytes()
	for _, r := range a.queue.Waiting(now) {
		e.Waiting = append(e.Waiting, WaitingEntry{Service: r.Service, Rank: r.Rank, Tokens: r.Tokens, Waited: now - r.Arrived, Left: r.StartBy - now})
	}
	for team, share := range a.shares {
		e.Over[team] = TeamWork{Running: share.running, Share: share.share}
	}
	return e
}
