// Package countconn counts the bytes that connections transfer, so that the
// control traffic between hosts can be compared with its budget.
package countconn

import (
	"context"
	"net"
)

// Counter receives byte counts. Its methods are called concurrently.
type Counter interface {
	ControlSent(bytes int)
	ControlReceived(bytes int)
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	counter Counter
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.ControlReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.ControlSent(n)
	return n, err
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that counts the bytes of the connections of dial.
func Dial(dial DialFunc, counter Counter) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, counter: counter}, nil
	}
}

// listener counts the bytes of its connections.
type listener struct {
	net.Listener
	counter Counter
}

// Listener returns a listener that counts the bytes of the connections of inner.
func Listener(inner net.Listener, counter Counter) net.Listener {
	return &listener{Listener: inner, counter: counter}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, counter: l.counter}, nil
}
