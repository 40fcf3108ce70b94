package sentconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that wraps the connections of dial, so that a Watch can
// count their bytes and a reset is not read as the end of an answer.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
}

// conn counts written bytes. A byte is counted before its write begins and
// subtracted if the write reports that it was not sent.
type conn struct {
	net.Conn
	mu       sync.Mutex
	written  sync.Cond // signalled when a write ends
	writing  int       // writes that have begun and not ended
	writeErr error     // of the first write that failed
	sent     uint64
	closed   bool
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner}
	c.written.L = &c.mu
	return c
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.begin(len(p)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.end(len(p)-n, err)
	return n, err
}

func (c *conn) begin(size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.sent += uint64(size)
	c.writing++
	return nil
}

func (c *conn) end(unsent int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent -= uint64(unsent)
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Broadcast()
}

func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// Watch counts the bytes that one request writes to its connection.
type Watch struct {
	mu      sync.Mutex
	conn    *conn
	base    uint64
	unknown bool // the request got an uncounted connection, or more than one
}

// NewWatch returns a watch and the context that the observed request must use.
func NewWatch(ctx context.Context) (*Watch, context.Context) {
	w := &Watch{}
	trace := &httptrace.ClientTrace{GotConn: w.gotConn}
	return w, httptrace.WithClientTrace(ctx, trace)
}

func (w *Watch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok || w.conn != nil {
		w.unknown = true
		return
	}
	w.conn = c
	w.base = c.count()
}

// Sent reports whether any byte of the request may have left the process. It must
// be called after the request failed; it closes the connection so that no further
// byte is sent.
func (w *Watch) Sent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unknown {
		return true
	}
	if w.conn == nil {
		return false
	}
	_ = w.conn.Close() // the request failed, so its connection is not reused
	return w.conn.count() != w.base
}
