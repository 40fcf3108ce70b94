// Package membership maintains one host's table of all entry hosts.
//
// Each host probes one of its partners per heartbeat period. Partners are a few
// random hosts, one of which is replaced per round, so that connections are
// reused. Probes and responses carry a bounded number of recent changes (gossip).
// A change therefore reaches all hosts in a number of periods that grows with the
// logarithm of their number, at a constant cost per host. A peer that does not
// answer is probed through a third host, then marked suspect and after the
// suspect time failed. A host that receives a record of itself as suspect or
// failed refutes it with a higher version. Records are ordered by incarnation,
// version and state; every host keeps the greatest, so all tables converge.
//
// The platform's host list lags behind. It only seeds the table with addresses
// and marks hosts as leaving.
//
// A process that was paused must not act on stale state: after Resumed no host
// is marked failed on evidence from before the pause, and Settled is false until
// peers have answered.
//
// The package does no I/O. The host package calls Tick once per period, sends
// the returned probes over the peer protocol and reports the outcome with
// Response or Failed; it calls Receive for the probes of other hosts. A Table is
// not safe for concurrent use; the host package holds the lock.
package membership
