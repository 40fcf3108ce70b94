package chart

import (
	"embed"
	"fmt"
	"sync"

	"github.com/citronscale/citronscale/code"
)

//go:embed charts/*.toml
var files embed.FS

// Chart is a checked state chart.
type Chart struct {
	name    Name
	initial State
	states  map[State]stateRules
}

// stateRules defines the effect of each event in one state.
type stateRules struct {
	final      bool
	next       map[Event]State
	ignored    map[Event]bool
	impossible map[Event]bool
}

var loadAll = sync.OnceValues(func() (map[Name]*Chart, error) {
	charts := make(map[Name]*Chart, len(namesOf))
	for _, name := range Names() {
		data, err := files.ReadFile("charts/" + string(name) + ".toml")
		if err != nil {
			return nil, code.New(code.ChartInvalid, "chart %q has no file: %w", name, err)
		}
		chart, err := parse(name, data)
		if err != nil {
			return nil, err
		}
		charts[name] = chart
	}
	return charts, nil
})

// LoadAll checks all embedded charts. A process calls it when it starts.
func LoadAll() error {
	_, err := loadAll()
	return err
}

// Load returns a checked chart. It fails if any embedded chart is invalid.
func Load(name Name) (*Chart, error) {
	charts, err := loadAll()
	if err != nil {
		return nil, err
	}
	chart, ok := charts[name]
	if !ok {
		return nil, code.New(code.ChartInvalid, "chart %q does not exist", name)
	}
	return chart, nil
}

// MustLoad is Load for package variables. It panics if a chart is invalid.
func MustLoad(name Name) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Name returns the name of the chart.
func (c *Chart) Name() Name {
	return c.name
}

// New returns a machine in the initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, state: c.initial}
}

// Machine is one instance of a chart with its current state.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (m *Machine) State() State {
	return m.state
}

// Final reports whether the current state is a final one.
func (m *Machine) Final() bool {
	return m.chart.states[m.state].final
}

// Fire applies an event and returns the state after it. A final state ignores
// every event. An event that is impossible in the current state, or that the
// chart does not define, is an error and leaves the state unchanged.
func (m *Machine) Fire(event Event) (State, error) {
	rules := m.chart.states[m.state]
	if next, ok := rules.next[event]; ok {
		m.state = next
		return next, nil
	}
	if rules.final || rules.ignored[event] {
		return m.state, nil
	}
	return m.state, code.Wrap(fmt.Errorf("chart %q: event %q is impossible in state %q", m.chart.name, event, m.state), code.InternalFault)
}

// Can reports whether the event moves the machine from its current state.
func (m *Machine) Can(event Event) bool {
	_, ok := m.chart.states[m.state].next[event]
	return ok
}
