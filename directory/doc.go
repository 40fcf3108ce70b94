// Package directory knows the upstreams of the fleet as one host sees them.
//
// The host package feeds it with the host list, load reports and refusals, and
// asks it for the engines of a model and the replicas of a plain service. What
// the list says lags; a report or refusal that says leaving counts at once.
//
// A Directory is safe for concurrent use. It makes no calls to upstreams
// itself.
package directory
