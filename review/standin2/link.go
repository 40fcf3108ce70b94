//go:build review2

package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// link is the network between the relays and one replica. While it is cut, nothing passes;
// what was sent meanwhile arrives after the cut, as TCP sends it again.
type link struct {
	w             *world
	name, address string
	backend       string

	mu   sync.Mutex
	cut  bool
	open *sync.Cond
}

func newLink(w *world, name, backend string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{w: w, name: name, address: listener.Addr().String(), backend: backend}
	l.open = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return l, nil
}

// setCut begins or ends a cut.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open.Broadcast()
	l.w.note("link to %s cut: %v", l.name, cut)
}

// pass waits until the link is not cut.
func (l *link) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.open.Wait()
	}
}

func (l *link) serve(near *net.TCPConn) {
	l.pass()
	conn, err := net.Dial("tcp4", l.backend)
	if err != nil {
		_ = near.SetLinger(0) // refused
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(far, near) })
	wg.Go(func() { l.copy(near, far) })
	wg.Wait()
	_ = near.Close()
	_ = far.Close()
}

// copy passes bytes and the end of a direction on, the latter as it came: with or without a
// reset.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, syscall.ECONNRESET) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		_ = to.CloseWrite()
		return
	}
}
