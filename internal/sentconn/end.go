package sentconn

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrBrokenOff is returned by a read at the end of a connection that did not end properly.
var ErrBrokenOff = errors.New("connection broke off while the request was written")

// Read returns io.EOF only if the peer has ended the connection properly. The kernel reports
// the reset of a connection once: if a write gets it, a read then sees a proper end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := c.writeFailure(); cause != nil {
		return n, fmt.Errorf("%w: %w", ErrBrokenOff, cause)
	}
	return n, err
}

// writeFailure returns the error of a write, if one failed. A write that is in progress may
// have the reset and not have returned yet. It is waited for, unless the state of the
// connection tells that there was none: a peer may answer, end its side and read the rest of
// the request later. The write ends at the latest when the connection is closed.
func (c *conn) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 && c.endedByPeer() {
		return nil
	}
	for c.writing > 0 {
		c.written.Wait()
	}
	return c.writeErr
}

// endedByPeer reports whether the peer has ended its side of the connection and the
// connection is not reset. It returns false if the state is unknown.
func (c *conn) endedByPeer() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}
