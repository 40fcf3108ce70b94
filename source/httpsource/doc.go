// Package httpsource reads the configuration service and the host list over
// HTTP.
//
// The host package creates one Source per address of the platform. A Source is
// safe for concurrent use. Each method call is one read of the service, except
// that net/http may repeat it if the service closed the kept-alive connection.
package httpsource
