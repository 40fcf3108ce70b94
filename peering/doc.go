// Package peering exchanges placed streams and published entries between the entry
// hosts.
//
// A Node sends its complete state to the hosts of its group in one datagram as soon
// as a stream was placed, shortly after one began to decode or ended, and in a
// heartbeat every second. The newest announcement of a host replaces all earlier ones,
// so the next one makes up for a lost one. One host of each group relays what changed
// to the other groups, in bundles. Hosts discover each other from a few seeds: each
// heartbeat names some hosts from which its sender recently received datagrams.
// Datagrams are protobuf messages; connect-go serves calls, not datagrams, and a
// call for each stream and host would take several times the CPU time.
//
// Hosts also ask the first ones of their group to confirm that the published entries
// are the newest, and fetch entries from them by connect-go.
//
// The relay package calls a Node through its Peers interface, package platform through
// its own. A Node is safe for concurrent use.
package peering
