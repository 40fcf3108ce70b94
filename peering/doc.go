// Package peering sends the streams that this host has placed to the other entry
// hosts, and receives theirs.
//
// A Node sends its complete state in one datagram as soon as a stream was
// placed, shortly after one began to decode or ended, and in a heartbeat every
// second. The newest datagram of a host replaces all earlier ones, so the next
// one makes up for a lost one. Hosts discover each other from a few seeds: each
// heartbeat names some hosts from which its sender recently received datagrams.
// Datagrams are protobuf messages; connect-go serves calls, not datagrams, and a
// call for each stream and host would take several times the CPU time.
//
// The relay package calls a Node through its Peers interface. A Node is safe
// for concurrent use.
package peering
