package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronscale/citronscale/costmodel"
)

// Kind is the class of a request; it determines whether it may be retried.
type Kind int

// Kinds of requests.
const (
	Idempotent Kind = iota + 1 // may run more than once
	AtMostOnce                 // may run once per attempt of the caller
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

// Config is one published version of the routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	// RequireKeys makes routes that are not public require a key although Teams is empty. It
	// is implied if there are teams.
	RequireKeys bool
	// Incomplete tells that a published route could not be read, so that a request without a
	// route may still have one.
	Incomplete bool
	Limits     Limits
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without port
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Resumable  bool          // a broken Stream may continue on another upstream
	Attempts   int           // maximum number of upstreams that may run one request
	Timeout    time.Duration // maximum duration of a request
	Goal       time.Duration // until an answer, or its first event, is late
	GapGoal    time.Duration // between two events, until the second one is late
	Priority   int           // 0 is the most urgent
	Public     bool          // requests need no key
	Backends   []Backend
}

// Repeatable reports whether a request may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend is one service of a route; its share of the traffic is proportional to
// Weight.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	MaxConnections int              // to one upstream, for all callers
	HealthPath     string           // of the health checks of its upstreams
	WarmUp         time.Duration    // after the start of an upstream, in which it is cold; 0: not published
	ColdPerSecond  float64          // requests that a cold upstream handles; 0: any number
	Engine         *costmodel.Costs // nil for plain services
}

// Team is a group of callers that share a set of keys.
type Team struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
}

// Limits bound the size and the timing of requests.
type Limits struct {
	HeaderBytes   int           // maximum size of all headers of a request
	BodyBytes     int64         // maximum size of a body
	HeaderTimeout time.Duration // maximum time until all headers are received
	IdleTimeout   time.Duration // maximum idle time of a connection between requests
}

// Validate returns an error that names the first invalid field.
func (c *Config) Validate() error {
	for i := range c.Routes {
		if err := c.Routes[i].Validate(); err != nil {
			return fmt.Errorf("version %d, route %q: %w", c.Version, c.Routes[i].Name, err)
		}
	}
	return nil
}

// Validate returns an error that names the first invalid field.
func (r *Route) Validate() error {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	case r.Kind < Idempotent || r.Kind > Stream:
		return fmt.Errorf("unknown kind %v", r.Kind)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	case len(r.Backends) == 0:
		return fmt.Errorf("no backends")
	}
	return nil
}
