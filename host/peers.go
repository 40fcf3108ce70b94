package host

import (
	"context"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/gateway"
	"github.com/citronscale/citronscale/keyed"
)

// forwardKeyed hands a call to the host that issued its key.
func (h *Host) forwardKeyed(_ context.Context, call *gateway.ServiceCall, route keyed.Route) (*gateway.ServiceAnswer, error) {
	return nil, code.New(code.KeyIssuerLost, "host %q, which issued the key of %s, can't be reached", route.Host, call.Request)
}
