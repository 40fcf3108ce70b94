// Package attempt decides the lifetime of one completion request: which
// attempts are made, which frames reach the caller and with which code the
// request ends.
//
// A Machine takes events (an upstream was chosen, a frame arrived, a timer
// fired) and returns actions for the host package to carry out in order. A
// request ends exactly once: with OK after the end marker of a gapless answer,
// or with a code that is true about whether an upstream can have run it. The
// caller sees each token once and in order over any number of attempts.
//
// Time bound: the machine asks for a timer no later than the deadline and ends
// the request at the first event at or after the deadline. A host that fires
// timers within FinishGrace therefore ends every admitted request within its
// deadline plus FinishGrace, whatever else stays silent.
//
// Outcomes: 1xxx if no attempt can have run, 3xxx if the upstream itself said
// that it was done with the request, otherwise 2xxx.
//
// A Machine makes no I/O and reads no clock. It is not safe for concurrent
// use; the goroutine of the request owns it.
package attempt
