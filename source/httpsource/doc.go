// Package httpsource reads the configuration service and the host list over
// HTTP.
//
// The host package makes one Source per address of the platform. A Source is
// safe for concurrent use. Each call of a method is one read of the service; only
// net/http sends it again, if a kept connection was closed by the service.
package httpsource
