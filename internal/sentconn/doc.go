// Package sentconn detects whether any byte of an HTTP request left the process.
//
// Dial returns connections that count the bytes written to them. A Watch attaches
// to a request context and, after the request failed, reports whether any byte
// was written for it. The clients in upstream/enginehttp and
// upstream/servicehttp use it to distinguish SentNothing from SentSome. It works
// only with HTTP/1, where a connection carries one request at a time.
//
// A read from these connections returns io.EOF only if the peer ended them properly, also if
// the write of a request got the reset.
package sentconn
