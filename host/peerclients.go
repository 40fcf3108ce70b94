package host

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/citronscale/citronscale/api/peer/v1/peerv1connect"
	"github.com/citronscale/citronscale/internal/countconn"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	peerPingAfter   = 2 * time.Second // idle time after which a connection is pinged
	peerPingTimeout = time.Second     // a connection without a ping response is closed after it
	peerIdleTimeout = 10 * time.Second
	maxPeerMessage  = 24 << 20 // bytes; a forwarded call carries a whole body
)

// peerClients holds the connections to other hosts, one for each address.
type peerClients struct {
	transport *http.Transport
	scheme    string
	mu        sync.Mutex
	clients   map[string]peerv1connect.PeerServiceClient
}

// newPeerClients returns clients that use TLS if tlsConfig is not nil.
// Unresponsive connections are detected by pings and closed.
func newPeerClients(tlsConfig *tls.Config, counter countconn.Counter) *peerClients {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		DialContext:        countconn.Dial(dialer.DialContext, counter),
		TLSClientConfig:    tlsConfig,
		IdleConnTimeout:    peerIdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
		Protocols:          new(http.Protocols),
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
		transport.Protocols.SetHTTP2(true)
	} else {
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return &peerClients{transport: transport, scheme: scheme, clients: make(map[string]peerv1connect.PeerServiceClient)}
}

// clientFor returns the client of the host at an address.
func (p *peerClients) clientFor(address string) peerv1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = peerv1connect.NewPeerServiceClient(
			&http.Client{Transport: p.transport}, p.scheme+"://"+address, connect.WithReadMaxBytes(maxPeerMessage))
		p.clients[address] = client
	}
	return client
}

// retain removes the clients of all addresses but the given ones.
func (p *peerClients) retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.clients {
		if !addresses[address] {
			delete(p.clients, address)
		}
	}
}

func (p *peerClients) close() {
	p.transport.CloseIdleConnections()
}
