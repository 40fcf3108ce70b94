package peering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberTimeout is the time after its last datagram for which streams are
	// still sent to a host: several heartbeat intervals.
	memberTimeout = 5 * time.Second
	// maxNamed limits the hosts that one datagram names, so that it stays small
	// in a system of many hosts.
	maxNamed = 12
)

// members holds the hosts that recently sent a datagram or were named by a peer.
// It does no I/O and is not safe for concurrent use.
type members struct {
	self     netip.Addr
	seeds    []netip.Addr
	lastSeen map[netip.Addr]time.Duration
}

func newMembers(self netip.Addr, seeds []netip.Addr) *members {
	return &members{self: self, seeds: seeds, lastSeen: map[netip.Addr]time.Duration{}}
}

// seen records a datagram of a host.
func (m *members) seen(host netip.Addr, now time.Duration) {
	if host != m.self {
		m.lastSeen[host] = now
	}
}

// addNamed records a host that a peer has named and reports whether it is new.
// Such an entry expires early and is not passed on, so that names of dead hosts
// do not circulate forever.
func (m *members) addNamed(host netip.Addr, now time.Duration) bool {
	if _, known := m.lastSeen[host]; known || host == m.self {
		return false
	}
	m.lastSeen[host] = now - memberTimeout + 2*heartbeatInterval
	return true
}

// live returns the hosts to which streams are sent, and deletes expired ones.
func (m *members) live(now time.Duration) []netip.Addr {
	hosts := make([]netip.Addr, 0, len(m.lastSeen))
	for host, at := range m.lastSeen {
		if now-at > memberTimeout {
			delete(m.lastSeen, host)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// withSeeds adds the seeds to hosts: a seed that has expired may be running
// again.
func (m *members) withSeeds(hosts []netip.Addr) []netip.Addr {
	for _, seed := range m.seeds {
		if seed != m.self && !slices.Contains(hosts, seed) {
			hosts = append(hosts, seed)
		}
	}
	return hosts
}

// sampleSeen draws the hosts that one datagram names, from those that recently
// sent a datagram themselves.
func (m *members) sampleSeen(now time.Duration, rng *rand.Rand) []netip.Addr {
	var hosts []netip.Addr
	for host, at := range m.lastSeen {
		if now-at <= 2*heartbeatInterval {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), maxNamed)]
}
