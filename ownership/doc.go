// Package ownership decides which host owns which engine.
//
// The owner of an engine accounts for its memory, reclaims the memory of
// abandoned attempts and sends it orders. It is the host with the greatest
// rendezvous hash for the engine among the ready hosts, so hosts that agree on
// the ready hosts agree on all owners without exchanging messages, and a host
// that joins or leaves moves only the engines that it gains or loses. While
// views differ, an engine may have two owners, or an owner whose own view names
// another host; leases expire and orders are level-triggered, so both are safe.
//
// The host package builds a Map whenever the ready hosts change (see
// Map.Covers) and keeps it until then, because a Map caches the owners that it
// computed. A Map is safe for concurrent use.
package ownership
