package peering

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hosts are divided into groups by their failure domain and a hash of their address.
// The hosts of a group send each other each change at once; one of them relays the
// news of its group to one host of each other group, which passes it on. So the
// datagrams of a host grow with its group and not with the fleet. The number of groups
// of a domain is a power of two: a host that knows fewer hosts than another one, and
// counts half as many groups, sees the groups of the other one as halves of its own.
const (
	// groupSize is the number of hosts of a group on average, within a factor of the
	// square root of two.
	groupSize = 16
	// maxUndivided is the number of hosts up to which all are one group.
	maxUndivided = 22
	// groupHysteresis widens the range of sizes within which the number of groups
	// stays as it is, so that it does not flap while hosts come and go.
	groupHysteresis = 0.15
)

// groupBits returns the number of bits of the group number for a number of hosts.
func groupBits(hosts, current int) int {
	exact := math.Log2(float64(max(hosts, 1)) / groupSize)
	if exact >= float64(current)-0.5-groupHysteresis && exact <= float64(current)+0.5+groupHysteresis {
		return current
	}
	return max(int(math.Round(exact)), 0)
}

// hostHash spreads hosts evenly over the groups. Salts make independent hashes.
func hostHash(host netip.Addr, salt byte) uint64 {
	octets := host.As16()
	return xxhash.Sum64(append(octets[:], salt))
}

// groupID names a group.
type groupID struct {
	domain uint32
	number uint64
}

func groupNumber(host netip.Addr, bits int) uint64 {
	return hostHash(host, 0) & (1<<bits - 1)
}

func (m *members) ownGroup() groupID {
	return m.groupOf(m.self, m.domain)
}

func (m *members) groupOf(host netip.Addr, domain uint32) groupID {
	if !m.divided {
		return groupID{}
	}
	return groupID{domain, groupNumber(host, m.bits[domain])}
}

// near reports whether a host is in the own group. A host whose failure domain is not
// known yet counts as near, so that it is told of this host.
func (m *members) near(host netip.Addr) bool {
	known, ok := m.hosts[host]
	if !ok || known.domain == 0 {
		return true
	}
	return m.groupOf(host, known.domain) == m.ownGroup()
}

const (
	// groupsTTL is how long a division is used while no host joins.
	groupsTTL = 200 * time.Millisecond
	// joinDelay is how long a division is used after a host has joined: hosts of a
	// fleet that starts join by the hundred.
	joinDelay = 20 * time.Millisecond
)

// groups is the division of the live hosts, this one included. It must not be
// changed.
type groups struct {
	own   []netip.Addr // other hosts of the own group
	other map[groupID][]netip.Addr

	madeAt time.Duration
	hosts  int // that were known then
}

// groups returns the current division.
func (m *members) groups(now time.Duration) *groups {
	if g := m.division; g != nil {
		age := now - g.madeAt
		if age < joinDelay || age < groupsTTL && g.hosts == len(m.hosts) {
			return g
		}
	}
	m.division = m.divide(now)
	return m.division
}

func (m *members) divide(now time.Duration) *groups {
	live := m.live(now)
	slices.SortFunc(live, netip.Addr.Compare)
	m.countGroups(live)
	g := &groups{other: map[groupID][]netip.Addr{}, madeAt: now, hosts: len(m.hosts)}
	for _, host := range live {
		if m.near(host) {
			g.own = append(g.own, host)
			continue
		}
		id := m.groupOf(host, m.hosts[host].domain)
		g.other[id] = append(g.other[id], host)
	}
	return g
}

// countGroups derives the number of groups from the live hosts.
func (m *members) countGroups(live []netip.Addr) {
	margin := maxUndivided * groupHysteresis
	if m.divided {
		margin = -margin
	}
	m.divided = float64(len(live)+1) > maxUndivided+margin
	inDomain := map[uint32]int{m.domain: 1}
	for _, host := range live {
		inDomain[m.hosts[host].domain]++
	}
	for domain, count := range inDomain {
		m.bits[domain] = groupBits(count, m.bits[domain])
	}
}

// ranked returns the hosts of the own group that can relay, this one included, best
// first: hosts with more capacity, and in the order of a hash.
func (m *members) ranked(own []netip.Addr, now time.Duration) []netip.Addr {
	ranked := []netip.Addr{m.self}
	for _, host := range own {
		if known := m.hosts[host]; known != nil && known.heard && now-known.heardAt <= relayTimeout && !known.leaving {
			ranked = append(ranked, host)
		}
	}
	m.sortByRank(ranked)
	return ranked
}

// relayOf returns the host of another group that is sent news.
func (m *members) relayOf(hosts []netip.Addr, now time.Duration) netip.Addr {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(host netip.Addr) bool {
		known := m.hosts[host]
		return known == nil || known.leaving || now-known.seenAt > relayTimeout+refreshInterval
	})
	if len(candidates) == 0 {
		candidates = slices.Clone(hosts)
	}
	// A host that relays is heard all the time; the rank decides among silent ones.
	for _, host := range candidates {
		if known := m.hosts[host]; known != nil && known.heard && now-known.heardAt <= relayTimeout/2 {
			return host
		}
	}
	m.sortByRank(candidates)
	return candidates[0]
}

func (m *members) sortByRank(hosts []netip.Addr) {
	capacity := func(host netip.Addr) uint32 {
		if host == m.self {
			return m.capacity
		}
		if known, ok := m.hosts[host]; ok {
			return known.capacity
		}
		return 0
	}
	slices.SortFunc(hosts, func(a, b netip.Addr) int {
		return cmp.Or(cmp.Compare(capacity(b), capacity(a)), cmp.Compare(hostHash(a, 1), hostHash(b, 1)))
	})
}
