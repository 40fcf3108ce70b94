// Package ident defines the identifiers of hosts, requests and attempts.
//
// Identifiers carry the facts another host needs to judge what it sees on an
// upstream without asking anyone: an Attempt names the host and incarnation
// that started it and its absolute deadline, so any host can cancel streams
// and reserved memory that outlived their deadline or their holder.
//
// All types are values and safe for concurrent use.
package ident
