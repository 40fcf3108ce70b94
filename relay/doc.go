// Package relay passes requests of callers on to upstreams: it finds the route,
// admits, places, sends, tries again where that is allowed, and returns the
// upstream's answer unchanged.
//
// A Server is an http.Handler; it is safe for concurrent use. The decisions are
// in packages without I/O: route (where to and how often), place (engines of a
// stream), fleet (upstream of a plain service) and retry (the retry rule). The
// headers of callers and upstreams are the business of a Dialect.
package relay
