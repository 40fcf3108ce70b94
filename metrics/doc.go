// Package metrics collects the metrics of one host and exposes them to
// Prometheus.
//
// The host creates one Metrics, passes it to the packages that do I/O and
// mounts Handler on the operator listener. Typed methods count events; gauges
// such as tokens in flight are read from the host at each scrape.
//
// All methods are safe for concurrent use, and all but Handler and Close do
// nothing on a nil *Metrics.
package metrics
