// Package attempt controls the life cycle of one completion request: which
// attempts are made, which frames reach the caller and with which code the
// request ends.
//
// A Machine takes events (an upstream was chosen, a frame arrived, a timer
// fired) and returns actions for the host package to carry out in order. A
// request ends exactly once: with OK after the end marker of a gapless answer,
// or with a code that states correctly whether an upstream may have run it. The
// caller receives each token once and in order over any number of attempts.
//
// Time bound: the machine sets a timer no later than the deadline and ends the
// request at the first event at or after the deadline. A host that fires timers
// within FinishGrace therefore ends every admitted request within its deadline
// plus FinishGrace, even if no other event arrives.
//
// Outcomes: 1xxx if no attempt can have run, 3xxx if the upstream itself
// reported that it had finished the request, otherwise 2xxx.
//
// A Machine performs no I/O and reads no clock. It is not safe for concurrent
// use; the goroutine of the request owns it.
package attempt
