package revision

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/ident"
)

const (
	// LoneStart is the time after which a starting host that hears no peer, or
	// can't read the host list, goes on without.
	LoneStart = 10 * time.Second
	// WatchersPerDomain is the number of hosts of a failure domain that watch
	// the configuration service.
	WatchersPerDomain = 2
)

// Start is what a starting host knows about the others.
type Start struct {
	Since    time.Time // when the process started
	Listed   bool      // the host list was read
	Settled  bool      // enough peers answered, or there are none
	Answered int       // peers that answered since the start
	Ahead    bool      // a peer states a newer document than the one in force
}

// Ready reports whether a starting host may admit requests. A host that can
// reach peers must not be behind any of them.
func (s *State) Ready(now time.Time, start Start) bool {
	if s.inForce == nil || start.Ahead {
		return false
	}
	if start.Listed && start.Settled {
		return true
	}
	return start.Answered > 0 && start.Settled || now.Sub(start.Since) >= LoneStart
}

// Watches reports whether a host watches the configuration service on behalf
// of the hosts of its failure domain. All hosts that see the same members give
// the same answer; the host itself always counts as one of them.
func Watches(self ident.Host, domain []ident.Host) bool {
	hosts := slices.Clone(domain)
	if !slices.Contains(hosts, self) {
		hosts = append(hosts, self)
	}
	slices.SortFunc(hosts, func(a, b ident.Host) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return slices.Contains(hosts[:min(len(hosts), WatchersPerDomain)], self)
}

func weight(host ident.Host) uint64 {
	return xxhash.Sum64String(string(host))
}
