// Package upstream defines what citronscale knows about the model engines and
// plain services behind it: their identity, the calls it makes to them and the
// errors those calls return.
//
// The placement and attempt packages use the types. The host package calls the
// Engine and Service interfaces, which the packages enginehttp and servicehttp
// implement over HTTP. Another wire format is another implementation of these
// interfaces and nothing else.
//
// Implementations of Engine and Service are safe for concurrent use. A Stream
// belongs to one goroutine, except that Close may be called from any.
package upstream
