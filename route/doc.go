// Package route holds the routing configuration of an entry host: the service
// that receives a request, whether the request may be retried, its timeout and
// the team that may send it.
//
// The relay package looks up every request in the current Table. A Table is
// immutable and safe for concurrent use. A Holder replaces the table and records
// when it was last confirmed as the newest; it is safe for concurrent use.
package route
