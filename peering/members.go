package peering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberTimeout is the time after the last news of a host for which it counts as
	// a member. News from another group is as old as the last heartbeat that the relay
	// got, and two refreshes in a row may be lost.
	memberTimeout = 2*heartbeatInterval + 3*refreshInterval + 500*time.Millisecond
	// sourceTimeout is the time after its last datagram for which a host is relayed.
	sourceTimeout = 2500 * time.Millisecond
	// relayTimeout is the time after its last datagram for which a host counts as able
	// to relay: one heartbeat interval and some delay.
	relayTimeout = 1300 * time.Millisecond
	// maxNamed limits the hosts that one datagram names, so that it stays small
	// in a system of many hosts.
	maxNamed = 12
)

// member is another host.
type member struct {
	seenAt   time.Duration // last news of the host, from itself or from a relay
	heardAt  time.Duration // last datagram of the host itself
	heard    bool
	capacity uint32
	domain   uint32 // hash of the failure domain, 0 if not known
	leaving  bool
}

// members holds the hosts of which there is recent news. It does no I/O and is not
// safe for concurrent use.
type members struct {
	self     netip.Addr
	capacity uint32 // of this host
	domain   uint32 // of this host
	seeds    []netip.Addr
	hosts    map[netip.Addr]*member
	divided  bool           // into more than one group
	bits     map[uint32]int // of the group numbers, by failure domain
	division *groups
}

func newMembers(self netip.Addr, capacity, domain uint32, seeds []netip.Addr) *members {
	return &members{
		self: self, capacity: capacity, domain: domain, seeds: seeds, hosts: map[netip.Addr]*member{}, bits: map[uint32]int{},
	}
}

func (m *members) entry(host netip.Addr) *member {
	known, ok := m.hosts[host]
	if !ok {
		known = &member{}
		m.hosts[host] = known
	}
	return known
}

// heard records a datagram of a host.
func (m *members) heard(host netip.Addr, now time.Duration) {
	if host == m.self {
		return
	}
	known := m.entry(host)
	known.seenAt, known.heardAt, known.heard = now, now, true
}

// describe records what an announcement or news tells about a host.
func (m *members) describe(host netip.Addr, capacity, domain uint32, leaving bool) {
	if known, ok := m.hosts[host]; ok {
		known.capacity, known.domain, known.leaving = capacity, domain, leaving
	}
}

// reported records news of a host that a relay heard at the given time.
func (m *members) reported(host netip.Addr, at time.Duration) {
	if host != m.self {
		known := m.entry(host)
		known.seenAt = max(known.seenAt, at)
	}
}

// addNamed records a host that a peer has named and reports whether it is new.
// Such an entry expires early and is not passed on, so that names of dead hosts
// do not circulate forever.
func (m *members) addNamed(host netip.Addr, now time.Duration) bool {
	if _, known := m.hosts[host]; known || host == m.self {
		return false
	}
	m.hosts[host] = &member{seenAt: now - memberTimeout + 2*heartbeatInterval}
	return true
}

// live returns the hosts of which there is recent news and deletes the others.
func (m *members) live(now time.Duration) []netip.Addr {
	hosts := make([]netip.Addr, 0, len(m.hosts))
	for host, known := range m.hosts {
		if now-known.seenAt > memberTimeout {
			delete(m.hosts, host)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// count returns the number of live hosts, this one included.
func (m *members) count(now time.Duration) int {
	count := 1
	for _, known := range m.hosts {
		if now-known.seenAt <= memberTimeout {
			count++
		}
	}
	return count
}

// withSeeds adds the seeds that are not live to hosts: a seed that has expired may be
// running again.
func (m *members) withSeeds(hosts []netip.Addr, now time.Duration) []netip.Addr {
	hosts = slices.Clone(hosts)
	for _, seed := range m.seeds {
		known, ok := m.hosts[seed]
		if seed != m.self && (!ok || now-known.seenAt > 2*heartbeatInterval) && !slices.Contains(hosts, seed) {
			hosts = append(hosts, seed)
		}
	}
	return hosts
}

// sample draws n live hosts.
func (m *members) sample(n int, now time.Duration, rng *rand.Rand) []netip.Addr {
	hosts := m.live(now)
	slices.SortFunc(hosts, netip.Addr.Compare)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), n)]
}

// sampleHeard draws the hosts that one datagram names, from those that recently
// sent a datagram themselves.
func (m *members) sampleHeard(now time.Duration, rng *rand.Rand) []netip.Addr {
	var hosts []netip.Addr
	for host, known := range m.hosts {
		if known.heard && now-known.heardAt <= 2*heartbeatInterval {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), maxNamed)]
}
