// Package ident defines the identifiers of hosts, requests and attempts.
//
// An Attempt contains the host and incarnation that started it and its absolute
// deadline. Any host that finds an attempt on an upstream can therefore cancel
// its stream and release its reserved memory after its deadline or the end of the
// incarnation, without a query to another host.
//
// All types are values and safe for concurrent use.
package ident
