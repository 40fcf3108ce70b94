// Package keyed runs non-idempotent calls at most once.
//
// A host issues idempotency keys that name the host and its incarnation. Only
// that incarnation runs a call under the key; every other host forwards to it.
// The key is authenticated with a secret that exists only in the memory of the
// incarnation, so a later incarnation of the same host can't accept it. No
// call is ever sent twice: the state of a key goes from unused to admitted to
// sent. It leaves sent only with an answer, with an unknown outcome or with a
// proof that the upstream did not run the call.
//
// The host package calls Issue for callers that request keys, Route at the
// host where a call arrives, and Begin, Sending and Finish at the issuer. An
// Issuer performs no I/O and reads no clock; it is not safe for concurrent use,
// the host package holds the lock.
package keyed
