// Package metrics measures one host and serves the figures to Prometheus.
//
// The host creates one Metrics, hands it to the packages that do I/O and
// mounts Handler on the operator listener. Events are counted by typed methods;
// levels such as tokens in flight are read from the host when Prometheus asks.
//
// All methods are safe for concurrent use, and all but Handler and Close do
// nothing on a nil *Metrics.
package metrics
