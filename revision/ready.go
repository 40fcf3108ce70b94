package revision

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronscale/citronscale/ident"
)

const (
	// PeerWaitTimeout is the time after which a starting host no longer waits for
	// answers of peers or for the host list.
	PeerWaitTimeout = 10 * time.Second
	// WatchersPerDomain is the number of hosts of a failure domain that watch
	// the configuration service.
	WatchersPerDomain = 2
)

// Start is the information that a starting host has about its peers.
type Start struct {
	Since    time.Time // when the process started
	Listed   bool      // the host list was read
	Settled  bool      // enough peers answered, or there are none
	Answered int       // peers that answered since the start
	Ahead    bool      // a peer has a newer document than the one in force
}

// Ready reports whether a starting host may admit requests. A host that is behind
// a peer it has reached may not.
func (s *State) Ready(now time.Time, start Start) bool {
	if s.inForce == nil || start.Ahead {
		return false
	}
	if start.Listed && start.Settled {
		return true
	}
	return start.Answered > 0 && start.Settled || now.Sub(start.Since) >= PeerWaitTimeout
}

// Watches reports whether a host watches the configuration service on behalf
// of the hosts of its failure domain. All hosts with the same list of members
// compute the same watchers; the host itself always counts as a member.
func Watches(self ident.Host, domainHosts []ident.Host) bool {
	hosts := slices.Clone(domainHosts)
	if !slices.Contains(hosts, self) {
		hosts = append(hosts, self)
	}
	slices.SortFunc(hosts, func(a, b ident.Host) int {
		return cmp.Or(cmp.Compare(hashOf(b), hashOf(a)), cmp.Compare(a, b))
	})
	return slices.Contains(hosts[:min(len(hosts), WatchersPerDomain)], self)
}

func hashOf(host ident.Host) uint64 {
	return xxhash.Sum64String(string(host))
}
