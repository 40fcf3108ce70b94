// Package relay forwards requests of callers to upstreams: it finds the route,
// admits the request, selects the upstream, sends the request, retries where
// that is allowed, and returns the upstream's answer unchanged.
//
// A Server is an http.Handler; it is safe for concurrent use. The decisions are
// in packages without I/O: route (services and number of attempts), place
// (engines of a stream), fleet (upstream of a plain service) and retry (the
// retry policy). A Dialect reads and writes the headers of callers and upstreams.
package relay
