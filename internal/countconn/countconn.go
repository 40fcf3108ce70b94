// Package countconn counts the bytes that connections carry, so that the
// traffic between hosts can be held against its budget.
package countconn

import (
	"context"
	"net"
)

// Counter takes byte counts. Its methods are called concurrently.
type Counter interface {
	ControlSent(bytes int)
	ControlReceived(bytes int)
}

// conn is a connection whose bytes are counted.
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

// Dial counts the bytes of the connections that dial opens.
func Dial(dial DialFunc, counter Counter) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, counter: counter}, nil
	}
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	counter Counter
}

// Listener counts the bytes of the connections that inner accepts.
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
