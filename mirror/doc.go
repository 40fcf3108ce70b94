// Package mirror keeps the published entries that a host has applied, so that few
// hosts read the source of the configuration and the others read it from them.
//
// A State holds the entries by key and answers which of them changed after a
// position of the source. A Duty decides whether a host reads the source itself or
// relies on the confirmations of its peers. Both do no I/O; package peering carries
// queries and entries between hosts, and package platform applies them.
//
// A confirmation is sound on hosts that are suspended at any moment: a host sends a
// query with a number of its own, and counts the answer with this number as of the
// time of the query less the age that the peer tells.
package mirror
