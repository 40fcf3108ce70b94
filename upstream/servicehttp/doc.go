// Package servicehttp calls plain services over HTTP/1.1.
//
// The host package makes one Client for the process and a service from it per
// plain service in the host list. A Client and its services are safe for
// concurrent use.
//
// A call is sent at most once. net/http sends a request again if a kept
// connection breaks and the request has no body, or has one that can be
// rewound, and either its method is idempotent or it carries an
// Idempotency-Key. This client gives every call a connection of its own and a
// body that can't be rewound, so neither happens.
package servicehttp
