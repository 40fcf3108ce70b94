package stubhttp

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// ControlPrefix begins the paths of control calls, which no fault touches.
const ControlPrefix = "/control/"

type connectionKey struct{}

// Gate makes a server go silent: requests are read and nothing is answered.
type Gate struct {
	connections atomic.Uint64 // counts the accepted connections
	waiting     atomic.Int64  // requests at the closed gate
	mu          sync.Mutex
	mutedUpTo   uint64        // connections up to this number are silent for good
	open        chan struct{} // closed unless the server is silent
}

// NewGate returns an open gate.
func NewGate() *Gate {
	open := make(chan struct{})
	close(open)
	return &Gate{open: open}
}

// SetSilent closes or opens the gate for all connections.
func (g *Gate) SetSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if silent == g.isSilent() {
		return
	}
	if silent {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
}

func (g *Gate) isSilent() bool {
	select {
	case <-g.open:
		return false
	default:
		return true
	}
}

// MuteConnections makes the connections that are open now silent for good.
// New connections work.
func (g *Gate) MuteConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mutedUpTo = g.connections.Load()
}

// Waiting returns the number of requests that wait at the closed gate.
func (g *Gate) Waiting() int {
	return int(g.waiting.Load())
}

// Wait returns nil once the request with context ctx may be answered, or the
// error of ctx.
func (g *Gate) Wait(ctx context.Context) error {
	g.mu.Lock()
	open := g.open
	muted := false
	if number, ok := ctx.Value(connectionKey{}).(uint64); ok {
		muted = number <= g.mutedUpTo
	}
	g.mu.Unlock()
	if muted {
		<-ctx.Done()
		return ctx.Err()
	}
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connContext numbers the connections of a server.
func (g *Gate) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, g.connections.Add(1))
}

// wrap holds back all requests but control calls.
func (g *Gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, ControlPrefix) {
			if err := g.Wait(r.Context()); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}
