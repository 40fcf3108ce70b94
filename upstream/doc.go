// Package upstream defines the types for the model engines and plain services
// that citronscale calls: their identity, the calls and the errors that the
// calls return.
//
// The placement and attempt packages use the types. The host package calls the
// Engine and Service interfaces, which the packages enginehttp and servicehttp
// implement over HTTP. Another wire format needs only another implementation of
// these interfaces.
//
// Implementations of Engine and Service are safe for concurrent use. A Stream
// is used by one goroutine, except that Close may be called from any.
package upstream
