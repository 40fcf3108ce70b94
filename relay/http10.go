package relay

import (
	"context"
	"errors"
	"net"
)

type connKey struct{}

// ConnContext makes the connection of a caller known to its requests. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

var errConnUnknown = errors.New("connection of the caller can't be set to reset")

// endsWithConnection reports whether the stream ends with the caller's connection, as
// HTTP/1.0 has no chunks.
func (x *exchange) endsWithConnection() bool {
	return !x.request.ProtoAtLeast(1, 1)
}

// resetUnlessWhole lets the connection of a caller that can't tell a cut stream from a
// whole one end with a reset: if the stream is cut, and if this process is killed.
func (x *exchange) resetUnlessWhole() error {
	const discardAndReset = 0
	return x.setLinger(discardAndReset)
}

// closeWhole lets the connection end properly after a whole stream.
func (x *exchange) closeWhole() error {
	const inBackground = -1
	return x.setLinger(inBackground)
}

func (x *exchange) setLinger(seconds int) error {
	if !x.endsWithConnection() {
		return nil
	}
	conn, ok := x.ctx.Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return errConnUnknown
	}
	return conn.SetLinger(seconds)
}
