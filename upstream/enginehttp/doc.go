// Package enginehttp is the client of model engines over HTTP/1.1 and
// server-sent events. docs/UPSTREAM-PROTOCOL.md describes the protocol.
//
// The host package creates one Client per process and, from it, one Engine per
// engine in the host list, and reuses them. A Client and its engines are safe
// for concurrent use. The package never retries: each call is sent at most
// once.
//
// Connections are kept alive and reused. After a call was sent to an engine and
// failed, further calls to this engine open new connections until the idle
// timeout has passed, since the other idle connections can be dead too. A
// retry, which is an attempt with a number above one, always opens a new one.
package enginehttp
