// Package chart loads the state charts of citronscale and drives machines
// through them.
//
// A chart is an embedded TOML file. It lists its states and events, and for
// each state what every event does: move to another state, be ignored, or be
// impossible. Load compares the file with the State and Event constants of this
// package. A name that only one side defines, a state that can't be reached and
// an event without a rule in a state are errors with code.ChartInvalid when the
// process starts.
//
// Other packages hold one Machine for each object whose states a chart
// describes, such as a request or an idempotency key. A Chart is immutable and
// safe for concurrent use. A Machine is not: its owner serializes the calls.
package chart
