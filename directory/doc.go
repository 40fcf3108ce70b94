// Package directory holds one host's view of the upstreams of the fleet.
//
// The host package updates it with the host list, load reports and refusals, and
// looks up the engines of a model and the replicas of a plain service. The host
// list lags; a report or refusal with the mark leaving applies at once.
//
// A Directory is safe for concurrent use. It makes no calls to upstreams
// itself.
package directory
