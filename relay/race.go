package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/route"
)

// race is one attempt of a request that may be sent a second time, to another upstream,
// while the first upstream is silent. The goroutine of the request makes the first attempt.
// The timer makes the second one with a copy of the exchange, so the attempts share only what
// mu guards. The first complete answer of a call, or the first event of a stream, claims the
// race and cancels the other attempt.
type race struct {
	first  *exchange
	second *exchange // used by the second attempt alone until done is closed
	class  hedge.Class
	began  time.Duration
	armed  bool // a second send is due after delay; all below is unset otherwise
	delay  time.Duration
	timer  *time.Timer   // used by the goroutine of the request alone
	done   chan struct{} // closed when the second attempt has ended or has claimed the race

	callerCtx             context.Context
	stopFirst, stopSecond context.CancelFunc
	firstUpstream         string
	runsBefore            int // of the second exchange before its attempt

	mu     sync.Mutex
	over   bool      // no second send may begin
	due    bool      // the timer ran before the race was over
	target string    // upstream of the second send, empty if there was none
	winner *exchange // nil if no attempt has an answer yet
	wonAt  time.Duration

	// Results of a second attempt, valid once done is closed.
	answer    *completeAnswer
	attempt   *attempt
	placement *placement
	err       error
}

// errOvertaken ends the attempt whose upstream answered after the other one.
var errOvertaken = code.New(code.CallerGone, "another upstream answered first")

// startRace prepares a second send of the attempt that follows. It returns nil if hedging is
// off, or if the request may not be repeated.
func (x *exchange) startRace(upstream fleet.Upstream, alone bool) *race {
	hedger := x.s.hedger
	if hedger == nil || !x.route.Repeatable() || x.route.Attempts < 2 || x.answerStarted || x.call.LastEvent != "" {
		return nil
	}
	if x.attempts == 0 {
		hedger.Began()
	}
	r := &race{first: x, class: hedge.Class{Route: x.route.Name}, began: boottime.Now()}
	if x.route.Kind == route.Stream {
		r.class.Size = hedge.SizeClass(x.call.PromptTokens)
	}
	x.race = r
	delay, known := hedger.Delay(r.class, r.began)
	if !known || !alone {
		return r
	}
	r.armed, r.delay, r.callerCtx, r.done = true, delay, x.ctx, make(chan struct{})
	second := *x
	second.ctx, r.stopSecond = context.WithCancel(x.ctx)
	x.ctx, r.stopFirst = context.WithCancel(x.ctx)
	second.attempts++
	second.runs++
	second.tried = append(slices.Clone(x.tried), upstream.ID)
	second.answerMemory = x.s.buffers.Reserve()
	second.notes, second.helpers = nil, nil
	r.second, r.firstUpstream, r.runsBefore = &second, upstream.ID, second.runs
	r.timer = time.AfterFunc(delay, r.run)
	return r
}

// stop prevents a second send that has not begun.
func (r *race) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	if r.armed {
		r.timer.Stop()
	}
}

// recordFirstByte records the time to the first byte or event of the first attempt.
func (x *exchange) recordFirstByte() {
	r := x.race
	if r == nil || r.first != x {
		return
	}
	r.stop()
	now := boottime.Now()
	x.s.hedger.Record(r.class, now-r.began, now)
}

// claim makes an attempt the one whose answer the caller gets, and cancels the other one. It
// returns false if the other one has claimed before.
func (x *exchange) claim() bool {
	r := x.race
	if r == nil || !r.armed {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	if r.winner != nil {
		return r.winner == x
	}
	r.winner, r.wonAt = x, boottime.Now()
	if x == r.first {
		r.stopSecond()
	} else {
		r.stopFirst()
	}
	return true
}

// isSecond reports whether the exchange is the copy for a second send, which is no request of
// its own.
func (x *exchange) isSecond() bool {
	return x.race != nil && x.race.second == x
}

// overtaken reports whether the first attempt was cancelled because the second one had its
// answer.
func (x *exchange) overtaken(err error) bool {
	r := x.race
	if c := code.Of(err); r == nil || r.first != x || c != code.CallerGone && c != code.CallerGoneBeforeStart {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil && r.winner != x
}

// attemptOutcome returns the outcome of an attempt for its upstream. An upstream that was
// overtaken counts as failed: it took longer than most, and longer than another one that got
// the request later. Otherwise one that never answers would never be avoided, because no
// attempt there would reach its timeout.
func (x *exchange) attemptOutcome(err error) fleet.Outcome {
	if x.overtaken(err) {
		return fleet.Failed
	}
	return outcomeOf(err)
}

// secondSend returns the upstream of the second send beside an attempt of x, and whether
// there was one.
func (r *race) secondSend(x *exchange) (upstream string, sent bool) {
	if r == nil || r.first != x {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, r.target != ""
}

// awaitSecond ends the race after the first attempt, and waits for a second one that has
// begun. It returns the race if the second one won, and nil otherwise.
func (x *exchange) awaitSecond(err error) *race {
	r := x.race
	if r == nil {
		return nil
	}
	r.stop()
	if !r.armed {
		return nil
	}
	overtaken := x.overtaken(err)
	if overtaken && code.Of(err) == code.CallerGoneBeforeStart {
		x.runs--
	}
	if r.due {
		<-r.done
	}
	x.ctx = r.callerCtx
	if r.winner != r.second {
		return nil
	}
	if overtaken {
		x.s.hedger.Record(r.class, r.delay, boottime.Now()) // it took longer than that
	} else {
		x.addNote("%v", err)
	}
	x.race, x.ctx = nil, r.second.ctx
	x.table, x.route, x.framing, x.helpers = r.second.table, r.second.route, r.second.framing, nil
	x.predictedFirst = max(x.predictedFirst, r.second.predictedFirst)
	x.helperAtFault = false
	if a := r.attempt; a != nil {
		a.x = x
	}
	return r
}

// endRace adds the counts of the second attempt to the exchange and releases what the race
// holds.
func (x *exchange) endRace(r *race) {
	x.race = nil
	if r == nil {
		return
	}
	r.stop()
	if !r.armed {
		return
	}
	r.stopFirst()
	r.stopSecond()
	if r.due {
		<-r.done
	}
	x.ctx = r.callerCtx
	if r.winner == r.second {
		x.answerMemory.Release()
		x.answerMemory = r.second.answerMemory
	} else {
		r.second.answerMemory.Release()
	}
	if r.target == "" {
		return
	}
	x.lostBefore = x.lostBefore || r.second.lostBefore
	x.attempts++
	x.runs += r.second.runs - r.runsBefore
	x.tried = append(x.tried, r.target)
	winner := "none"
	switch r.winner {
	case r.first:
		winner = "first"
	case r.second:
		winner = "second"
	}
	if r.err != nil && r.winner == nil {
		x.addNote("second send: %v", r.err)
	}
	x.s.metrics.RelayHedgeEnded(x.route.Kind.String(), r.winner == r.second)
	if x.s.lines.allow(true, time.Now(), x.s.log) {
		line := x.s.log.Emit(event.RequestHedged).Str("request", x.call.ID).Str("route", x.route.Name).
			Str("first", r.firstUpstream).Str("second", r.target).Str("winner", winner).Dur("delay", r.delay)
		if r.winner != nil {
			line = line.Dur("took", r.wonAt-r.began)
		}
		line.Msg("")
	}
}
