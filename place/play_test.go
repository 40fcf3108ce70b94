package place_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

// The tests in this file play a load against simulated engines that follow the
// published laws, and compare what callers get under two ways of placing.

// stream is one request on its way through the simulated engines.
type stream struct {
	id       uint64
	arrives  float64 // milliseconds
	request  place.Request
	engines  []int
	unread   int     // engines that have not read their part
	first    float64 // milliseconds after arrival; 0 before the first event
	last     float64 // when its latest event came
	longest  float64 // longest pause between events
	left     int     // tokens to write
	finished bool
}

// part is what one engine reads of a prompt.
type part struct {
	of   *stream
	left float64
	help bool
}

// engine reads and writes in passes.
type engine struct {
	laws    *costmodel.Laws
	parts   []*part // in reading order
	writers []*stream
	free    float64 // when the pass that runs ends
}

func (e *engine) accept(p *part) {
	if p.help {
		e.parts = slices.Insert(e.parts, 0, p)
		return
	}
	e.parts = append(e.parts, p)
}

// pass runs one pass that begins at now.
func (e *engine) pass(now float64) {
	context := 0.0
	for _, w := range e.writers {
		context += float64(w.request.Prompt)
	}
	spent := 0.0
	budget := readBudget
	if len(e.writers) > 0 {
		spent = e.laws.Pass(len(e.writers), context)
		budget = passBudget
	}
	var read []*part
	for _, p := range e.parts {
		step := min(p.left, budget)
		p.left -= step
		budget -= step
		spent += step
		if p.left <= 0 {
			read = append(read, p)
		}
	}
	e.free = now + max(spent, idlePass)
	e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.left <= 0 })
	e.write()
	for _, p := range read {
		p.of.unread--
	}
}

const (
	idlePass   = 5.0    // milliseconds until an idle engine looks again
	readBudget = 60.0   // milliseconds read in one pass without writers
	passBudget = 1200.0 // the same with writers: a pass has many steps
)

func (e *engine) write() {
	for _, w := range e.writers {
		w.event(e.free)
		w.left -= e.laws.Stride
		w.finished = w.left <= 0
	}
	e.writers = slices.DeleteFunc(e.writers, func(w *stream) bool { return w.finished })
}

func (s *stream) event(at float64) {
	if s.first == 0 {
		s.first = at - s.arrives
	} else {
		s.longest = max(s.longest, at-s.last)
	}
	s.last = at
}

func (s *stream) onTime() bool {
	return s.finished && s.first <= s.request.Goal && s.longest <= s.request.GapGoal
}

// placer returns the engines of a stream, the one that writes first.
type placer func(s *stream, ledger *place.Ledger, now time.Duration) []int

// play runs a load and returns the share of the worth that callers get.
func play(load []*stream, count int, choose placer) float64 {
	engines := make([]*engine, count)
	for i := range engines {
		engines[i] = &engine{laws: laws()}
	}
	ledger := place.NewLedger()
	pending := load
	var active []*stream
	for now := 0.0; now < 60000; now++ {
		for len(pending) > 0 && pending[0].arrives <= now {
			s := pending[0]
			pending = pending[1:]
			start(s, engines, ledger, choose)
			active = append(active, s)
		}
		for _, e := range engines {
			if e.free <= now {
				e.pass(now)
			}
		}
		active = advance(active, engines, ledger, now)
	}
	got, owed := 0.0, 0.0
	for _, s := range load {
		weight := place.Weight(s.request.Prompt)
		owed += weight
		if s.onTime() {
			got += weight
		}
	}
	return got / owed
}

func start(s *stream, engines []*engine, ledger *place.Ledger, choose placer) {
	now := costmodel.Millis(s.arrives)
	s.engines = choose(s, ledger, now)
	s.unread = len(s.engines)
	work := place.Work{
		ID: s.id, Prompt: s.request.Prompt, Answer: s.request.Answer, PlacedAt: now,
		Goal: costmodel.Millis(s.request.Goal), GapGoal: costmodel.Millis(s.request.GapGoal),
	}
	for i, index := range s.engines {
		work.Engines = append(work.Engines, uint64(index+1))
		engines[index].accept(&part{of: s, left: laws().Read(s.request.Prompt, len(s.engines)), help: i > 0})
	}
	ledger.Begin(work)
}

func advance(active []*stream, engines []*engine, ledger *place.Ledger, now float64) []*stream {
	return slices.DeleteFunc(active, func(s *stream) bool {
		if s.unread == 0 && s.left == 0 && !s.finished {
			s.left = s.request.Answer
			engines[s.engines[0]].writers = append(engines[s.engines[0]].writers, s)
		}
		if s.first > 0 {
			ledger.FirstEvent(s.id, costmodel.Millis(now))
		}
		if s.finished {
			ledger.End(s.id)
		}
		return s.finished
	})
}

// burst is ten seconds of many long prompts among short ones.
func burst(seed uint64, longEach, shortEach float64) []*stream {
	rng := rand.New(rand.NewPCG(seed, 0))
	var load []*stream
	add := func(each float64, request func() place.Request) {
		for at := rng.ExpFloat64() * each; at < 10000; at += rng.ExpFloat64() * each {
			load = append(load, &stream{id: uint64(len(load) + 1), arrives: at, request: request()})
		}
	}
	add(longEach, func() place.Request { return longRequest(60000 + rng.IntN(240000)) })
	add(shortEach, shortRequest)
	slices.SortFunc(load, func(a, b *stream) int { return int(a.arrives - b.arrives) })
	return load
}

const engineCount = 21

func decided(s *stream, ledger *place.Ledger, now time.Duration) []int {
	list := engines(engineCount, ledger.All(now), now)
	plan, ok := place.Decide(laws(), list, s.request, rand.New(rand.NewPCG(s.id, 1)))
	if !ok {
		return []int{int(s.id % engineCount)}
	}
	return append([]int{plan.Main}, plan.Helpers...)
}

// leastStreams is the baseline: the engine with the fewest streams.
func leastStreams(_ *stream, ledger *place.Ledger, now time.Duration) []int {
	counts := make([]int, engineCount)
	for _, w := range ledger.All(now) {
		counts[w.Engines[0]-1]++
	}
	return []int{slices.Index(counts, slices.Min(counts))}
}

// Load: 2 long prompts and 12 short ones a second on 21 engines, the first ten
// seconds of the heaviest days.
func TestMoreWorthThanFewestStreamsWhenLongPromptsBurst(t *testing.T) {
	for seed := range uint64(3) {
		want := play(burst(seed, 500, 83), engineCount, leastStreams)
		got := play(burst(seed, 500, 83), engineCount, decided)
		t.Logf("seed %d: %.3f of the worth on time, %.3f with the fewest streams", seed, got, want)
		assert.Assert(t, got > want+0.2, "seed %d: %.3f of the worth on time, %.3f with the fewest streams", seed, got, want)
	}
}

// Load: 80 short prompts a second on 21 engines, few long ones: a swing of short
// requests at its crest.
func TestShortStreamsAreOnTimeAtTheCrest(t *testing.T) {
	for seed := range uint64(3) {
		got := play(burst(seed, 5000, 12.5), engineCount, decided)
		t.Logf("seed %d: %.3f of the worth on time", seed, got)
		assert.Assert(t, got > 0.85, "seed %d: %.3f of the worth on time", seed, got)
	}
}
