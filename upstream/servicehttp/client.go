package servicehttp

import (
	"math"
	"net"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/internal/buffer"
	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/upstream"
)

// Options are the limits of a client for one call.
type Options struct {
	DialTimeout  time.Duration // for opening a connection
	MaxBodyBytes int64         // of a response
	Buffers      *buffer.Pool  // bounds all responses that are being read; not bounded if nil
}

// Default limits.
const (
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultMaxBodyBytes = 8 << 20
)

// maxHeaderBytes is the size limit for the headers of a response.
const maxHeaderBytes = 64 << 10

// Client calls plain services.
type Client struct {
	options   Options
	transport *http.Transport
}

// NewClient returns a client. Zero fields of options are set to their defaults.
func NewClient(options Options) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Buffers == nil {
		options.Buffers = buffer.NewPool(math.MaxInt64)
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	return &Client{
		options: options,
		transport: &http.Transport{
			DialContext:        sentconn.Dial(dialer.DialContext),
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Service returns the service with the given name at address, an IP:port.
func (c *Client) Service(name upstream.Name, address string) upstream.Service {
	return &service{client: c, name: name, base: "http://" + address}
}
