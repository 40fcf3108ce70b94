package sentconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/sentconn"
)

// limitedConn accepts the given number of bytes and then fails.
type limitedConn struct {
	net.Conn
	accepts int
}

var errConnectionCut = errors.New("the connection is cut")

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.accepts)
	c.accepts -= n
	if n < len(p) {
		return n, errConnectionCut
	}
	return n, nil
}

func send(t *testing.T, ctx context.Context, accepts int) bool {
	t.Helper()
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	transport := &http.Transport{
		DialContext: sentconn.Dial(func(context.Context, string, string) (net.Conn, error) {
			return &limitedConn{Conn: client, accepts: accepts}, nil
		}),
	}
	watch, watched := sentconn.NewWatch(ctx)
	req, err := http.NewRequestWithContext(watched, http.MethodPost, "http://engine/", strings.NewReader("body"))
	assert.NilError(t, err)
	_, err = transport.RoundTrip(req)
	assert.Assert(t, err != nil)
	return watch.Sent()
}

func TestSentReportsWhetherBytesWereWritten(t *testing.T) {
	assert.Assert(t, !send(t, t.Context(), 0))
	assert.Assert(t, send(t, t.Context(), 1))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !send(t, cancelled, 1000))
}

// lateResetConn ends properly for a read while a write waits, and then fails the write.
type lateResetConn struct {
	net.Conn
	writing, ended chan struct{}
}

func (c *lateResetConn) Read([]byte) (int, error) {
	<-c.writing
	close(c.ended)
	return 0, io.EOF
}

func (c *lateResetConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.ended
	return 0, syscall.ECONNRESET
}

// Guards against a reset that the write of a request hides from the read of its answer.
func TestReadFailsIfAWriteGotTheReset(t *testing.T) {
	inner := &lateResetConn{writing: make(chan struct{}), ended: make(chan struct{})}
	conn, err := sentconn.Dial(func(context.Context, string, string) (net.Conn, error) { return inner, nil })(t.Context(), "tcp", "")
	assert.NilError(t, err)
	go func() { _, _ = conn.Write([]byte("body")) }()
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, sentconn.ErrBrokenOff)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Assert(t, !errors.Is(err, io.EOF))
}

func TestSentIsTrueForUncountedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_ = conn.Close()
		}
	}()
	defer func() { _ = listener.Close() }()
	watch, ctx := sentconn.NewWatch(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("body"))
	assert.NilError(t, err)
	_, err = (&http.Transport{}).RoundTrip(req)
	assert.Assert(t, err != nil)
	assert.Assert(t, watch.Sent())
}
