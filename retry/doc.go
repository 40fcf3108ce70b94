// Package retry decides whether and when a failed attempt is retried.
//
// Only one layer retries: the host and relay packages call Policy.Decide after a
// failure, and no transport below them sends a request again. The attempts share
// a Budget, so that retries stay a bounded share of the traffic when many
// attempts fail at once.
//
// Nothing in this package is safe for concurrent use; the callers hold a lock.
// No function does I/O or reads the clock.
package retry
