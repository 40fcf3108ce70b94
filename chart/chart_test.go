package chart

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
)

// TestEveryTransition puts a machine into every state of every chart, fires
// every event and compares the result with the rules of the chart file.
func TestEveryTransition(t *testing.T) {
	for _, name := range Names() {
		chart, err := Load(name)
		assert.NilError(t, err)
		fired := 0
		for state, rules := range chart.states {
			for _, event := range namesOf[name].events {
				m := &Machine{chart: chart, state: state}
				got, err := m.Fire(event)
				target, moves := rules.next[event]
				if !moves {
					target = state
				}
				assert.Equal(t, got, target, "%s: %s on %s", name, event, state)
				assert.Equal(t, m.State(), target)
				assert.Equal(t, err != nil, rules.impossible[event], "%s: %s on %s", name, event, state)
				fired++
			}
		}
		assert.Equal(t, fired, len(namesOf[name].states)*len(namesOf[name].events))
	}
}

// TestEveryStateIsReachable fires events from the initial state of every chart
// and checks that every other state can be reached.
func TestEveryStateIsReachable(t *testing.T) {
	for _, name := range Names() {
		chart := MustLoad(name)
		paths := map[State][]Event{chart.initial: nil}
		pending := []State{chart.initial}
		for len(pending) > 0 {
			state := pending[0]
			pending = pending[1:]
			for event, target := range chart.states[state].next {
				if _, ok := paths[target]; !ok {
					paths[target] = append(slices.Clone(paths[state]), event)
					pending = append(pending, target)
				}
			}
		}
		for state, path := range paths {
			m := chart.New()
			for _, event := range path {
				_, err := m.Fire(event)
				assert.NilError(t, err)
			}
			assert.Equal(t, m.State(), state)
		}
		assert.Equal(t, len(paths), len(slices.Collect(maps.Keys(chart.states))))
	}
}

func TestInvalidChartsAreRejected(t *testing.T) {
	good, err := files.ReadFile("charts/process.toml")
	assert.NilError(t, err)
	cases := []struct{ name, from, to, want string }{
		{"unknown state", "[state.stopped]", "[state.halted]", `state "halted" is not known`},
		{"missing state", "[state.stopped]\nfinal = true", "", `state "stopped" is missing`},
		{"unknown event", `"idle", "pause"]` + "\n\n[state.starting]", `"idle", "pause", "nap"]` + "\n\n[state.starting]", `event "nap" is not known`},
		{"missing event", `"stop", "idle", "pause"]` + "\n\n[state.starting]", `"stop", "idle"]` + "\n\n[state.starting]", `event "pause" is missing`},
		{"missing transition", `ignore = ["configured", "idle", "pause"]`, `ignore = ["configured", "idle"]`, `states event "pause" 0 times`},
		{"double transition", `ignore = ["configured", "idle", "pause"]`, `ignore = ["configured", "idle", "pause", "stop"]`, `states event "stop" 2 times`},
		{"unknown target", `idle = "stopped"`, `idle = "halted"`, `unknown state "halted"`},
		{"unreachable state", `on = { idle = "stopped" }`, `on = { idle = "leaving" }`, `state "stopped" can't be reached`},
		{"unknown field", "final = true", "final = true\ncolour = 1", "colour"},
		{"no initial", `initial = "starting"`, `initial = "begin"`, `initial state "begin" does not exist`},
		{"final with transitions", "final = true", "final = true\nignore = [\"stop\"]", "has transitions"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(string(good), c.from))
			_, err := parse(Process, []byte(strings.Replace(string(good), c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, code.Of(err), code.ChartInvalid)
		})
	}
}
