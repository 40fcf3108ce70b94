// Package enginewire defines the JSON messages between citronscale and a model
// engine. docs/UPSTREAM-PROTOCOL.md describes the protocol.
//
// It is used by the client in enginehttp and by the stub engine in enginestub.
// All functions are safe for concurrent use.
package enginewire
