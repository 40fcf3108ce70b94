package relay

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/admission"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
)

// EngineKey returns the 32-bit key of an upstream in announcements between hosts.
func EngineKey(id string) uint64 {
	return uint64(uint32(xxhash.Sum64String(id)))
}

// placement holds the engines selected for one attempt of a stream.
type placement struct {
	s              *Server
	id             uint64
	plan           place.Plan
	main           fleet.Upstream
	helpers        []Helper
	memory         *reservation // nil if the whole prompt fits into the main engine
	pace           *paceWatch   // nil if the service publishes no costs
	release        func()       // of standing.Book.Take
	firstEventSeen bool
}

// place selects the engines of a stream and announces the placement to the
// peers. A host places one stream at a time, so that each placement takes the
// load of the previous one into account.
func (x *exchange) place() (*placement, error) {
	now := boottime.Now()
	views, err := x.s.candidates(x.service.Name, now)
	if err != nil {
		return nil, err
	}
	p, err := x.placeAmong(x.untried(views), now)
	if errors.Is(err, errTaken) {
		return x.place()
	}
	if err != nil {
		return nil, err
	}
	x.s.peers.StreamPlaced()
	if err := x.reserveMemory(p); err != nil {
		p.end()
		return nil, x.notReserved(err, x.placementRequest(x.service.Engine, x.arrived))
	}
	return p, nil
}

// errTaken is returned if an upstream that gets one request at a time got another one since
// the candidates were determined.
var errTaken = errors.New("another request is on its way to the upstream")

// reserveMemory reserves memory at the helpers that keep parts of the prompt.
func (x *exchange) reserveMemory(p *placement) error {
	holders := p.helpers[:p.plan.Holders]
	if len(holders) == 0 {
		return nil
	}
	addresses := make([]string, len(holders))
	for i := range holders {
		addresses[i] = holders[i].Address
	}
	memory, err := x.s.reserve(x.ctx, p.id, addresses, p.plan.Share)
	if err != nil {
		return code.New(code.NoCapacity, "reserve memory for %d tokens at %d engines: %w", p.plan.Share, len(holders), err)
	}
	p.memory = memory
	for i := range holders {
		holders[i].Reservation = memory.parts[i].id
	}
	return nil
}

func (x *exchange) placeAmong(views []fleet.View, now time.Duration) (*placement, error) {
	x.s.placing.Lock()
	defer x.s.placing.Unlock()
	costs := x.service.Engine
	if costs == nil {
		return x.placeWithoutCosts(views, now)
	}
	since := x.arrived
	if x.answerStarted {
		since = x.lastAt
	}
	request := x.placementRequest(costs, since)
	engines := x.engines(costs, views, now)
	if x.s.queuesStreams() && !x.answerStarted {
		admission.LeaveLastSlots(costs, engines)
	}
	plan, ok := x.decide(costs, engines, request, now)
	if !ok && x.answerStarted {
		// The caller has part of the answer, so the stream waits in an engine's queue.
		return x.placeWithoutCosts(views, now)
	}
	if wait, limited := x.s.shortestWait(views, now); !ok && limited {
		return nil, newLimitError(len(views), wait)
	}
	plan, ok, err := x.judge(costs, engines, request, plan, ok, now)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, code.New(code.NoCapacity, "none of %d engines has capacity for a prompt of %d tokens", len(engines), request.Prompt)
	}
	if err := x.checkPlan(costs, engines, request, plan); err != nil {
		return nil, err
	}
	p := &placement{s: x.s, id: uint64(x.s.nextID.Add(1)), plan: plan, main: views[plan.Main].Upstream}
	if p.release, ok = x.s.standing.Take(p.main, now); !ok {
		return nil, errTaken
	}
	x.admitted(now)
	x.s.limits.Sent(limitKey(p.main.ID), now)
	x.limitedAt = now
	keys := []uint64{engines[plan.Main].Key}
	x.helpers, x.placedAt = nil, now
	for _, i := range plan.Helpers {
		x.helpers = append(x.helpers, views[i].ID)
		p.helpers = append(p.helpers, Helper{Address: views[i].Address})
		x.s.limits.SentPart(limitKey(views[i].ID), now)
		keys = append(keys, engines[i].Key)
	}
	x.predictedFirst = max(x.predictedFirst, plan.First)
	x.s.ledger.Begin(place.Stream{
		ID: p.id, Engines: keys, Prompt: request.Prompt, Answer: request.Answer, PlacedAt: now,
		Holders: plan.Holders, Share: plan.Share,
		Goal: costmodel.Millis(request.Goal), GapGoal: x.route.GapGoal, Team: x.teamDigest(),
	})
	p.pace = x.s.watchPace(costs, &engines[plan.Main], plan, now)
	return p, nil
}

// checkPlan returns the reason to refuse a stream instead of running its plan. A
// stream of which the caller has a part is not refused.
func (x *exchange) checkPlan(costs *costmodel.Costs, engines []place.Engine, request place.Request, plan place.Plan) error {
	if x.answerStarted {
		return nil
	}
	if first, most := costmodel.Millis(plan.First), min(x.timeLeft(), place.CallerTimeout(x.route.Goal, x.route.GapGoal)); first > most {
		return x.tooLate(first-most, code.New(code.DeadlineTooShort, "the first event is predicted in %v, the time left is %v", first, x.timeLeft()))
	}
	if !place.Worthwhile(costs, engines, request, plan) {
		return code.New(code.NoCapacity, "a prompt of %d tokens would delay too many other streams", request.Prompt)
	}
	return nil
}

// hasRoom reports whether an engine has a free slot and memory for the stream and
// is predicted to send an event before the deadline.
func (x *exchange) hasRoom(costs *costmodel.Costs, views []fleet.View, now time.Duration) bool {
	request := x.placementRequest(costs, now)
	seed := withRand(x.s, func(rng *rand.Rand) uint64 { return rng.Uint64() })
	plan, ok := place.Decide(costs, x.engines(costs, views, now), request, rand.New(rand.NewPCG(seed, 0)))
	return ok && costmodel.Millis(plan.First) < x.timeLeft()
}

// placeWithoutCosts selects the upstream of a stream whose service publishes no
// costs, as for a plain service.
func (x *exchange) placeWithoutCosts(views []fleet.View, now time.Duration) (*placement, error) {
	views, err := x.s.withinLimits(views, now)
	if err != nil {
		return nil, err
	}
	chosen := withRand(x.s, func(rng *rand.Rand) fleet.View {
		v, _ := fleet.Choose(views, x.s.options.FailureDomain, nil, rng)
		return v
	})
	release, ok := x.s.standing.Take(chosen.Upstream, now)
	if !ok {
		return nil, errTaken
	}
	x.s.limits.Sent(limitKey(chosen.ID), now)
	x.limitedAt = now
	p := &placement{s: x.s, id: uint64(x.s.nextID.Add(1)), main: chosen.Upstream, release: release}
	p.plan.First = float64(x.route.Goal / time.Millisecond)
	return p, nil
}

// untried returns the upstreams without an attempt, or all if each had one.
func (x *exchange) untried(views []fleet.View) []fleet.View {
	remaining := slices.DeleteFunc(slices.Clone(views), func(v fleet.View) bool { return slices.Contains(x.tried, v.ID) })
	if len(remaining) == 0 {
		return views
	}
	return remaining
}

// placementRequest describes the stream to package place. The caller has waited for
// an event since the given time.
func (x *exchange) placementRequest(costs *costmodel.Costs, since time.Duration) place.Request {
	answer := costs.MeanAnswerTokens
	if x.call.AnswerTokensHint > 0 {
		answer = x.call.AnswerTokensHint
	}
	if x.call.MaxAnswerTokens > 0 {
		answer = min(answer, x.call.MaxAnswerTokens)
	}
	waited := boottime.Now() - since
	goal := x.route.Goal - waited
	timeLeft := min(place.CallerTimeout(x.route.Goal, x.route.GapGoal)-waited, x.timeLeft())
	return place.Request{
		Prompt: x.call.PromptTokens, Answer: answer,
		Goal: float64(goal) / float64(time.Millisecond), GapGoal: float64(x.route.GapGoal) / float64(time.Millisecond),
		CallerTimeout: float64(timeLeft) / float64(time.Millisecond),
	}
}

// returningCost is the cost of an engine whose failure domain is in use again, as a failure
// rate. It falls to 0 during the warm-up, so that the engines get their load gradually.
const returningCost = 0.1

func (x *exchange) engines(costs *costmodel.Costs, views []fleet.View, now time.Duration) []place.Engine {
	slow := x.s.paces.Estimates(now)
	x.s.noteCold(views, now)
	engines := make([]place.Engine, len(views))
	group, groups := x.s.peers.Group()
	returning := x.s.standing.Returning(views, now)
	local := 0
	for i := range views {
		v := &views[i]
		key := EngineKey(v.ID)
		e := place.Engine{
			Key: key, FailureRate: max(v.FailureRate, returningCost*v.Returning), Avoided: v.Avoided,
			Local: v.FailureDomain == x.s.options.FailureDomain, Pace: slow[uint32(key)].Factor,
		}
		if limit := limitKey(v.ID); x.s.limits.Restricted(limit, now) {
			e.Limited, e.AtLimit, e.TakesNoParts = true, x.s.limits.Wait(limit, now) > 0, !x.s.limits.TakesPart(limit, now)
		}
		if returning[v.ID] {
			e.Limited, e.TakesNoParts = true, true
		}
		// The groups of a failure domain divide its engines among them.
		e.Shared = groups > 0 && (!e.Local || local%groups != group)
		if e.Local {
			local++
		}
		engines[i] = e
	}
	loads := place.PacedLoads(costs, x.s.ledger.All(now), engines, now)
	for i := range engines {
		engines[i].Load = loads[engines[i].Key]
	}
	x.s.loads.store(costs, loads, now)
	return engines
}

// firstEvent records the time of the first event and announces it to the peers.
func (p *placement) firstEvent() {
	if p.firstEventSeen {
		return
	}
	p.firstEventSeen = true
	p.s.ledger.FirstEvent(p.id, boottime.Now())
	p.s.peers.StreamProgressed()
}

// end releases the memory of the stream and removes it from the ledger.
func (p *placement) end() {
	if p.memory != nil {
		p.memory.release()
	}
	p.release()
	p.s.ledger.End(p.id)
	p.pace.end()
	p.s.peers.StreamProgressed()
	p.s.admission.streamEnded()
}
