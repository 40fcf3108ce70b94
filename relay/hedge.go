package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/hedge"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/route"
)

// maxHedgeFailureRate is the failure rate above which an upstream gets no second sends: that
// of one refusal or lost race in the last second. A plain upstream that other hosts fill is
// known to be full by its refusals alone.
const maxHedgeFailureRate = 0.2

// run makes the second attempt of a race when it is due.
func (r *race) run() {
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		return
	}
	r.due = true
	r.mu.Unlock()
	defer close(r.done)
	y := r.second
	now := boottime.Now()
	views, ok := y.decideHedge(now)
	switch {
	case !ok:
	case y.route.Kind == route.Stream:
		r.sendStream(views, now)
	default:
		r.sendCall(views, now)
	}
}

// decideHedge decides about the second send of a request and takes it from the budgets. It
// returns the upstreams that may get it.
func (x *exchange) decideHedge(now time.Duration) ([]fleet.View, bool) {
	allowed := x.mayRepeatNow(now)
	facts := hedge.Facts{
		Repeatable: x.route.Repeatable(), Events: x.events, Runs: x.runs, Attempts: x.route.Attempts, TimeLeft: x.timeLeft(),
		Alone: true, Suspected: x.lostBefore || x.checkQuarantine() != nil,
	}
	var candidates []fleet.View
	if allowed {
		candidates, facts.Upstreams, facts.Busy = x.hedgeCandidates(now)
		facts.Candidates = len(candidates)
		if x.s.admission != nil && x.s.admission.waiting.Load() > 0 {
			facts.Busy = facts.Upstreams // the room is for the streams that wait
		}
	}
	verdict := x.s.hedger.Decide(facts)
	if verdict == hedge.Send && !x.s.takeRetry(x.service.Name) {
		x.s.hedger.Return(hedge.OverBudget)
		verdict = hedge.OverBudget
	}
	if verdict == hedge.OverBudget {
		x.s.metrics.RelayHedgeRefused(x.route.Kind.String())
	}
	return candidates, verdict == hedge.Send
}

// mayRepeatNow reports whether the configuration in force and a planned stop of this host
// allow another attempt at the same service.
func (x *exchange) mayRepeatNow(now time.Duration) bool {
	if x.checkLeaving(now) != nil || x.reroute() != nil {
		return false
	}
	service, ok := x.table.Backend(x.route, x.service.Name)
	x.service = service
	return ok
}

// hedgeCandidates returns the upstreams that may get a second send, the number of upstreams of
// the service, and how many of them have no free slot as far as this host knows.
func (x *exchange) hedgeCandidates(now time.Duration) (candidates []fleet.View, upstreams, busy int) {
	all, err := x.s.candidates(x.service.Name, now)
	if err != nil {
		return nil, 0, 0
	}
	var engines []place.Engine
	if x.service.Engine != nil {
		engines = x.engines(x.service.Engine, all, now)
	} else {
		x.s.noteCold(all, now)
	}
	returning := x.s.standing.Returning(all, now)
	for i := range all {
		v := &all[i]
		if x.isBusy(v, engines, i) {
			busy++
			continue
		}
		cold := v.WarmUp > 0 || v.ColdUntil > now || v.Returning > 0 || returning[v.ID]
		if !slices.Contains(x.tried, v.ID) && !v.Avoided && !cold && v.FailureRate <= maxHedgeFailureRate &&
			x.s.limits.Wait(limitKey(v.ID), now) == 0 {
			candidates = append(candidates, *v)
		}
	}
	return candidates, len(all), busy
}

func (x *exchange) isBusy(v *fleet.View, engines []place.Engine, i int) bool {
	costs := x.service.Engine
	if costs == nil {
		return v.Slots > 0 && v.InFlight >= v.Slots
	}
	load := engines[i].Load
	return load != nil && costs.Slots > 0 && len(load.Sequences) >= costs.Slots
}

// giveBack returns to the budgets a second send that was not made.
func (x *exchange) giveBack(reason hedge.Verdict) {
	x.s.hedger.Return(reason)
	x.s.returnRetry(x.service.Name)
}

// aim records the upstream of the second send, unless the first attempt has its answer.
func (r *race) aim(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over && r.winner != nil {
		return false
	}
	r.target = upstream
	r.second.s.metrics.RelayHedged(r.second.route.Kind.String())
	return true
}

// sendCall makes the second attempt of a call.
func (r *race) sendCall(views []fleet.View, now time.Duration) {
	y := r.second
	chosen := withRand(y.s, func(rng *rand.Rand) fleet.View {
		v, _ := fleet.Choose(views, y.s.options.FailureDomain, nil, rng)
		return v
	})
	release, ok := y.s.standing.Take(chosen.Upstream, now)
	if !ok {
		y.giveBack(hedge.NoCandidate)
		return
	}
	defer release()
	key := limitKey(chosen.ID)
	if !y.s.limits.Take(key, now) || !r.aim(chosen.ID) {
		y.giveBack(hedge.NoCandidate)
		return
	}
	y.limitedAt = now
	if y.s.limits.Restricted(key, now) {
		y.s.peers.StreamPlaced()
	}
	y.s.upstreams.Begin(chosen.ID)
	r.answer, r.err = y.runAnswer(chosen.Upstream)
	r.forgetUnsent()
}

// sendStream makes the second attempt of a stream up to its first event.
func (r *race) sendStream(views []fleet.View, now time.Duration) {
	y := r.second
	p, err := y.placeAmong(views, now)
	if err != nil {
		y.giveBack(hedge.NoCandidate)
		return
	}
	y.s.peers.StreamPlaced()
	reason := hedge.Answering
	if len(p.helpers) > 0 {
		reason = hedge.NotAlone
	}
	if reason == hedge.NotAlone || !r.aim(p.main.ID) {
		p.end()
		y.giveBack(reason)
		return
	}
	y.s.upstreams.Begin(p.main.ID)
	a, err := y.awaitFirstEvent(p)
	if err == nil && y.claim() {
		r.attempt, r.placement = a, p
		return
	}
	if err == nil {
		a.close()
		err = errOvertaken
	}
	_, r.err = y.runStream(p, func(*placement) (*completeAnswer, error) { return nil, err })
	r.forgetUnsent()
}

// forgetUnsent corrects the count of runs if the second attempt was cancelled before any byte
// of it was sent.
func (r *race) forgetUnsent() {
	if code.Of(r.err) == code.CallerGoneBeforeStart {
		r.second.runs--
	}
}

// awaitFirstEvent sends a stream and reads its first event, which the next read of the attempt
// returns again. The timer of the attempt is stopped then.
func (x *exchange) awaitFirstEvent(p *placement) (*attempt, error) {
	a, err := x.sendStream(p)
	if err != nil {
		return nil, err
	}
	if err := a.readAhead(); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

func (a *attempt) readAhead() error {
	kind, _, err := mime.ParseMediaType(a.response.Header.Get("Content-Type"))
	if a.response.StatusCode != http.StatusOK || err != nil || kind != "text/event-stream" {
		return a.notContinued(kind)
	}
	a.events = newEventReader(a.response.Body)
	raw, id, err := a.events.next()
	switch {
	case errors.Is(err, io.EOF):
		return code.New(code.AnswerIncomplete, "upstream %s ended the stream without an event", a.upstream.ID)
	case err != nil:
		return a.streamError(err)
	case !a.x.continues(id):
		return code.New(code.AnswerIncomplete, "upstream %s sent event %q first", a.upstream.ID, id)
	case !a.timer.Stop():
		return code.New(code.UpstreamSilent, "upstream %s made no progress within its timeout", a.upstream.ID)
	}
	a.events.unread(raw, id)
	return nil
}

// continueSecond forwards the stream of a second attempt that has won.
func (x *exchange) continueSecond(a *attempt) func(p *placement) (*completeAnswer, error) {
	return func(p *placement) (*completeAnswer, error) {
		defer a.close()
		return nil, x.forwardEvents(a, p)
	}
}
