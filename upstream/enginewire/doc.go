// Package enginewire defines the JSON messages between citronscale and a model
// engine. docs/UPSTREAM-PROTOCOL.md describes the protocol.
//
// The client in enginehttp and the engine stand-in use it. All functions are
// safe for concurrent use.
package enginewire
