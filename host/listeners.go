package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/internal/countconn"
)

// Names of the listeners of a host.
const (
	listenerCallers   = "callers"
	listenerPeers     = "peers"
	listenerOperators = "operators"
)

// listener is one open listener and the server behind it.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// openListener listens at address. With a nil tlsConfig it serves plain text.
func (h *Host) openListener(name string, address netip.AddrPort, handler http.Handler, tlsConfig *tls.Config) (*listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, code.Wrap(fmt.Errorf("listen for %s at %s: %w", name, address, err), code.SettingsInvalid)
	}
	if name == listenerPeers {
		socket = countconn.Listener(socket, h.metrics)
	}
	limits := h.settings.Limits
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		TLSConfig:         tlsConfig,
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return &listener{name: name, socket: socket, server: server}, nil
}

// serve runs the server until it is shut down.
func (l *listener) serve() error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.name, err)
}

// shutdown stops accepting and waits for open requests until ctx ends.
func (l *listener) shutdown(ctx context.Context) {
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close()
	}
}
