// Package enginehttp is the client of model engines over HTTP/1.1 and
// server-sent events. docs/UPSTREAM-PROTOCOL.md describes the protocol.
//
// The host package makes one Client for the process and one engine from it per
// engine in the host list, and keeps them. A Client and its engines are safe
// for concurrent use. Nothing here retries: each call is sent at most once.
//
// Connections are kept alive and reused, but not after a call to the same
// engine was sent and failed: for as long as idle connections live, the next
// calls then use connections of their own, since the others can be dead too. A
// retry, which is an attempt with a number above one, always does.
package enginehttp
