package place

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/citronscale/citronscale/costmodel"
)

// Engine is a candidate.
type Engine struct {
	Key     uint64
	Failing float64 // recent share of failed requests, from 0 to 1
	Avoided bool    // it could not be reached lately
	Local   bool    // it is in the failure domain of this host
	Load    *Load   // nil if it has nothing to do
}

// Request is a stream to be placed.
type Request struct {
	Prompt  int     // tokens
	Answer  int     // expected tokens
	Goal    float64 // milliseconds left until the first event is late
	GapGoal float64 // milliseconds
	Patient float64 // milliseconds left until the caller leaves
}

// Plan says who works on a stream.
type Plan struct {
	Main    int     // index of the engine that writes
	Helpers []int   // indices of the engines that read parts of the prompt
	Holders int     // the first helpers that also hold a part of it in their memory
	Share   int     // tokens that each of them holds
	First   float64 // milliseconds until the first event
	Harm    float64
}

var splits = []int{1, 2, 3, 4, 6, 8, 12, mostHelpers + 1}

// Decide returns the plan with the least expected harm. It returns false if no
// engines have the places and the memory for the stream.
func Decide(laws *costmodel.Laws, engines []Engine, r Request, rng *rand.Rand) (Plan, bool) {
	best, found := Plan{}, false
	order := rng.Perm(len(engines))
	holders, share := spread(laws, r, len(engines))
	for _, parts := range splitsFrom(holders + 1) {
		if parts > holders+1 && r.Prompt < helpFrom || parts > len(engines) {
			break
		}
		plan, ok := planFor(laws, engines, r, split{parts, holders, share}, order)
		if ok && (!found || plan.Harm < best.Harm) {
			best, found = plan, true
		}
	}
	return best, found
}

// splitsFrom returns the numbers of parts to weigh, least and all usual ones above.
func splitsFrom(least int) []int {
	above, _ := slices.BinarySearch(splits, least+1)
	return append([]int{least}, splits[above:]...)
}

// spread returns how many helpers have to hold a part of a prompt, and how many
// tokens each, because one engine can't hold it. Parts are kept well below the
// memory of an engine, which holds other prompts too, if there are enough engines.
func spread(laws *costmodel.Laws, r Request, available int) (holders, share int) {
	need := r.Prompt + r.Answer
	if float64(need) <= memoryShare*float64(laws.MemoryTokens) {
		return 0, 0
	}
	most := partShare * float64(laws.MemoryTokens)
	engines := max(min(int(math.Ceil(float64(need)/most)), available, mostHelpers+1), 1)
	return engines - 1, need / engines
}

// split is one way to divide a prompt.
type split struct {
	parts, holders, share int
}

// option is one engine with its share of a prompt.
type option struct {
	index int
	harm  float64 // to those that write there, and by its own failures
	delay float64 // harm to those that wait there to be read, if it helps
	help  float64 // when it has read its part as a helper, milliseconds from now
	read  float64 // the same as the engine that writes
}

func planFor(laws *costmodel.Laws, engines []Engine, r Request, way split, order []int) (Plan, bool) {
	main := option{index: -1}
	mainHarm := 0.0
	options := make([]option, 0, len(engines))
	for _, i := range order {
		o := weigh(laws, &engines[i], i, r, way.parts)
		if fits(laws, &engines[i], r.Prompt+r.Answer-way.holders*way.share) {
			harm := o.harm + mainCost(laws, &engines[i], r, o)
			if main.index < 0 || harm < mainHarm {
				main, mainHarm = o, harm
			}
		}
		options = append(options, o)
	}
	if main.index < 0 {
		return Plan{}, false
	}
	plan := Plan{Main: main.index, Harm: main.harm, Holders: way.holders, Share: way.share}
	finish, ok := addHelpers(laws, engines, options, way, r, &plan)
	if !ok {
		return Plan{}, false
	}
	finish = max(finish, main.read)
	plan.First = finish + tail(laws, engines[main.index].Load, r)
	together := delays{}
	for _, i := range plan.Helpers {
		together.add(engines[i].Load, partMillis(laws, engines[i].Load, r.Prompt, way.parts))
	}
	plan.Harm += together.harm()
	plan.Harm += Weight(r.Prompt) * (loss(plan.First, r.Goal, r.Patient) + slowCost*plan.First/max(r.Goal, minGoal))
	plan.Harm += opening(&engines[main.index])
	return plan, true
}

// addHelpers adds the best helpers to a plan, those that hold a part first, and
// returns when the last of them has read its part.
func addHelpers(laws *costmodel.Laws, engines []Engine, options []option, way split, r Request, plan *Plan) (float64, bool) {
	weight := Weight(r.Prompt)
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Compare(a.helpCost(weight, r), b.helpCost(weight, r))
	})
	var holding, reading []int
	finish := 0.0
	for _, o := range options {
		if len(holding)+len(reading) == way.parts-1 {
			break
		}
		e := &engines[o.index]
		if o.index == plan.Main || e.Avoided || !canHelp(laws, e.Load) {
			continue
		}
		switch {
		case len(holding) < way.holders && holds(laws, e.Load, way.share):
			holding = append(holding, o.index)
		case len(reading) < way.parts-1-way.holders:
			reading = append(reading, o.index)
		default:
			continue
		}
		plan.Harm += o.harm + helperCost
		finish = max(finish, o.help)
	}
	plan.Helpers = append(holding, reading...)
	return finish, len(plan.Helpers) == way.parts-1
}

// helpCost orders engines by how well they can help.
func (o *option) helpCost(weight float64, r Request) float64 {
	return o.harm + o.delay + weight*(loss(o.help, r.Goal, r.Patient)+slowCost*o.help/max(r.Goal, minGoal))
}

func canHelp(laws *costmodel.Laws, load *Load) bool {
	return load == nil || load.Helping < laws.Slots/2
}

// weigh says what a part of a prompt does to one engine.
func weigh(laws *costmodel.Laws, e *Engine, index int, r Request, parts int) option {
	weight := Weight(r.Prompt)
	part := partMillis(laws, e.Load, r.Prompt, parts)
	o := option{index: index, harm: e.Failing * failingCost * weight / float64(parts)}
	if e.Avoided {
		o.harm += weight
	}
	if !e.Local {
		o.harm += remoteCost
	}
	load := e.Load
	if load == nil {
		o.help, o.read = part, part
		return o
	}
	pass := 0.0
	if len(load.Writers) > 0 {
		pass = laws.Pass(len(load.Writers), load.Context)
	}
	backlog := load.HelpLeft + load.ReadLeft
	before := laws.PassRead(load.Unread, backlog)
	after := laws.PassRead(load.Unread+r.Prompt/parts, backlog+part)
	for _, w := range load.Writers {
		o.harm += w.Weight * (late(pass+after, w.GapGoal) - late(pass+before, w.GapGoal))
	}
	// A prompt is admitted at the end of the pass that runs, on average half of
	// one away, and read within the next.
	o.help = part + pass/2
	o.read = backlog + part + pass/2
	alone := delays{}
	alone.add(load, part)
	o.delay = alone.harm()
	return o
}

// tail returns the time from the end of reading to the first event: the rest
// of the pass in which the prompt was read.
func tail(laws *costmodel.Laws, load *Load, r Request) float64 {
	if load == nil {
		return laws.Pass(1, float64(r.Prompt))
	}
	return laws.Pass(len(load.Writers)+1, load.Context+float64(r.Prompt))
}

// mainCost is what matters at the engine that writes, beside its part: when the
// first event comes, and the pause in the answer while the engine reads what was
// placed there before.
func mainCost(laws *costmodel.Laws, e *Engine, r Request, o option) float64 {
	pause := 0.0
	if e.Load != nil {
		backlog := laws.PassRead(e.Load.Unread, e.Load.HelpLeft+e.Load.ReadLeft)
		pause = pauseShare * Weight(r.Prompt) * lateShare * late(tail(laws, e.Load, r)+backlog, r.GapGoal)
	}
	return pause + Weight(r.Prompt)*(loss(o.read+tail(laws, e.Load, r), r.Goal, r.Patient)+slowCost*o.read/max(r.Goal, minGoal)) + opening(e)
}

func opening(e *Engine) float64 {
	if e.Load == nil || len(e.Load.Writers) == 0 {
		return openCost
	}
	return 0
}

// fits reports whether an engine has a place and memory for a stream.
func fits(laws *costmodel.Laws, e *Engine, tokens int) bool {
	if e.Load != nil && laws.Slots > 0 && len(e.Load.Writers) >= laws.Slots {
		return false
	}
	return holds(laws, e.Load, tokens)
}

// holds reports whether an engine has memory for tokens more.
func holds(laws *costmodel.Laws, load *Load, tokens int) bool {
	taken := 0
	if load != nil {
		taken = load.Memory
	}
	return float64(taken+tokens) <= memoryShare*float64(laws.MemoryTokens)
}
