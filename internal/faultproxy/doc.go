// Package faultproxy passes TCP connections on and harms them: it delays bytes,
// withholds them one way or both ways, and resets connections.
//
// Tests that run whole programs put a Proxy between two of them and change its
// Fault while connections are open. A Proxy is safe for concurrent use.
package faultproxy
