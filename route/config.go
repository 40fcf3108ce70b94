package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

// Kind says what may be done with a request again.
type Kind int

// Kinds of requests.
const (
	Idempotent Kind = iota + 1 // may run more than once
	AtMostOnce                 // may run once for each attempt of a caller
	Stream                     // answered with server-sent events
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at-most-once"
	case Stream:
		return "stream"
	default:
		return fmt.Sprintf("kind(%d)", int(k))
	}
}

// Config is one published set of routes.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without port
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Resumable  bool          // a Stream may go on at another upstream
	Attempts   int           // upstreams that may run one request
	Timeout    time.Duration // longest time that a request is kept
	Goal       time.Duration // an answer, or its first event, is on time until then
	GapGoal    time.Duration // longest pause between events that is on time
	Priority   int           // 0 is the most urgent
	Public     bool          // needs no key
	Backends   []Backend
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend is one service of a route with its share of the traffic.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of equal upstreams.
type Service struct {
	Name           string
	MaxConnections int             // of one upstream, from all callers
	Engine         *costmodel.Laws // nil for plain services
}

// Team is a group of callers with keys of its own.
type Team struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int           // of all headers of a request
	BodyBytes     int64         // of a body
	HeaderTimeout time.Duration // until the headers have arrived
	IdleTimeout   time.Duration // of a connection between requests
}

// Validate returns an error that names the first field that can't be used.
func (c *Config) Validate() error {
	for i := range c.Routes {
		if err := c.Routes[i].validate(); err != nil {
			return fmt.Errorf("version %d, route %q: %w", c.Version, c.Routes[i].Name, err)
		}
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	case r.Kind < Idempotent || r.Kind > Stream:
		return fmt.Errorf("kind %v is unknown", r.Kind)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	case len(r.Backends) == 0:
		return fmt.Errorf("it has no backends")
	}
	return nil
}
