// Package servicehttp calls plain services over HTTP/1.1.
//
// The host package creates one Client per process and, from it, one Service
// per plain service in the host list. A Client and its services are safe for
// concurrent use.
//
// A call is sent at most once. net/http resends a request if a reused
// connection breaks, the request has no body or a body that can be rewound,
// and either its method is idempotent or it carries an Idempotency-Key. This
// client opens a new connection for every call and sends bodies that can't be
// rewound, so that net/http never resends.
package servicehttp
