// Package sentconn tells whether a byte of an HTTP request left the process.
//
// Dial returns connections that count what is written to them. Watch attaches
// to a request context and, after the request failed, says whether anything
// was written for it. The clients in upstream/enginehttp and
// upstream/servicehttp use it to tell SentNothing from SentSome. It serves
// HTTP/1, where a connection carries one request at a time.
package sentconn
