package enginehttp

import (
	"net"
	"net/http"
	"time"

	"github.com/citronscale/citronscale/internal/sentconn"
	"github.com/citronscale/citronscale/upstream"
)

// Options bounds what a client spends on one engine.
type Options struct {
	DialTimeout   time.Duration // to open a connection
	AcceptTimeout time.Duration // from sending a request until the engine accepts it
	IdleTimeout   time.Duration // age at which an unused connection is closed
	MaxIdle       int           // unused connections kept per engine
	MaxLineBytes  int           // longest line of a stream
	MaxBodyBytes  int64         // longest answer other than a stream
}

// Default bounds.
const (
	DefaultDialTimeout   = 500 * time.Millisecond
	DefaultAcceptTimeout = 5 * time.Second
	DefaultIdleTimeout   = 20 * time.Second
	DefaultMaxIdle       = 64
	DefaultMaxLineBytes  = 64 << 10
	DefaultMaxBodyBytes  = 4 << 20
)

// maxHeaderBytes bounds the headers of an answer.
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

// Client holds the connections to engines.
type Client struct {
	options Options
	reused  *http.Transport // keeps connections
	fresh   *http.Transport // opens a connection per call
}

// NewClient returns a client. Zero fields of options take their defaults.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options: options,
		reused:  newTransport(options, false),
		fresh:   newTransport(options, true),
	}
}

func newTransport(options Options, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: options.IdleTimeout}
	return &http.Transport{
		DialContext:         sentconn.Dial(dialer.DialContext),
		DisableKeepAlives:   fresh,
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
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
