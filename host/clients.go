package host

import (
	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
	"github.com/citronscale/citronscale/upstream/servicehttp"
)

// clients creates the HTTP clients of upstreams. It implements
// directory.Clients.
type clients struct {
	engines  *enginehttp.Client
	services *servicehttp.Client
}

func newClients(buffers *buffer.Pool) *clients {
	return &clients{
		engines:  enginehttp.NewClient(enginehttp.Options{}),
		services: servicehttp.NewClient(servicehttp.Options{Buffers: buffers}),
	}
}

// Engine implements directory.Clients.
func (c *clients) Engine(name upstream.Name, address string) upstream.Engine {
	return c.engines.Engine(name, address)
}

// Service implements directory.Clients.
func (c *clients) Service(name upstream.Name, address string) upstream.Service {
	return c.services.Service(name, address)
}
