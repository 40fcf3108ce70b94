// Package record stores the events of requests, for a bounded number of requests
// and a bounded time, and combines the answers of several hosts into one verdict.
//
// A Book distinguishes a request that it has never seen from one whose entries it
// may have removed, and marks a request of which some entries were removed. Judge
// returns "not run" only on the answer of the incarnation that admitted the
// request, and "unknown" if the hosts that have the entries do not answer.
//
// The host package adds entries as requests progress and serves Lookup to peers
// and operators; citronctl calls Judge on the answers. Books perform no I/O and
// read no clock; they are not safe for concurrent use, the host package holds
// the lock.
package record
