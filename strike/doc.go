// Package strike finds content that crashes the engines that run it.
//
// When an engine crashes, everything that ran there is suspect. Suspects are
// spread at their next try, so that no two run beside each other. Content that
// is suspect of a second crash runs alone on its engine. If that engine crashes
// too, the content is refused. Content that finishes is cleared.
//
// Bound: a host that knows of a strike sends the content one copy at a time;
// after its copy crashed an engine it sends it alone, and after that crash not
// at all. Content that crashes every engine costs the fleet three engines if its
// copies are sent one after the other, each after the strikes of the last
// arrived; otherwise one for each copy sent by a host that knew of no strike,
// and at most two more for each host. Other content is never refused for it,
// because it never crashes alone, unless an engine dies by itself while it runs
// alone. Running every suspect alone would save one engine, but a plain engine
// death would then stop all that ran there until each had an engine for itself.
//
// Strikes name the digest of the content, not a request: the caller may send
// the same content again through any host. They travel between hosts with
// heartbeats; Merge is idempotent and commutative, so order, duplication and
// loss of heartbeats do no harm.
//
// The host package calls Judge before each attempt, Crash when an engine is
// found to have crashed, Finished when an answer was whole, and Gossip and
// Merge for heartbeats. A Registry makes no I/O and reads no clock; it is not
// safe for concurrent use, the host package holds the lock.
package strike
