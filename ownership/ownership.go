package ownership

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// maxCached bounds the number of owners that a Map caches.
const maxCached = 1 << 16

// Map assigns engines to hosts.
type Map struct {
	hosts  []ident.Host // sorted, without duplicates
	hashes *rendezvous.Rendezvous

	mu     sync.Mutex
	cached map[upstream.Name]ident.Host
}

// New returns the map for the ready hosts, in any order.
func New(hosts []ident.Host) *Map {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	names := make([]string, 0, len(sorted))
	for _, host := range sorted {
		names = append(names, string(host))
	}
	return &Map{
		hosts:  sorted,
		hashes: rendezvous.New(names, xxhash.Sum64String),
		cached: make(map[upstream.Name]ident.Host),
	}
}

// Owner returns the owner of the engine, or an empty name if there are no ready
// hosts.
func (m *Map) Owner(engine upstream.Name) ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, ok := m.cached[engine]; ok {
		return owner
	}
	owner := ident.Host(m.hashes.Lookup(string(engine)))
	if len(m.cached) < maxCached {
		m.cached[engine] = owner
	}
	return owner
}

// Owned returns the engines that the host owns, in the order given.
func (m *Map) Owned(host ident.Host, engines []upstream.Name) []upstream.Name {
	var owned []upstream.Name
	for _, engine := range engines {
		if m.Owner(engine) == host {
			owned = append(owned, engine)
		}
	}
	return owned
}

// Hosts returns the hosts of the map in ascending order.
func (m *Map) Hosts() []ident.Host {
	return slices.Clone(m.hosts)
}

// Covers reports whether the map was built for these sorted hosts, so that the
// caller can keep it.
func (m *Map) Covers(hosts []ident.Host) bool {
	return slices.Equal(m.hosts, hosts)
}
