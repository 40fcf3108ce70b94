package enginehttp

import (
	"net"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/upstream"
)

// Options are the limits of a client for one engine.
type Options struct {
	DialTimeout   time.Duration // for opening a connection
	AcceptTimeout time.Duration // from sending a request until its response headers are received
	IdleTimeout   time.Duration // after which an idle connection is closed
	MaxIdle       int           // idle connections per engine
	MaxLineBytes  int           // of one line of a stream
	MaxBodyBytes  int64         // of a response other than a stream
}

// Default limits.
const (
	DefaultDialTimeout   = 500 * time.Millisecond
	DefaultAcceptTimeout = 5 * time.Second
	DefaultIdleTimeout   = 20 * time.Second
	DefaultMaxIdle       = 64
	DefaultMaxLineBytes  = 64 << 10
	DefaultMaxBodyBytes  = 4 << 20
)

// maxHeaderBytes is the size limit for the headers of a response.
const maxHeaderBytes = 64 << 10

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.AcceptTimeout, DefaultAcceptTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.MaxLineBytes, DefaultMaxLineBytes)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client manages the connections to engines.
type Client struct {
	options  Options
	pooled   *http.Transport // keeps connections alive and reuses them
	unpooled *http.Transport // opens a new connection for each call
}

// NewClient returns a client. Zero fields of options are set to their defaults.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:  options,
		pooled:   newTransport(options, false),
		unpooled: newTransport(options, true),
	}
}

func newTransport(options Options, disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: options.IdleTimeout}
	return &http.Transport{
		DialContext:         sentconn.Dial(dialer.DialContext),
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: options.MaxIdle,
		IdleConnTimeout:     options.IdleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Engine returns the engine with the given name at address, an IP:port.
func (c *Client) Engine(name upstream.Name, address string) upstream.Engine {
	return &engine{client: c, name: name, base: "http://" + address}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
