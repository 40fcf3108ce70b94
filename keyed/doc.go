// Package keyed runs non-idempotent calls at most once.
//
// A host issues idempotency keys that name the host and its incarnation. Only
// that incarnation runs a call under the key; every other host forwards to it.
// The key is authenticated with a secret that exists only in the memory of the
// incarnation, so a later incarnation of the same host can't accept it. No
// call is ever sent twice: a key leads from unused to admitted to sent, and
// from sent only an answer, an unknown outcome or a proof that the upstream
// did not run the call leads away.
//
// The host package calls Issue for callers that ask for keys, Route at the
// host where a call arrives, and Begin, Sending and Finish at the issuer. An
// Issuer makes no I/O and reads no clock; it is not safe for concurrent use,
// the host package holds the lock.
package keyed
