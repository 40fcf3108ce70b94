// Package reclaim finds the work on an engine that nobody waits for any more.
//
// The owner of an engine calls Judge with each report and cancels what it
// returns. Judge keeps no state and decides from the attempt identifiers alone,
// so a new owner and two owners at once reach the same verdict.
//
// The bound that follows: once faults stop, each token is free at the latest
// MaxSkew after the deadline of its attempt, plus the report lag, the period in
// which the owner reads reports and the time of one Cancel. Work of a host that
// is replaced or lost is found earlier. A deadline that lies further ahead than
// any request may ask for comes from a wrong clock and counts as passed.
//
// The functions are pure and safe for concurrent use.
package reclaim
