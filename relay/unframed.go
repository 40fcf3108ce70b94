package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
)

// errProcessGone is returned for an answer without a framed end whose upstream has gone.
var errProcessGone = errors.New("connection ended without a framed end of the answer, and the upstream refuses new ones")

// framing tells how the end of an answer is marked, for logs and metrics.
type framing string

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection" // it ends with its connection
)

func (a *attempt) framing() framing {
	switch {
	case a.unframed():
		return framedByConnection
	case a.response.ContentLength < 0:
		return framedByChunks
	default:
		return framedByLength
	}
}

// unframed reports whether the answer ends with its connection.
func (a *attempt) unframed() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 && a.response.Body != http.NoBody
}

// unframedEnd checks an answer that has ended with its connection. A process that crashes
// closes its connections just as one that has sent everything does, but its listener is
// closed, too.
func (a *attempt) unframedEnd() error {
	if !a.unframed() {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", a.upstream.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return a.connectionError(errProcessGone)
	}
	if err != nil {
		return nil //nolint:nilerr // a path that is cut tells nothing of the process
	}
	_ = conn.Close() // nothing was sent on it
	return nil
}
