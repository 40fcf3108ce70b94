// Package fleet holds the upstreams of each service: their state as published by
// discovery, and the outcomes of the requests of this host.
//
// Discovery updates the list, the relay package reports the outcome of each
// attempt, and Choose selects an upstream of a plain service. A Set is safe for
// concurrent use; Choose does no I/O and reads no clock.
package fleet
