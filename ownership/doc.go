// Package ownership decides which host owns which engine.
//
// The owner of an engine keeps the account of its memory, reclaims memory that
// nobody waits for and gives it orders. It is the host with the greatest
// rendezvous hash for the engine among the ready hosts, so hosts that agree on
// the ready hosts agree on all owners without a message, and a host that joins
// or leaves moves only the engines that it gains or loses. While views differ,
// an engine may have two owners or an owner that does not know it; leases end
// by themselves and orders are level-triggered, so both are safe.
//
// The host package builds a Map whenever the ready hosts change (Covers tells)
// and keeps it until then, because a Map remembers the owners that it found. A
// Map is safe for concurrent use.
package ownership
