// Package stubhttp holds what the stand-ins of the platform, of engines and of
// plain services share: a server whose connections can go silent, and helpers
// for the control calls of tests.
//
// All types are safe for concurrent use.
package stubhttp
