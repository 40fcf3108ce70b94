package chart

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/citronscale/citronscale/code"
)

// document is the form of a chart file.
type document struct {
	Initial State                   `toml:"initial"`
	Events  []Event                 `toml:"events"`
	States  map[State]stateDocument `toml:"state"`
}

type stateDocument struct {
	Final      bool            `toml:"final"`
	On         map[Event]State `toml:"on"`
	Ignore     []Event         `toml:"ignore"`
	Impossible []Event         `toml:"impossible"`
}

// parse reads a chart file and checks it against the names that the code
// defines.
func parse(name Name, data []byte) (*Chart, error) {
	var doc document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, code.New(code.ChartInvalid, "chart %q: %w", name, withUnknownFields(err))
	}
	if err := checkNames(name, &doc); err != nil {
		return nil, err
	}
	chart := &Chart{name: name, initial: doc.Initial, states: make(map[State]stateRules, len(doc.States))}
	for _, state := range slices.Sorted(maps.Keys(doc.States)) {
		rules, err := parseState(name, state, &doc)
		if err != nil {
			return nil, err
		}
		chart.states[state] = rules
	}
	return chart, checkReachable(chart)
}

// withUnknownFields adds the unknown fields that a strict decoder rejected to
// its error.
func withUnknownFields(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%w:\n%s", err, strict.String())
	}
	return err
}

// checkNames compares the states and events of the file with the constants.
func checkNames(name Name, doc *document) error {
	want, ok := namesOf[name]
	if !ok {
		return code.New(code.ChartInvalid, "chart %q is not known to the code", name)
	}
	for state := range doc.States {
		if !slices.Contains(want.states, state) {
			return code.New(code.ChartInvalid, "chart %q: state %q is not known to the code", name, state)
		}
	}
	for _, state := range want.states {
		if _, ok := doc.States[state]; !ok {
			return code.New(code.ChartInvalid, "chart %q: state %q is missing", name, state)
		}
	}
	for _, event := range doc.Events {
		if !slices.Contains(want.events, event) {
			return code.New(code.ChartInvalid, "chart %q: event %q is not known to the code", name, event)
		}
	}
	for _, event := range want.events {
		if !slices.Contains(doc.Events, event) {
			return code.New(code.ChartInvalid, "chart %q: event %q is missing", name, event)
		}
	}
	if _, ok := doc.States[doc.Initial]; !ok {
		return code.New(code.ChartInvalid, "chart %q: initial state %q does not exist", name, doc.Initial)
	}
	return nil
}

// parseState checks that a state defines the effect of each event exactly once.
func parseState(name Name, state State, doc *document) (stateRules, error) {
	source := doc.States[state]
	rules := stateRules{final: source.Final, next: source.On, ignored: setOf(source.Ignore), impossible: setOf(source.Impossible)}
	if source.Final {
		if len(source.On)+len(source.Ignore)+len(source.Impossible) > 0 {
			return rules, code.New(code.ChartInvalid, "chart %q: final state %q has transitions", name, state)
		}
		return rules, nil
	}
	var defined []Event
	for event, target := range source.On {
		if _, ok := doc.States[target]; !ok {
			return rules, code.New(code.ChartInvalid, "chart %q: state %q: event %q leads to unknown state %q", name, state, event, target)
		}
		defined = append(defined, event)
	}
	defined = slices.Concat(defined, source.Ignore, source.Impossible)
	return rules, checkComplete(name, state, doc.Events, defined)
}

func checkComplete(name Name, state State, events, defined []Event) error {
	counts := make(map[Event]int, len(events))
	for _, event := range defined {
		if !slices.Contains(events, event) {
			return code.New(code.ChartInvalid, "chart %q: state %q: event %q does not exist", name, state, event)
		}
		counts[event]++
	}
	for _, event := range events {
		if counts[event] != 1 {
			return code.New(code.ChartInvalid, "chart %q: state %q states event %q %d times, want once", name, state, event, counts[event])
		}
	}
	return nil
}

// checkReachable fails if a state can't be reached from the initial one.
func checkReachable(chart *Chart) error {
	reached := map[State]bool{chart.initial: true}
	pending := []State{chart.initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, target := range chart.states[state].next {
			if !reached[target] {
				reached[target] = true
				pending = append(pending, target)
			}
		}
	}
	for _, state := range slices.Sorted(maps.Keys(chart.states)) {
		if !reached[state] {
			return code.New(code.ChartInvalid, "chart %q: state %q can't be reached", chart.name, state)
		}
	}
	return nil
}

func setOf(events []Event) map[Event]bool {
	set := make(map[Event]bool, len(events))
	for _, event := range events {
		set[event] = true
	}
	return set
}
