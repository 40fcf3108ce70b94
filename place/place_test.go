package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/place"
)

// laws are those of a large dense model on a fast accelerator.
func laws() *costmodel.Laws {
	return &costmodel.Laws{
		Slots: 16, MemoryTokens: 405000, StepMillis: 1.31, PerWriterMillis: 0.000917, ContextMillis: 0.00213,
		ReadPerMilli: 154, PairsMillis: 0.162, ChunkTokens: 2048, Stride: 34, HopMillis: 0.1,
		UsualPrompt: 11317, UsualAnswer: 1266,
	}
}

const (
	short  = 5000   // tokens
	long   = 182000 // tokens
	answer = 1200   // tokens
)

func shortRequest() place.Request {
	return place.Request{Prompt: short, Answer: answer, Goal: 300, GapGoal: 250, Patient: 2000}
}

func longRequest(prompt int) place.Request {
	return place.Request{Prompt: prompt, Answer: answer, Goal: 3000, GapGoal: 1000, Patient: 12000}
}

func rng() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

// engines returns idle engines with keys from 1, and the loads of works.
func engines(n int, works []place.Work, now time.Duration) []place.Engine {
	loads := place.Loads(laws(), works, now)
	list := make([]place.Engine, n)
	for i := range list {
		key := uint64(i + 1)
		list[i] = place.Engine{Key: key, Local: true, Load: loads[key]}
	}
	return list
}

func writing(id, engine uint64, at time.Duration) place.Work {
	return place.Work{
		ID: id, Engines: []uint64{engine}, Prompt: short, Answer: answer, PlacedAt: at, Writing: true,
		WritingAt: at + 100*time.Millisecond, Goal: 300 * time.Millisecond, GapGoal: 250 * time.Millisecond,
	}
}

const second = time.Second

func TestLongPromptIsSplitSoThatItIsInTime(t *testing.T) {
	plan, ok := place.Decide(laws(), engines(21, nil, 0), longRequest(long), rng())
	assert.Assert(t, ok)
	assert.Assert(t, len(plan.Helpers) >= 2, "%d helpers", len(plan.Helpers))
	assert.Assert(t, plan.First < 1500, "first event after %v ms, half of the goal is 1500 ms", plan.First)
}

func TestLongPromptStaysAwayFromShortWriters(t *testing.T) {
	var works []place.Work
	for id := range uint64(6) {
		works = append(works, writing(id+1, 1+id%2, 9*second))
	}
	list := engines(21, works, 10*second)
	plan, ok := place.Decide(laws(), list, longRequest(long), rng())
	assert.Assert(t, ok)
	for _, i := range append(plan.Helpers, plan.Main) {
		assert.Assert(t, list[i].Key > 2, "a part would pause the short streams of engine %d", list[i].Key)
	}
}

func TestShortStreamsShareEngines(t *testing.T) {
	works := []place.Work{writing(1, 3, 9*second)}
	list := engines(21, works, 10*second)
	plan, ok := place.Decide(laws(), list, shortRequest(), rng())
	assert.Assert(t, ok)
	assert.Equal(t, list[plan.Main].Key, uint64(3))
}

func TestShortStreamAvoidsAnEngineThatReads(t *testing.T) {
	works := []place.Work{{
		ID: 1, Engines: []uint64{1, 2}, Prompt: long, Answer: answer, PlacedAt: 10 * second,
		Goal: 3 * second, GapGoal: second,
	}}
	list := engines(3, works, 10*second+100*time.Millisecond)
	plan, ok := place.Decide(laws(), list, shortRequest(), rng())
	assert.Assert(t, ok)
	assert.Equal(t, list[plan.Main].Key, uint64(3))
}

// The newest part for another engine is read first, so an older stream waits
// for it.
func TestNewestPartIsReadFirst(t *testing.T) {
	older := place.Work{ID: 1, Engines: []uint64{1, 9}, Prompt: long, PlacedAt: 0, Goal: 3 * second}
	newer := place.Work{ID: 2, Engines: []uint64{2, 9}, Prompt: long, PlacedAt: 100 * time.Millisecond, Goal: 3 * second}
	part := laws().Read(long, 2)
	loads := place.Loads(laws(), []place.Work{older, newer}, 100*time.Millisecond+costmodel.Millis(part))
	// At engine 9 the newer part is done and the older one has had 100 ms.
	assert.Assert(t, loads[9].HelpLeft > part-110 && loads[9].HelpLeft < part-90, "left %v of %v ms", loads[9].HelpLeft, part)
	assert.Assert(t, loads[1].ReadLeft < 5, "own prompts are read meanwhile: %v", loads[1].ReadLeft)
}

func TestPartsThatDelayOthersHaveAPrice(t *testing.T) {
	waiting := place.Work{ID: 1, Engines: []uint64{1}, Prompt: 150000, Answer: answer, PlacedAt: 0, Goal: 4 * second, GapGoal: second}
	list := engines(8, []place.Work{waiting}, 100*time.Millisecond)
	plan, ok := place.Decide(laws(), list, longRequest(long), rng())
	assert.Assert(t, ok)
	for _, i := range append(plan.Helpers, plan.Main) {
		assert.Assert(t, list[i].Key != 1, "engine 1 would let the stream that waits there miss its goal")
	}
}

func TestPromptOverOneEngineIsHeldByIts(t *testing.T) {
	const huge = 900000
	request := longRequest(huge)
	plan, ok := place.Decide(laws(), engines(21, nil, 0), request, rng())
	assert.Assert(t, ok)
	assert.Assert(t, plan.Holders > 0 && plan.Holders <= len(plan.Helpers))
	rest := huge + answer - plan.Holders*plan.Share
	limit := laws().MemoryTokens
	assert.Assert(t, plan.Share < limit && rest < limit, "share %d, rest %d", plan.Share, rest)
}

// A fleet may have just as many engines as a prompt needs, or fewer than its
// usual parts.
func TestPromptOverOneEngineFitsASmallFleet(t *testing.T) {
	for _, c := range []struct{ prompt, engines int }{{650000, 5}, {900000, 7}, {650000, 2}, {600000, 3}} {
		plan, ok := place.Decide(laws(), engines(c.engines, nil, 0), longRequest(c.prompt), rng())
		assert.Assert(t, ok, "%d tokens on %d idle engines", c.prompt, c.engines)
		rest := c.prompt + answer - plan.Holders*plan.Share
		assert.Assert(t, plan.Share < laws().MemoryTokens && rest < laws().MemoryTokens, "share %d, rest %d", plan.Share, rest)
	}
	_, ok := place.Decide(laws(), engines(2, nil, 0), longRequest(900000), rng())
	assert.Assert(t, !ok, "two engines can't hold 900,000 tokens")
}

func TestHeldPartsCountAsMemory(t *testing.T) {
	works := []place.Work{{ID: 1, Engines: []uint64{1, 2, 3}, Prompt: 600000, Answer: 0, Holders: 1, Share: 300000}}
	loads := place.Loads(laws(), works, second)
	assert.Equal(t, loads[1].Memory, 300000)
	assert.Equal(t, loads[2].Memory, 300000)
	assert.Equal(t, loads[3].Memory, 0)
}

func TestNoRoomIsNoPlan(t *testing.T) {
	var works []place.Work
	for id := range uint64(2) {
		works = append(works, place.Work{ID: id + 1, Engines: []uint64{id + 1}, Prompt: 300000, Answer: answer, PlacedAt: 0})
	}
	_, ok := place.Decide(laws(), engines(2, works, second), longRequest(long), rng())
	assert.Assert(t, !ok, "two engines with 300,000 tokens each have no room for %d", long)
}

func TestUnreachableEngineIsTheLastChoice(t *testing.T) {
	list := engines(2, nil, 0)
	list[0].Avoided = true
	plan, ok := place.Decide(laws(), list, shortRequest(), rng())
	assert.Assert(t, ok)
	assert.Equal(t, plan.Main, 1)
}

func TestLedgerForgetsSilentPeers(t *testing.T) {
	ledger := place.NewLedger()
	ledger.Begin(place.Work{ID: 1, Engines: []uint64{1}})
	ledger.Heard("host-2", []place.Work{{ID: 7, Engines: []uint64{1}}}, 0)
	assert.Equal(t, len(ledger.All(second)), 2)
	assert.Equal(t, len(ledger.All(10*second)), 1)
	ledger.End(1)
	assert.Equal(t, len(ledger.All(10*second)), 0)
}

// A prompt over several engines is served while they have little to read, and
// refused while it would keep them from the streams of others.
func TestLargestPromptsOnlyWhileOthersHaveRoom(t *testing.T) {
	request := longRequest(600000)
	idle := engines(21, nil, 0)
	plan, ok := place.Decide(laws(), idle, request, rng())
	assert.Assert(t, ok)
	assert.Assert(t, place.Worthwhile(laws(), idle, request, plan))

	var works []place.Work
	for id := range uint64(21) {
		works = append(works, place.Work{
			ID: id + 1, Engines: []uint64{id + 1}, Prompt: 100000, Answer: answer, PlacedAt: 0, Goal: 3 * second, GapGoal: second,
		})
	}
	busy := engines(21, works, 100*time.Millisecond)
	plan, ok = place.Decide(laws(), busy, request, rng())
	assert.Assert(t, ok)
	assert.Assert(t, !place.Worthwhile(laws(), busy, request, plan))
}
