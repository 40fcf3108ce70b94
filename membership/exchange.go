package membership

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// Receive handles the probe of another host and returns the answer.
func (t *Table) Receive(now time.Time, m *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	t.wake(now)
	sender := ident.Host(m.GetSender().GetHost())
	known, ok := t.entries[sender]
	isNew := !ok || uint64(known.incarnation) < m.GetSender().GetIncarnation()
	t.hear(now, m.GetSender())
	t.applyAll(now, m.GetRecords())
	ownBits := t.compareBits(m.GetSequence())
	differing := ownBits ^ m.GetRosterDigest()
	limit := t.options.MaxRecordBytes
	switch {
	case differing == 0:
		t.agreed()
		limit = lightRecordBytes
	case isNew:
		limit = t.options.MaxJoinBytes
		differing = allBuckets
	case m.GetProbeTarget() != "":
		limit = lightRecordBytes
	}
	return &peerv1.HeartbeatResponse{
		Sender:       t.ownRecord(),
		Records:      t.selectRecords(sender, limit, differing),
		RosterDigest: ownBits,
		Sequence:     m.GetSequence(),
	}
}

// Response handles the answer to a probe of the host.
func (t *Table) Response(now time.Time, host ident.Host, m *peerv1.HeartbeatResponse) {
	t.wake(now)
	if m.GetSender().GetHost() != string(host) {
		return
	}
	t.hear(now, m.GetSender())
	t.applyAll(now, m.GetRecords())
	if m.GetRosterDigest() == t.compareBits(m.GetSequence()) {
		t.agreed()
	}
	probe, ok := t.indirect[m.GetSequence()]
	if !ok {
		return
	}
	delete(t.indirect, m.GetSequence())
	if target, known := t.entries[probe.target]; known && m.GetProbeAlive() {
		target.doubtAt = time.Time{}
	}
}

// agreed counts an exchange with a peer that holds the same records like one
// that passed all changes on.
func (t *Table) agreed() {
	for _, e := range t.order {
		e.sends = max(e.sends-1, 0)
	}
}

// hear handles a host's record of itself in its own message.
func (t *Table) hear(now time.Time, r *peerv1.HostRecord) {
	t.apply(now, r)
	e, ok := t.entries[ident.Host(r.GetHost())]
	if !ok || e == t.self || uint64(e.incarnation) != r.GetIncarnation() {
		return
	}
	e.lastContactAt = now
	e.doubtAt = time.Time{}
	e.usage = r.GetUsage()
	e.wasReady = r.GetState() == Ready
	if r.GetConfigRevision() >= e.revision {
		e.revision = r.GetConfigRevision()
		e.digest = r.GetConfigDigest()
	}
}

func (t *Table) applyAll(now time.Time, records []*peerv1.HostRecord) {
	for _, r := range records {
		t.apply(now, r)
	}
}

// apply takes a record in if it is greater than the one held.
func (t *Table) apply(now time.Time, r *peerv1.HostRecord) {
	if !validRecord(r) {
		return
	}
	host := ident.Host(r.GetHost())
	if host == t.self.host {
		t.refute(now, r)
		return
	}
	e, ok := t.entries[host]
	if !ok {
		if r.GetState() == Failed {
			return
		}
		e = t.add(host)
	}
	r = t.doubted(e, r)
	switch order := compareRecords(e, r); {
	case order < 0:
		t.replace(now, e, r)
	case order == 0 && !e.hasFacts:
		e.setFacts(r)
		t.refresh(e)
	}
}

// doubted turns the news that a live host failed into a suspicion, so that the
// host has the suspect time to refute what a peer believes that was paused or
// cut off.
func (t *Table) doubted(e *entry, r *peerv1.HostRecord) *peerv1.HostRecord {
	if r.GetState() != Failed || e.state == Leaving || e.state == Failed {
		return r
	}
	return &peerv1.HostRecord{
		Host: r.GetHost(), Incarnation: r.GetIncarnation(), Version: r.GetVersion(), State: Suspect,
		PeerAddress: r.GetPeerAddress(), FailureDomain: r.GetFailureDomain(),
	}
}

func (t *Table) add(host ident.Host) *entry {
	e := &entry{host: host}
	e.part = e.bucket()
	t.entries[host] = e
	at, _ := slices.BinarySearchFunc(t.order, host, func(e *entry, h ident.Host) int { return cmp.Compare(e.host, h) })
	t.order = slices.Insert(t.order, at, e)
	return e
}

func (t *Table) replace(now time.Time, e *entry, r *peerv1.HostRecord) {
	from := e.state
	restarted := uint64(e.incarnation) != r.GetIncarnation()
	e.setFacts(r)
	e.incarnation = ident.Incarnation(r.GetIncarnation())
	e.version = r.GetVersion()
	e.state = r.GetState()
	if e.state <= Leaving || restarted {
		e.wasReady = e.state == Ready
	}
	if restarted {
		e.lastContactAt = time.Time{}
		e.usage = nil
		e.revision = 0
		e.digest = 0
		e.facts = t.sendLimit()
	}
	e.doubtAt = time.Time{}
	e.sends = t.sendLimit()
	t.refresh(e)
	if from == e.state && !restarted {
		return
	}
	e.changeAt = now
	t.changes = append(t.changes, Change{Host: e.host, Incarnation: e.incarnation, From: from, To: e.state})
	if !responsive(from) || from == peerv1.HostState_HOST_STATE_UNSPECIFIED {
		t.insertInRing(e.host)
	}
}

// refute answers a record that calls this host suspect or failed.
func (t *Table) refute(now time.Time, r *peerv1.HostRecord) {
	if r.GetIncarnation() > uint64(t.self.incarnation) {
		t.conflict = ident.Incarnation(r.GetIncarnation())
		return
	}
	if compareRecords(t.self, r) >= 0 {
		return
	}
	t.self.version = r.GetVersion() + 1
	t.self.changeAt = now
	t.refresh(t.self)
}
