// Package balancer chooses the engines that one request should try.
//
// The host package keeps one Set, updates it from the host list, load reports,
// cache events and the requests that it sends, and calls Set.Pick for each
// attempt. The other Picker implementations are baselines that the benchmarks
// compare the policy against; operators can also select them by name with
// NewPicker.
//
// A Set samples a fixed number of engines instead of scanning them all, so the
// time of a decision does not grow with the fleet.
//
// Nothing in this package is safe for concurrent use; the host package holds
// the lock. No function does I/O or reads the clock.
package balancer
