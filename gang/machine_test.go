package gang

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
)

// freeBound returns the time after the last fault within which all memory is free:
// the deadlines pass, a report shows the attempts that remain, and they are
// cancelled.
func (w *world) freeBound() time.Duration {
	return worldLifetime + w.reclaim.MaxSkew + 2*reportPeriod
}

// The faults are lost, repeated and reordered calls and answers, restarts of
// engines, and failures of hosts at any point between reserve and release.
func TestAllMemoryIsFreeOnceFaultsStop(t *testing.T) {
	finished, succeeded := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if len(w.gangs) < worldGangs {
					w.start(t)
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "messages") {
					if pool := len(w.calls) + len(w.answers); pool > 0 {
						w.deliver(rapid.IntRange(0, pool-1).Draw(t, "message"))
					}
				}
			},
			"repeat call": func(t *rapid.T) {
				if len(w.calls) > 0 {
					w.call(rapid.SampledFrom(w.calls).Draw(t, "call"))
				}
			},
			"lose call": func(t *rapid.T) {
				if len(w.calls) > 0 {
					i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
					w.lose(w.calls[i])
					w.calls = slices.Delete(w.calls, i, i+1)
				}
			},
			"lose answer": func(t *rapid.T) {
				if len(w.answers) > 0 {
					i := rapid.IntRange(0, len(w.answers)-1).Draw(t, "answer")
					w.answers = slices.Delete(w.answers, i, i+1)
				}
			},
			"restart engine": func(t *rapid.T) {
				i := rapid.IntRange(0, worldEngines-1).Draw(t, "engine")
				clear(w.engines[i])
				for _, g := range w.gangs {
					w.answers = append(w.answers, worldAnswer{g, Event{Kind: MemberLost, Member: engineName(i)}})
				}
			},
			"host dies": func(t *rapid.T) {
				if len(w.gangs) > 0 && rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					g := rapid.SampledFrom(w.gangs).Draw(t, "gang")
					g.dead = true
					w.isDead[g.attempt.Request.Host] = true
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": w.check,
		})
		w.settle(t, w.freeBound())
		assert.Equal(t, w.held(), 0, "attempts still hold memory")
		for _, g := range w.gangs {
			assert.Assert(t, g.dead || len(g.result) == 1, "an attempt has no result")
			if len(g.result) == 1 {
				finished++
			}
			if slices.Equal(g.result, []code.Code{code.OK}) {
				succeeded++
			}
		}
	})
	t.Logf("%d attempts finished, %d of them succeeded", finished, succeeded)
	assert.Assert(t, succeeded > 0)
}

// Without faults, several large prompts that need the same engines all finish in
// any order of their messages.
func TestLargePromptsDoNotDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range worldGangs {
			w.start(t)
		}
		w.settle(t, DefaultOptions().ReserveWait-time.Second)
		for i, g := range w.gangs {
			assert.DeepEqual(t, g.result, []code.Code{code.OK})
			assert.Assert(t, g.ended, "attempt %d did not end", i)
		}
		assert.Equal(t, w.held(), 0)
	})
}

func testMachine() *Machine {
	attempt := ident.Attempt{Request: ident.Request{Host: "host-1", Incarnation: 1, Sequence: 1}, Number: 1, Deadline: epoch.Add(time.Minute)}
	placement := &Placement{Parts: []Part{
		{Member: "engine-2", Tokens: 5, Reserve: 5},
		{Member: "engine-1", Index: 1, Offset: 5, Tokens: 5, Reserve: 7},
	}}
	return New(DefaultOptions(), attempt, placement)
}

func TestMachineReservesInOrderThenPrefillsThenGenerates(t *testing.T) {
	m := testMachine()
	expect := func(event Event, want ...ActionKind) []Action {
		t.Helper()
		actions := m.Handle(epoch, event)
		var kinds []ActionKind
		for _, action := range actions {
			kinds = append(kinds, action.Kind)
		}
		assert.DeepEqual(t, kinds, want)
		return actions
	}
	first := expect(Event{Kind: Started}, Reserve, SetTimer)
	assert.Equal(t, first[0].Part.Member, engineName(1))
	assert.Equal(t, first[0].Part.Reserve, uint32(7))
	expect(Event{Kind: Reserved, Member: "engine-1"}, Reserve, SetTimer)
	prefill := expect(Event{Kind: Reserved, Member: "engine-2"}, Prefill, SetTimer)
	assert.Equal(t, prefill[0].Part.Member, engineName(2))
	generate := expect(Event{Kind: Prefilled, Member: "engine-2"}, Generate)
	assert.Equal(t, generate[0].Part.Member, engineName(1))
	expect(Event{Kind: Generated}, Finish, Release, Release, SetTimer)
	expect(Event{Kind: Released, Member: "engine-1"}, SetTimer)
	expect(Event{Kind: ReleaseFailed, Member: "engine-2"}, SetTimer)
	expect(Event{Kind: Released, Member: "engine-2"}, End)
	expect(Event{Kind: Reserved, Member: "engine-2"}, Release)
}

// A process that resumes after the deadline sends nothing but releases.
func TestMachineOnlyReleasesAfterTheDeadline(t *testing.T) {
	m := testMachine()
	m.Handle(epoch, Event{Kind: Started})
	actions := m.Handle(epoch.Add(time.Minute), Event{Kind: Reserved, Member: "engine-1"})
	assert.Equal(t, actions[0].Code, code.DeadlineBeforeStart)
	for _, action := range actions {
		assert.Assert(t, action.Kind == Finish || action.Kind == Release || action.Kind == SetTimer)
	}
}
