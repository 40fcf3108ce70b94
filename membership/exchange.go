package membership

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// Receive handles the probe of another host and returns the response.
func (t *Table) Receive(now time.Time, m *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	t.detectPause(now)
	sender := ident.Host(m.GetSender().GetHost())
	known, ok := t.entries[sender]
	isNew := !ok || uint64(known.incarnation) < m.GetSender().GetIncarnation()
	t.applySender(now, m.GetSender())
	t.applyAll(now, m.GetRecords())
	ownBits := t.compareBits(m.GetSequence())
	differing := ownBits ^ m.GetRosterDigest()
	limit := t.options.MaxRecordBytes
	switch {
	case differing == 0:
		t.rosterMatched()
		limit = smallRecordBytes
	case isNew:
		limit = t.options.MaxJoinBytes
		differing = allBuckets
	case m.GetProbeTarget() != "":
		limit = smallRecordBytes
	}
	return &peerv1.HeartbeatResponse{
		Sender:       t.ownRecord(),
		Records:      t.selectRecords(sender, limit, differing),
		RosterDigest: ownBits,
		Sequence:     m.GetSequence(),
	}
}

// Response handles the response to a probe of the host.
func (t *Table) Response(now time.Time, host ident.Host, m *peerv1.HeartbeatResponse) {
	t.detectPause(now)
	if m.GetSender().GetHost() != string(host) {
		return
	}
	t.applySender(now, m.GetSender())
	t.applyAll(now, m.GetRecords())
	if m.GetRosterDigest() == t.compareBits(m.GetSequence()) {
		t.rosterMatched()
	}
	probe, ok := t.indirect[m.GetSequence()]
	if !ok {
		return
	}
	delete(t.indirect, m.GetSequence())
	if target, known := t.entries[probe.target]; known && m.GetProbeAlive() {
		target.indirectSince = time.Time{}
	}
}

// rosterMatched handles an exchange with a peer whose roster is equal: it counts
// as one message that carried all changes.
func (t *Table) rosterMatched() {
	for _, e := range t.order {
		e.sendsLeft = max(e.sendsLeft-1, 0)
	}
}

// applySender applies the sender's own record from a message of that sender.
func (t *Table) applySender(now time.Time, r *peerv1.HostRecord) {
	t.apply(now, r)
	e, ok := t.entries[ident.Host(r.GetHost())]
	if !ok || e == t.self || uint64(e.incarnation) != r.GetIncarnation() {
		return
	}
	e.lastContactAt = now
	e.indirectSince = time.Time{}
	e.usage = r.GetUsage()
	e.wasReady = r.GetState() == Ready
	if r.GetConfigRevision() >= e.configRevision {
		e.configRevision = r.GetConfigRevision()
		e.configDigest = r.GetConfigDigest()
	}
}

func (t *Table) applyAll(now time.Time, records []*peerv1.HostRecord) {
	for _, r := range records {
		t.apply(now, r)
	}
}

// apply stores a record if it is greater than the current one.
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
	r = t.downgradeFailure(e, r)
	switch order := compareRecords(e, r); {
	case order < 0:
		t.replace(now, e, r)
	case order == 0 && !e.hasLocation:
		e.setLocation(r)
		t.refresh(e)
	}
}

// downgradeFailure turns a received failure of a live host into a suspicion. The
// peer that reports it may have been paused or partitioned, so the host gets the
// suspect time to refute it.
func (t *Table) downgradeFailure(e *entry, r *peerv1.HostRecord) *peerv1.HostRecord {
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
	e.bucketIndex = e.bucket()
	t.entries[host] = e
	at, _ := slices.BinarySearchFunc(t.order, host, func(e *entry, h ident.Host) int { return cmp.Compare(e.host, h) })
	t.order = slices.Insert(t.order, at, e)
	return e
}

func (t *Table) replace(now time.Time, e *entry, r *peerv1.HostRecord) {
	from := e.state
	restarted := uint64(e.incarnation) != r.GetIncarnation()
	e.setLocation(r)
	e.incarnation = ident.Incarnation(r.GetIncarnation())
	e.version = r.GetVersion()
	e.state = r.GetState()
	if e.state <= Leaving || restarted {
		e.wasReady = e.state == Ready
	}
	if restarted {
		e.lastContactAt = time.Time{}
		e.usage = nil
		e.configRevision = 0
		e.configDigest = 0
		e.locationSendsLeft = t.sendLimit()
	}
	e.indirectSince = time.Time{}
	e.sendsLeft = t.sendLimit()
	t.refresh(e)
	if from == e.state && !restarted {
		return
	}
	e.changedAt = now
	t.changes = append(t.changes, Change{Host: e.host, Incarnation: e.incarnation, From: from, To: e.state})
	if !responsive(from) || from == peerv1.HostState_HOST_STATE_UNSPECIFIED {
		t.insertInRing(e.host)
	}
}

// refute handles a received record of this host. If it is greater than the own
// record, such as suspect or failed, the own version is raised above it. A later
// incarnation is a conflict.
func (t *Table) refute(now time.Time, r *peerv1.HostRecord) {
	if r.GetIncarnation() > uint64(t.self.incarnation) {
		t.conflict = ident.Incarnation(r.GetIncarnation())
		return
	}
	if compareRecords(t.self, r) >= 0 {
		return
	}
	t.self.version = r.GetVersion() + 1
	t.self.changedAt = now
	t.refresh(t.self)
}
