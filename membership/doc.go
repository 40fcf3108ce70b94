// Package membership keeps one host's view of all entry hosts.
//
// Each host probes one of its partners per heartbeat period. Partners are a few
// random hosts, one of which is exchanged per turn; they spare connections. Probes
// and answers carry a bounded number of recent changes, so news reaches all
// hosts in a number of periods that grows with the logarithm of their number,
// at a cost per host that does not grow. A peer that does not answer is probed
// through a third host, then counted as suspect and after the suspect time as
// failed. A host that hears itself called suspect or failed refutes it with a
// higher version of its record. Records are ordered by incarnation, version and
// state; the greater one wins everywhere, so all hosts converge.
//
// The platform's host list lags. It only seeds the table with addresses and
// marks hosts as leaving.
//
// A process that was paused must not act on what it believed before: after
// Resumed no host is counted as failed on evidence from before the pause, and
// Settled is false until peers have answered.
//
// The package does no I/O. The host package calls Tick once per period, sends
// the probes it returns over the peer protocol and reports the outcome with
// Response or Failed; it calls Receive for the probes of others. A Table is not
// safe for concurrent use; the host package holds the lock.
package membership
