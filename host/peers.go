package host

import (
	"context"
	"fmt"

	"github.com/citronscale/citronscale/api/peer/v1/peerv1connect"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/keyed"
	"github.com/citronscale/citronscale/record"
	"github.com/citronscale/citronscale/upstream"
)

// peerClients holds the connections to other hosts.
type peerClients struct{}

// client returns the client of a host.
func (p *peerClients) client(host ident.Host) (peerv1connect.PeerServiceClient, error) {
	return nil, fmt.Errorf("host %q is not known", host)
}

// forwardKeyed hands a call to the host that issued its key.
func (h *Host) forwardKeyed(_ context.Context, call *gateway.ServiceCall, route keyed.Route) (*gateway.ServiceAnswer, error) {
	return nil, code.New(code.KeyIssuerLost, "host %q, which issued the key of %s, can't be reached", route.Host, call.Request)
}

// askTrace asks all hosts what they recorded about a request.
func (h *Host) askTrace(_ context.Context, request ident.Request) (answers []record.Answer, silent []ident.Host) {
	return []record.Answer{h.records.lookup(request)}, nil
}

// orderEngine compares an engine with what the configuration wants.
func (h *Host) orderEngine(context.Context, upstream.Engine, *upstream.Report) {}
