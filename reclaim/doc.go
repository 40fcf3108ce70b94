// Package reclaim finds abandoned work on an engine: attempts whose result is no
// longer awaited.
//
// The owner of an engine calls Judge with each report and cancels what it
// returns. Judge keeps no state and decides from the attempt identifiers alone,
// so a new owner and two concurrent owners reach the same decision.
//
// Once faults stop, each token is released no later than MaxSkew after the
// deadline of its attempt, plus the report lag, the period at which the owner
// reads reports and the duration of one Cancel. Work of a host that restarted or
// failed is found earlier. A deadline further ahead than any request may ask for
// comes from a wrong clock and counts as passed.
//
// The functions are pure and safe for concurrent use.
package reclaim
