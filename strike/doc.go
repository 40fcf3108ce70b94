// Package strike finds content that crashes the engines that run it. A Registry knows
// whole prompts by their digests; a PartRegistry also knows the parts that prompts
// share, and finds the part that crashes engines where no two prompts are alike.
//
// # Registry
//
// When an engine crashes, all content that ran on it gets a strike and is
// suspect. The next attempts of suspects go to separate engines, so that no two
// suspects share one. Content with strikes from two crashes runs alone on its
// engine. If that engine crashes too, the content is refused. Content that runs
// to completion is cleared.
//
// Bound: a host that has a strike against content sends one copy of it at a time;
// after that copy crashed an engine it sends the content alone, and after that
// crash not at all. Content that crashes every engine costs the fleet three
// engines if its copies are sent one after the other, each after the strikes of
// the previous crash arrived; otherwise one engine for each copy sent by a host
// that had no strike, and at most two more for each host. Other content is never
// refused because of it, unless an engine fails for another reason while that
// other content runs alone. Running every suspect alone would save one engine, but
// after an unrelated engine failure all content that ran there would have to wait
// for an engine of its own.
//
// A strike contains the digest of the content, not a request identifier, because
// the caller may send the same content again through any host. Heartbeats carry
// strikes between hosts; Merge is idempotent and commutative, so order,
// duplication and loss of heartbeats do not matter.
//
// The host package calls Judge before each attempt, Crash when it detects that an
// engine crashed, Finished when an answer is complete, and Gossip and Merge for
// heartbeats. A Registry performs no I/O and reads no clock; it is not safe for
// concurrent use, the host package holds the lock.
//
// # PartRegistry
//
// The relay package reports each request that was lost in a crash before its answer
// began (Lost) and each answer that began on an engine that stayed up (Started), shares
// the evidence that both return, and calls Judge before each attempt.
package strike
