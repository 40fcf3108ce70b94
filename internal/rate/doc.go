// Package rate estimates rates from single events with exponential decay.
//
// The types are not safe for concurrent use and do not read the clock. The limit
// and lease packages embed them.
package rate
