// Package strike finds content that crashes the engines that run it.
//
// When an engine crashes, everything that ran there is suspect. A suspect is
// isolated at its next try: it runs alone on its engine, so that a second
// crash singles out the cause. Content that crashed an engine while it ran
// alone, after an earlier crash, is refused. Content that finishes is cleared.
// A host that can't get an engine alone for a suspect doesn't run it.
//
// Bound: a host that knows of a strike sends the content only alone and one
// copy at a time, and not at all after that copy crashed. Content that crashes
// every engine therefore costs the fleet two engines if its copies are sent
// one after the other, each after the strikes of the last arrived; otherwise
// one for each copy sent by a host that knew of no strike, and at most one
// more for each host. Other content is never refused for it, because it never
// crashes alone, unless an engine dies by itself during its trial.
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
