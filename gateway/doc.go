// Package gateway is the caller face of an entry host: the OpenAI-style
// completion endpoints, idempotency keys and the plain services.
//
// The gateway checks team, size and form of a request and hands it to a
// Backend, which carries it to an upstream. It renders answers and errors; it
// takes no routing decision. Every refusal is a problem document with one
// result code. All handlers are safe for concurrent use.
package gateway
