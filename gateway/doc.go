// Package gateway implements the caller API of an entry host: the
// OpenAI-compatible completion endpoints, idempotency keys and the plain services.
//
// The gateway checks the team, the size and the syntax of a request and passes it
// to a Backend, which forwards it to an upstream. It renders responses and errors;
// it makes no routing decision. Every rejection is a problem document with one
// result code. All handlers are safe for concurrent use.
package gateway
