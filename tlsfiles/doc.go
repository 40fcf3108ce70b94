// Package tlsfiles makes TLS configurations from certificate files and follows
// the files as they change.
//
// The host and citronctl open one Pair and take from it the configuration of
// their listeners and clients. Both sides of a connection must show a
// certificate that the CA signed. Files are checked at a handshake, at most
// once a second; a file that can't be used is reported once and the last good
// certificates stay in use.
//
// A Pair is safe for concurrent use.
package tlsfiles
