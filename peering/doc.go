// Package peering tells the other entry hosts which streams this host has
// placed, and hears the same from them.
//
// A Node sends its whole state in one datagram whenever a stream was placed, a
// little later when one began to write or ended, and every second besides; the
// newest datagram of a host replaces all before it, so a lost one does no
// lasting harm. Hosts find each other from a few seeds: each datagram names some
// hosts that its sender has heard lately. Datagrams are protobuf; connect-go
// serves calls, not datagrams, and a call for each stream and host would cost
// several times the processor time.
//
// The relay package calls a Node through its Peers interface. A Node is safe
// for concurrent use.
package peering
