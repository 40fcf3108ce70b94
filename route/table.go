package route

import (
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strings"
)

// Table maps requests to routes and keys to teams.
type Table struct {
	config *Config
	hosts  map[string][]*Route // longest prefix first
	keys   map[string]*Team
}

// NewTable validates a configuration and returns its table. The configuration
// must not change afterwards.
func NewTable(config *Config) (*Table, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	t := &Table{config: config, hosts: map[string][]*Route{}, keys: map[string]*Team{}}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range config.Teams {
		for _, key := range config.Teams[i].Keys {
			t.keys[key] = &config.Teams[i]
		}
	}
	delete(t.keys, "") // a caller without a key
	return t, nil
}

// Config returns the configuration of the table. It must not be changed.
func (t *Table) Config() *Config {
	return t.config
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.config.Version
}

// Limits returns the limits on requests.
func (t *Table) Limits() Limits {
	return t.config.Limits
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	return len(t.config.Routes)
}

// Match returns the route of the host whose prefix is the longest that matches
// the path, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether routes that are not public require a key.
func (t *Table) RequiresKeys() bool {
	return t.config.RequireKeys || len(t.config.Teams) > 0
}

// RoutesComplete reports whether all published routes could be read.
func (t *Table) RoutesComplete() bool {
	return !t.config.Incomplete
}

// Team returns the team to which a key belongs, or nil.
func (t *Table) Team(key string) *Team {
	return t.keys[key]
}

// Service returns the service of a backend drawn at random by weight.
func (t *Table) Service(r *Route, rng *rand.Rand) Service {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := rng.IntN(max(total, 1))
	for _, b := range r.Backends {
		if remaining < b.Weight {
			return t.service(b.Service)
		}
		remaining -= b.Weight
	}
	return t.service(r.Backends[0].Service)
}

// Backend returns a service by name if it is a backend of the route.
func (t *Table) Backend(r *Route, name string) (Service, bool) {
	if !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == name }) {
		return Service{}, false
	}
	return t.service(name), true
}

// Services returns the published services by name. The caller must not change them.
func (t *Table) Services() map[string]Service {
	return t.config.Services
}

func (t *Table) service(name string) Service {
	if s, ok := t.config.Services[name]; ok {
		return s
	}
	return Service{Name: name}
}
