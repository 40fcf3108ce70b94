package membership

import (
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

const (
	// lostProbeInterval is the number of periods between two probes of hosts
	// that are failed or only known from the host list, if these are few.
	lostProbeInterval = 4
	// manyLost is the share of the roster, as a divisor, from which on such a
	// host is probed in each period.
	manyLost = 8
	// startFanout is the number of seeds probed per period by a host that has
	// no peer yet.
	startFanout = 3
	// doubtPeriods is the time in periods that third hosts have to answer for
	// a silent host: their own probe and the way back.
	doubtPeriods = 2
	// lightRecordBytes bounds the records in probes that are likely to be lost
	// and in those that ask about another host.
	lightRecordBytes = 60
)

// indirectProbe is a question to a third host about a silent one.
type indirectProbe struct {
	target ident.Host
	sentAt time.Time
}

// Tick advances all timers and returns the probes of this period. Call it once
// per Options.Period.
func (t *Table) Tick(now time.Time) []Probe {
	t.wake(now)
	t.lastTick = now
	t.ticks++
	t.asked = 0
	t.expire(now)
	targets := t.nextTargets()
	probes := make([]Probe, 0, len(targets))
	for _, host := range targets {
		if p, ok := t.Probe(now, host); ok {
			probes = append(probes, p)
		}
	}
	return probes
}

// Probe returns a heartbeat to one host. The host package also uses it for a
// received message that names a probe target: it sends the probe and sets
// ProbeAlive in its response to the outcome.
func (t *Table) Probe(now time.Time, host ident.Host) (Probe, bool) {
	limit := t.options.MaxRecordBytes
	if e, ok := t.entries[host]; !ok || e.state == Failed {
		limit = lightRecordBytes
	}
	return t.probe(now, host, limit)
}

func (t *Table) probe(now time.Time, host ident.Host, limit int) (Probe, bool) {
	address := t.address(host)
	if address == "" || host == t.self.host {
		return Probe{}, false
	}
	if e, ok := t.entries[host]; ok {
		e.probedAt = now
	}
	return Probe{Host: host, Address: address, Message: t.request(host, limit)}, true
}

// address prefers what the host says of itself, unless it failed: then it may
// have been replaced under another address.
func (t *Table) address(host ident.Host) string {
	seed := t.seeds[host].PeerAddress
	e, ok := t.entries[host]
	if !ok || e.address == "" || e.state == Failed && seed != "" {
		return seed
	}
	return e.address
}

func (t *Table) request(to ident.Host, limit int) *peerv1.HeartbeatRequest {
	t.sequence++
	return &peerv1.HeartbeatRequest{
		Sender:       t.ownRecord(),
		Records:      t.selectRecords(to, limit, 0),
		RosterDigest: t.compareBits(t.sequence),
		Sequence:     t.sequence,
	}
}

// nextTargets returns the hosts to probe in this period.
func (t *Table) nextTargets() []ident.Host {
	count := t.options.Fanout
	if t.announce {
		t.announce = false
		count = max(count, t.options.LeavingFanout)
	}
	targets := t.nextInRing(count)
	switch {
	case len(targets) == 0:
		targets = t.nextLost(startFanout)
	case t.ticks%lostProbeInterval == 0 || t.lostCount*manyLost > len(t.entries):
		targets = append(targets, t.nextLost(1)...)
	}
	return targets
}

// nextInRing takes hosts from a shuffled list of the partners, so that each is
// probed once before any is probed again.
func (t *Table) nextInRing(count int) []ident.Host {
	var targets []ident.Host
	refilled := false
	for len(targets) < count {
		if len(t.ring) == 0 {
			if refilled {
				break
			}
			refilled = true
			t.refillRing()
			continue
		}
		host := t.ring[len(t.ring)-1]
		t.ring = t.ring[:len(t.ring)-1]
		if e, ok := t.entries[host]; ok && responsive(e.state) && !slices.Contains(targets, host) {
			targets = append(targets, host)
		}
	}
	return targets
}

// refillRing starts a new turn over the partners. A fleet with more hosts than
// partners exchanges one partner per turn: connections to partners are reused,
// while a new connection costs a TLS handshake.
func (t *Table) refillRing() {
	var others []ident.Host
	partners := make([]ident.Host, 0, t.options.Partners)
	for _, e := range t.order {
		switch {
		case !responsive(e.state):
		case slices.Contains(t.partners, e.host):
			partners = append(partners, e.host)
		default:
			others = append(others, e.host)
		}
	}
	t.shuffle(partners)
	t.shuffle(others)
	if len(others) > 0 && len(partners) >= t.options.Partners {
		partners = partners[:t.options.Partners-1]
	}
	missing := min(len(others), t.options.Partners-len(partners))
	t.partners = append(partners, others[:missing]...)
	t.ring = append(t.ring[:0], t.partners...)
	t.shuffle(t.ring)
}

func (t *Table) shuffle(hosts []ident.Host) {
	t.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// insertInRing lets a host that joined be probed in this turn, if all hosts are
// partners. Once there are more, partners are drawn anew, as hosts that started
// together would otherwise share them.
func (t *Table) insertInRing(host ident.Host) {
	if len(t.order) > t.options.Partners {
		if len(t.partners) == 0 {
			t.ring = t.ring[:0]
		}
		return
	}
	if slices.Contains(t.ring, host) {
		return
	}
	t.ring = slices.Insert(t.ring, t.rng.IntN(len(t.ring)+1), host)
}

// nextLost takes hosts that are failed or only known from the host list. They
// are probed so that the two sides of a healed partition find each other.
func (t *Table) nextLost(count int) []ident.Host {
	if len(t.lost) == 0 {
		t.refillLost()
	}
	var targets []ident.Host
	for len(targets) < count && len(t.lost) > 0 {
		host := t.lost[len(t.lost)-1]
		t.lost = t.lost[:len(t.lost)-1]
		if e, ok := t.entries[host]; !ok || e.state == Failed {
			targets = append(targets, host)
		}
	}
	return targets
}

func (t *Table) refillLost() {
	t.lost = t.lost[:0]
	defer func() { t.lostCount = len(t.lost) }()
	for host := range t.seeds {
		if _, ok := t.entries[host]; !ok {
			t.lost = append(t.lost, host)
		}
	}
	for _, e := range t.order {
		if e.state == Failed {
			t.lost = append(t.lost, e.host)
		}
	}
	slices.Sort(t.lost)
	t.shuffle(t.lost)
}
