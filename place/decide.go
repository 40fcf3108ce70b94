package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/citronscale/citronscale/costmodel"
)

// Engine is a candidate engine for a stream.
type Engine struct {
	Key         uint64
	FailureRate float64 // recent share of failed requests, from 0 to 1
	Avoided     bool    // it could not be reached recently
	Local       bool    // it is in this host's failure domain
	Shared      bool    // hosts that this one hears of with a delay prefer it
	// Limited tells that the engine names the rate of requests that it takes. It keeps no
	// part of a prompt for another engine, as that needs requests all the time.
	Limited      bool
	AtLimit      bool  // it takes no request now
	TakesNoParts bool  // it has prefilled too many parts for others lately
	Load         *Load // nil if the engine is idle
	// Pace is the factor of its times on the published ones, as package pace estimates it;
	// 0: as published.
	Pace float64
}

// Request is a stream to be placed.
type Request struct {
	Prompt        int     // tokens
	Answer        int     // expected tokens
	Goal          float64 // milliseconds left until the first event misses its goal
	GapGoal       float64 // milliseconds
	CallerTimeout float64 // milliseconds left until the caller disconnects
}

// Plan is an assignment of engines to a stream.
type Plan struct {
	Main    int     // index of the engine that decodes the answer
	Helpers []int   // indices of the engines that prefill other parts of the prompt
	Holders int     // number of the first Helpers that also keep their part in memory
	Share   int     // tokens that each of these keeps
	First   float64 // milliseconds until the first event
	Cost    float64
}

var partCounts = []int{1, 2, 3, 4, 6, 8, 12, maxHelpers + 1}

// Decide returns the plan with the lowest expected cost. It returns false if the
// engines don't have the free slots and the memory for the stream.
func Decide(costs *costmodel.Costs, engines []Engine, r Request, rng *rand.Rand) (Plan, bool) {
	best, found := Plan{}, false
	base := basePace(engines)
	order := candidates(engines, r, rng)
	holders, share := holdersFor(costs, r, len(engines))
	for _, parts := range partCountsFrom(holders + 1) {
		if parts > holders+1 && r.Prompt < minSplitPrompt || parts > len(order) {
			break
		}
		plan, ok := planFor(costs, engines, r, split{parts, holders, share}, order, base)
		if ok && (!found || plan.Cost < best.Cost) {
			best, found = plan, true
		}
	}
	best.First *= base
	return best, found
}

// candidates returns the indices of the engines to consider, in random order. Hosts
// that don't hear of each other's streams at once would all choose the one that looks
// best at the moment. So a short prompt is placed on an engine that only the hosts of
// the own group prefer, or on one of a few others drawn at random. Longer prompts are
// rare and need the choice among all. Engines at their limit are drawn like others: the
// few that are free would be the choice of all hosts again.
func candidates(engines []Engine, r Request, rng *rand.Rand) []int {
	order := rng.Perm(len(engines))
	drawn := 0
	return slices.DeleteFunc(order, func(i int) bool {
		e := &engines[i]
		if r.Prompt < minSearchPrompt && e.Shared && !e.Avoided {
			drawn++
		}
		return drawn > maxDrawn && e.Shared && !e.Avoided || e.AtLimit
	})
}

// partCountsFrom returns the numbers of parts to consider: minParts and all
// partCounts above it.
func partCountsFrom(minParts int) []int {
	above, _ := slices.BinarySearch(partCounts, minParts+1)
	return append([]int{minParts}, partCounts[above:]...)
}

// holdersFor returns the number of helpers that must keep a part of a prompt, and
// the tokens of each part, if the prompt does not fit one engine. Given enough
// engines, a part is much smaller than an engine's memory, which also holds other
// prompts.
func holdersFor(costs *costmodel.Costs, r Request, available int) (holders, share int) {
	tokens := r.Prompt + r.Answer
	if float64(tokens) <= memoryShare*float64(costs.MemoryTokens) {
		return 0, 0
	}
	maxPart := heldPartShare * float64(costs.MemoryTokens)
	engines := max(min(int(math.Ceil(float64(tokens)/maxPart)), available, maxHelpers+1), 1)
	return engines - 1, tokens / engines
}

// split is a division of a prompt into parts.
type split struct {
	parts, holders, share int
}

// candidate is an engine with the predicted effect of one part of a prompt.
type candidate struct {
	index        int
	pace         float64 // relative to the fastest engine
	cost         float64 // of pauses in other streams, of failures and of distance
	delayCost    float64 // of delays to streams queued there, if it is a helper
	helperFinish float64 // when its part is prefilled as a helper, milliseconds from now
	mainFinish   float64 // the same as the main engine
}

func planFor(costs *costmodel.Costs, engines []Engine, r Request, s split, order []int, base float64) (Plan, bool) {
	main := candidate{index: -1}
	mainTotal := 0.0
	considered := make([]candidate, 0, len(order))
	for _, i := range order {
		c := evaluate(costs, &engines[i], i, r, s.parts, base)
		if fits(costs, &engines[i], r.Prompt+r.Answer-s.holders*s.share) {
			total := c.cost + mainCost(costs, &engines[i], r, c)
			if main.index < 0 || total < mainTotal {
				main, mainTotal = c, total
			}
		}
		considered = append(considered, c)
	}
	if main.index < 0 {
		return Plan{}, false
	}
	plan := Plan{Main: main.index, Cost: main.cost, Holders: s.holders, Share: s.share}
	finish, ok := addHelpers(costs, engines, considered, s, r, &plan)
	if !ok {
		return Plan{}, false
	}
	finish = max(finish, main.mainFinish)
	plan.First = finish + main.pace*firstEventDelay(costs, engines[main.index].Load, r)
	planDelays := delays{}
	for _, i := range plan.Helpers {
		planDelays.add(engines[i].Load, engines[i].relativePace(base)*partMillis(costs, engines[i].Load, r.Prompt, s.parts))
	}
	plan.Cost += planDelays.cost()
	plan.Cost += Value(r.Prompt) * (loss(plan.First, r.Goal, r.CallerTimeout) + latencyCost*plan.First/max(r.Goal, minGoalMillis))
	plan.Cost += firstStreamCost(&engines[main.index])
	return plan, true
}

// addHelpers adds the cheapest helpers to a plan, those that keep their part
// first. It returns when the last of them has finished its part, and false if
// there are too few helpers.
func addHelpers(costs *costmodel.Costs, engines []Engine, candidates []candidate, s split, r Request, plan *Plan) (float64, bool) {
	value := Value(r.Prompt)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.costAsHelper(value, r), b.costAsHelper(value, r))
	})
	var holding, prefilling []int
	finish := 0.0
	for _, c := range candidates {
		if len(holding)+len(prefilling) == s.parts-1 {
			break
		}
		e := &engines[c.index]
		if c.index == plan.Main || e.Avoided || e.TakesNoParts || !canHelp(costs, e.Load) {
			continue
		}
		switch {
		case len(holding) < s.holders && !e.Limited && hasMemory(costs, e.Load, s.share):
			holding = append(holding, c.index)
		case len(prefilling) < s.parts-1-s.holders:
			prefilling = append(prefilling, c.index)
		default:
			continue
		}
		plan.Cost += c.cost + helperCost
		finish = max(finish, c.helperFinish)
	}
	plan.Helpers = append(holding, prefilling...)
	return finish, len(plan.Helpers) == s.parts-1
}

// costAsHelper returns the cost of a candidate as a helper; it orders the
// candidates.
func (c *candidate) costAsHelper(value float64, r Request) float64 {
	return c.cost + c.delayCost + value*(loss(c.helperFinish, r.Goal, r.CallerTimeout)+latencyCost*c.helperFinish/max(r.Goal, minGoalMillis))
}

func canHelp(costs *costmodel.Costs, load *Load) bool {
	return load == nil || load.HelperParts < costs.Slots/2
}

// evaluate predicts the effect of one part of a prompt on an engine.
func evaluate(costs *costmodel.Costs, e *Engine, index int, r Request, parts int, base float64) candidate {
	value := Value(r.Prompt)
	pace := e.relativePace(base)
	part := pace * partMillis(costs, e.Load, r.Prompt, parts)
	c := candidate{index: index, pace: pace, cost: e.FailureRate * failureCost * value / float64(parts)}
	if e.Avoided {
		c.cost += value
	}
	if !e.Local {
		c.cost += remoteCost
	}
	if e.Shared {
		c.cost += sharedCost * value / float64(parts)
	}
	load := e.Load
	if load == nil {
		c.helperFinish, c.mainFinish = part, part
		return c
	}
	pass := 0.0
	if len(load.Sequences) > 0 {
		pass = pace * costs.Pass(len(load.Sequences), load.ContextTokens)
	}
	backlog := load.HelperMillis + load.OwnMillis
	pauseBefore := costs.PassPrefill(load.PrefillTokens, backlog)
	pauseAfter := costs.PassPrefill(load.PrefillTokens+r.Prompt/parts, backlog+part)
	for _, sequence := range load.Sequences {
		c.cost += sequence.Value * (missRisk(pass+pauseAfter, sequence.GapGoal) - missRisk(pass+pauseBefore, sequence.GapGoal))
	}
	// A prompt is admitted at the end of the current pass, on average half a pass
	// from now, and prefilled within the next one.
	c.helperFinish = part + pass/2
	c.mainFinish = backlog + part + pass/2
	partDelays := delays{}
	partDelays.add(load, part)
	c.delayCost = partDelays.cost()
	return c
}

// firstEventDelay returns the time from the end of prefill to the first event at the
// published speed: the rest of the pass in which the prefill ended.
func firstEventDelay(costs *costmodel.Costs, load *Load, r Request) float64 {
	if load == nil {
		return costs.Pass(1, float64(r.Prompt))
	}
	return costs.Pass(len(load.Sequences)+1, load.ContextTokens+float64(r.Prompt))
}

// mainCost returns the additional cost of a candidate as the main engine: the time
// of the first event, and the pause in the answer while the engine prefills
// prompts that were placed there before.
func mainCost(costs *costmodel.Costs, e *Engine, r Request, c candidate) float64 {
	first := c.pace * firstEventDelay(costs, e.Load, r)
	pause := 0.0
	if e.Load != nil {
		backlog := costs.PassPrefill(e.Load.PrefillTokens, e.Load.HelperMillis+e.Load.OwnMillis)
		pause = pauseProbability * Value(r.Prompt) * lateLossShare * missRisk(first+backlog, r.GapGoal)
	}
	return pause + Value(r.Prompt)*(loss(c.mainFinish+first, r.Goal, r.CallerTimeout)+latencyCost*c.mainFinish/max(r.Goal, minGoalMillis)) + firstStreamCost(e)
}

func firstStreamCost(e *Engine) float64 {
	if e.Load == nil || len(e.Load.Sequences) == 0 {
		return idleEngineCost
	}
	return 0
}

// fits reports whether an engine has a free slot and memory for a stream.
func fits(costs *costmodel.Costs, e *Engine, tokens int) bool {
	if e.Load != nil && costs.Slots > 0 && len(e.Load.Sequences) >= costs.Slots {
		return false
	}
	return hasMemory(costs, e.Load, tokens)
}

// hasMemory reports whether an engine has memory for additional tokens.
func hasMemory(costs *costmodel.Costs, load *Load, tokens int) bool {
	used := 0
	if load != nil {
		used = load.MemoryTokens
	}
	return float64(used+tokens) <= memoryShare*float64(costs.MemoryTokens)
}
