package peering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberMemory is how long a silent host is still told of streams: several
	// of its heartbeats.
	memberMemory = 5 * time.Second
	// mostNamed is how many hosts one datagram names, so that it stays small in
	// large fleets.
	mostNamed = 12
)

// members is the hosts that were heard lately. It does no I/O and is not safe
// for concurrent use.
type members struct {
	self  netip.Addr
	seeds []netip.Addr
	heard map[netip.Addr]time.Duration
}

func newMembers(self netip.Addr, seeds []netip.Addr) *members {
	return &members{self: self, seeds: seeds, heard: map[netip.Addr]time.Duration{}}
}

// hear records a datagram of a host.
func (m *members) hear(host netip.Addr, now time.Duration) {
	if host != m.self {
		m.heard[host] = now
	}
}

// learn records a host that another one has named and reports whether it is new.
// It counts as heard for a short time only, so that names of dead hosts do not go
// round for ever.
func (m *members) learn(host netip.Addr, now time.Duration) bool {
	if _, known := m.heard[host]; known || host == m.self {
		return false
	}
	m.heard[host] = now - memberMemory + 2*heartbeatEvery
	return true
}

// live returns the hosts that streams are told to.
func (m *members) live(now time.Duration) []netip.Addr {
	hosts := make([]netip.Addr, 0, len(m.heard))
	for host, at := range m.heard {
		if now-at > memberMemory {
			delete(m.heard, host)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// withSeeds adds the seeds to hosts; they may have returned unheard.
func (m *members) withSeeds(hosts []netip.Addr) []netip.Addr {
	for _, seed := range m.seeds {
		if seed != m.self && !slices.Contains(hosts, seed) {
			hosts = append(hosts, seed)
		}
	}
	return hosts
}

// named draws the hosts that one datagram names, from those heard in person.
func (m *members) named(now time.Duration, rng *rand.Rand) []netip.Addr {
	var hosts []netip.Addr
	for host, at := range m.heard {
		if now-at <= 2*heartbeatEvery {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), mostNamed)]
}
