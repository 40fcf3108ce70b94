// Package fleet holds the upstreams of each service as one host sees them: what
// discovery says of them and the evidence of the host's own requests.
//
// Discovery replaces the list, the relay package reports how requests ended,
// and Choose picks an upstream of a plain service. A Set is safe for concurrent
// use; Choose is pure.
package fleet
