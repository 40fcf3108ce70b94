// Package rate measures rates from single events.
//
// The limit and lease packages embed the types; they are not safe for
// concurrent use and do not read the clock.
package rate
