package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to all its connections.
type Fault struct {
	// Reset resets all connections, open and new.
	Reset bool
	// HoldToServer and HoldToClient withhold the bytes of one direction until the
	// fault ends. With both, a connection is silent.
	HoldToServer, HoldToClient bool
	// Delay is added to each piece of data, in both directions.
	Delay time.Duration
}

// Proxy listens at one address and connects to another.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	fault   Fault
	changed chan struct{} // closed when the fault changes
	open    map[*net.TCPConn]bool
	closed  bool
}

// New starts a proxy at address. The target is an IP:port.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the IP:port at which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Set replaces the fault. The zero Fault passes everything on.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Reset {
		p.resetAll()
	}
}

// ResetOpen resets the connections that are open now.
func (p *Proxy) ResetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.fault = Fault{}
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
	_ = p.listener.Close() // nothing new is accepted either way
}

// resetAll resets all open connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for conn := range p.open {
		reset(conn)
	}
	clear(p.open)
}

// reset closes a connection so that its peer gets a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that is closed already needs no reset
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the client is gone already
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// track remembers a connection, or resets it if the fault says so.
func (p *Proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Reset {
		reset(conn)
		return false
	}
	p.open[conn] = true
	return true
}

func (p *Proxy) forget(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

func (p *Proxy) serve(client *net.TCPConn) {
	if !p.track(client) {
		return
	}
	defer p.forget(client)
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	dialed, err := net.Dial("tcp4", target)
	if err != nil {
		reset(client)
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.track(server) {
		reset(client)
		return
	}
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, client, func(f Fault) bool { return f.HoldToServer }) })
	both.Go(func() { p.pump(client, server, func(f Fault) bool { return f.HoldToClient }) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// pump copies one direction until its end.
func (p *Proxy) pump(to, from *net.TCPConn, held func(Fault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass(held)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // it may be gone
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// pass returns once the fault lets a piece of data through.
func (p *Proxy) pass(held func(Fault) bool) {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		if !held(fault) {
			time.Sleep(fault.Delay)
			return
		}
		<-changed
	}
}
