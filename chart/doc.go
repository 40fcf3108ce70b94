// Package chart loads the state charts of citronscale and drives machines
// through them.
//
// A chart is an embedded TOML file. It lists its states and events, and for
// each state what every event does: move to another state, be ignored, or be
// impossible. Load compares the file with the State and Event constants of
// this package, so a name that only one side knows, a state that can't be
// reached and an event that a state leaves out are errors with
// code.ChartInvalid when the process starts.
//
// The packages attempt and keyed and the host package hold one Machine for
// each thing whose life a chart describes. A Chart is immutable and safe for
// concurrent use. A Machine is not: its owner serializes the calls.
package chart
