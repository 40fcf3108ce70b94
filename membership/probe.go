package membership

import (
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

const (
	// inactiveProbeInterval is the number of periods between two probes of
	// inactive hosts (failed, or only in the host list), if these are few.
	inactiveProbeInterval = 4
	// manyInactiveDivisor gives the share of the table, as a divisor, above which
	// one of the inactive hosts is probed in each period.
	manyInactiveDivisor = 8
	// startFanout is the number of seeds probed per period by a host without
	// peers.
	startFanout = 3
	// indirectPeriods is the timeout of an indirect probe in periods. It covers
	// the probe by the third host and its response.
	indirectPeriods = 2
	// smallRecordBytes bounds the records in probes that are likely to fail and
	// in indirect probes.
	smallRecordBytes = 60
)

// indirectProbe is an outstanding request to a third host to probe the target.
type indirectProbe struct {
	target ident.Host
	sentAt time.Time
}

// Tick checks all timeouts and returns the probes of this period. It is called
// once per Options.Period.
func (t *Table) Tick(now time.Time) []Probe {
	t.detectPause(now)
	t.lastTick = now
	t.ticks++
	t.indirectSent = 0
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
		limit = smallRecordBytes
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

// address prefers the address in the host's record, unless the host failed: then
// it may have been replaced under another address.
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
	if t.announceLeaving {
		t.announceLeaving = false
		count = max(count, t.options.LeavingFanout)
	}
	targets := t.nextInRing(count)
	switch {
	case len(targets) == 0:
		targets = t.nextInactive(startFanout)
	case t.ticks%inactiveProbeInterval == 0 || t.inactiveCount*manyInactiveDivisor > len(t.entries):
		targets = append(targets, t.nextInactive(1)...)
	}
	return targets
}

// nextInRing takes hosts from a shuffled list of the partners, so that each
// partner is probed once per round.
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

// refillRing starts a new round over the partners. If there are more hosts than
// partners, one partner is replaced per round: connections to partners are
// reused, while a new connection costs a TLS handshake.
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

// insertInRing adds a host that joined to the current round, if all hosts are
// partners. As soon as there are more hosts than partners, the partners are drawn
// again, as hosts that started together would otherwise share them.
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

// nextInactive takes inactive hosts: failed, or only in the host list. They are
// probed so that the two sides of a healed partition reconnect.
func (t *Table) nextInactive(count int) []ident.Host {
	if len(t.inactive) == 0 {
		t.refillInactive()
	}
	var targets []ident.Host
	for len(targets) < count && len(t.inactive) > 0 {
		host := t.inactive[len(t.inactive)-1]
		t.inactive = t.inactive[:len(t.inactive)-1]
		if e, ok := t.entries[host]; !ok || e.state == Failed {
			targets = append(targets, host)
		}
	}
	return targets
}

func (t *Table) refillInactive() {
	t.inactive = t.inactive[:0]
	defer func() { t.inactiveCount = len(t.inactive) }()
	for host := range t.seeds {
		if _, ok := t.entries[host]; !ok {
			t.inactive = append(t.inactive, host)
		}
	}
	for _, e := range t.order {
		if e.state == Failed {
			t.inactive = append(t.inactive, e.host)
		}
	}
	slices.Sort(t.inactive)
	t.shuffle(t.inactive)
}
