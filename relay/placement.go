package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/place"
)

// EngineKey is the short name of an upstream in what hosts tell each other.
func EngineKey(id string) uint64 {
	return uint64(uint32(xxhash.Sum64String(id)))
}

// placement is the place of one attempt of a stream.
type placement struct {
	s       *Server
	id      uint64
	plan    place.Plan
	main    fleet.Upstream
	helpers []Helper
	memory  *reservation // nil if the engine holds the whole prompt
	began   bool
}

// place picks the engines of a stream and tells the peers. Streams of one host
// are placed one after the other, so that each sees the one before it.
func (x *exchange) place() (*placement, error) {
	now := boottime.Now()
	views := x.untried(x.s.upstreams.Of(x.service.Name, now))
	if len(views) == 0 {
		return nil, code.New(code.NoCapacity, "service %q has no upstream left, %d were tried", x.service.Name, len(x.tried))
	}
	p, err := x.placeAmong(views, now)
	if err != nil {
		return nil, err
	}
	x.s.peers.Placed()
	if err := x.holdMemory(p); err != nil {
		p.end()
		return nil, err
	}
	return p, nil
}

// holdMemory sets the memory aside that helpers hold for a prompt.
func (x *exchange) holdMemory(p *placement) error {
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
		holders[i].Reservation = memory.held[i].id
	}
	return nil
}

func (x *exchange) placeAmong(views []fleet.View, now time.Duration) (*placement, error) {
	x.s.placing.Lock()
	defer x.s.placing.Unlock()
	laws := x.service.Engine
	if laws == nil {
		return x.placeAnywhere(views)
	}
	request := x.placeRequest(laws)
	engines := x.engines(laws, views, now)
	seed := draw(x.s, func(rng *rand.Rand) uint64 { return rng.Uint64() })
	plan, ok := place.Decide(laws, engines, request, rand.New(rand.NewPCG(seed, 0)))
	if !ok {
		return nil, code.New(code.NoCapacity, "none of %d engines has room for %d tokens", len(engines), request.Prompt)
	}
	if first := costmodel.Millis(plan.First); first > min(x.left(), place.Patience(x.route.Goal, x.route.GapGoal)) {
		return nil, code.New(code.DeadlineTooShort, "the first event is expected in %v, %v are left", first, x.left())
	}
	if !place.Worthwhile(laws, engines, request, plan) {
		return nil, code.New(code.NoCapacity, "%d tokens would delay too many other streams now", request.Prompt)
	}
	p := &placement{s: x.s, id: uint64(x.s.nextID.Add(1)), plan: plan, main: views[plan.Main].Upstream}
	keys := []uint64{engines[plan.Main].Key}
	x.helpers, x.placedAt = nil, now
	for _, i := range plan.Helpers {
		x.helpers = append(x.helpers, views[i].ID)
		p.helpers = append(p.helpers, Helper{Address: views[i].Address})
		keys = append(keys, engines[i].Key)
	}
	x.expected = max(x.expected, plan.First)
	x.s.ledger.Begin(place.Work{
		ID: p.id, Engines: keys, Prompt: request.Prompt, Answer: request.Answer, PlacedAt: now,
		Holders: plan.Holders, Share: plan.Share,
		Goal: costmodel.Millis(request.Goal), GapGoal: x.route.GapGoal,
	})
	return p, nil
}

// placeAnywhere serves streams of services that publish no costs.
func (x *exchange) placeAnywhere(views []fleet.View) (*placement, error) {
	pick := draw(x.s, func(rng *rand.Rand) fleet.View {
		v, _ := fleet.Choose(views, x.s.options.FailureDomain, nil, rng)
		return v
	})
	p := &placement{s: x.s, id: uint64(x.s.nextID.Add(1)), main: pick.Upstream}
	p.plan.First = float64(x.route.Goal / time.Millisecond)
	return p, nil
}

// untried leaves out the upstreams that had an attempt, unless none is left.
func (x *exchange) untried(views []fleet.View) []fleet.View {
	fresh := slices.DeleteFunc(slices.Clone(views), func(v fleet.View) bool { return slices.Contains(x.tried, v.ID) })
	if len(fresh) == 0 {
		return views
	}
	return fresh
}

func (x *exchange) placeRequest(laws *costmodel.Laws) place.Request {
	answer := laws.UsualAnswer
	if x.call.HintAnswer > 0 {
		answer = x.call.HintAnswer
	}
	if x.call.MostAnswer > 0 {
		answer = min(answer, x.call.MostAnswer)
	}
	waited := boottime.Now() - x.arrived
	goal := x.route.Goal - waited
	patient := min(place.Patience(x.route.Goal, x.route.GapGoal)-waited, x.left())
	return place.Request{
		Prompt: x.call.Prompt, Answer: answer,
		Goal: float64(goal) / float64(time.Millisecond), GapGoal: float64(x.route.GapGoal) / float64(time.Millisecond),
		Patient: float64(patient) / float64(time.Millisecond),
	}
}

func (x *exchange) engines(laws *costmodel.Laws, views []fleet.View, now time.Duration) []place.Engine {
	loads := place.Loads(laws, x.s.ledger.All(now), now)
	engines := make([]place.Engine, len(views))
	for i := range views {
		v := &views[i]
		key := EngineKey(v.ID)
		engines[i] = place.Engine{
			Key: key, Failing: v.Failing, Avoided: v.Avoided,
			Local: v.FailureDomain == x.s.options.FailureDomain, Load: loads[key],
		}
	}
	return engines
}

// writing records the first event.
func (p *placement) writing() {
	if p.began {
		return
	}
	p.began = true
	p.s.ledger.FirstEvent(p.id, boottime.Now())
	p.s.peers.Progressed()
}

// end records that the stream has left its engines.
func (p *placement) end() {
	if p.memory != nil {
		p.memory.release()
	}
	p.s.ledger.End(p.id)
	p.s.peers.Progressed()
}
