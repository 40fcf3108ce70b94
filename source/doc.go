// Package source defines what citronscale reads from the platform that it
// runs on: the configuration service and the list of hosts and upstreams.
// Nothing can be written to either.
//
// The host package calls the interfaces; the package httpsource implements
// them. Implementations are safe for concurrent use.
package source
