// Package retry decides whether and when a failed attempt is made again.
//
// One layer retries: the attempt package asks Policy.Decide after each failure,
// and no transport below it re-sends anything. All attempts of a host draw on
// one Budget, so that retries stay a bounded share of the traffic when many
// attempts fail at once.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package retry
