// Package record remembers what ran, for a bounded number of requests and
// minutes, and joins the answers of several hosts into one verdict.
//
// A Book never guesses: it tells a request that it has never seen from one
// that it may have forgotten, and marks a request of which it forgot entries.
// Judge says "not run" only on the word of the incarnation that admitted the
// request, and "unknown" when the hosts that could tell are gone.
//
// The host package adds entries as requests go on and serves Lookup to peers
// and operators; citronctl calls Judge on the answers. Books make no I/O and
// read no clock; they are not safe for concurrent use, the host package holds
// the lock.
package record
