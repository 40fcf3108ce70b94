// Package tlsfiles creates TLS configurations from certificate files and reloads
// the files when they change.
//
// The host and citronctl open one Pair, which provides the configurations of
// their listeners and clients. Both sides of a connection must present a
// certificate signed by the CA. The files are checked for changes during
// handshakes, at most once a second. An invalid file is reported once, and the
// last valid certificates stay in use.
//
// A Pair is safe for concurrent use.
package tlsfiles
