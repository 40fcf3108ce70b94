package membership

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Failed handles a probe of the host that was not answered within the period. It
// returns indirect probes: heartbeats that ask third hosts to probe the host. The
// host becomes suspect if none of them reaches it in time.
func (t *Table) Failed(now time.Time, host ident.Host) []Probe {
	t.detectPause(now)
	e, ok := t.entries[host]
	if !ok || !responsive(e.state) || e == t.self {
		return nil
	}
	if e.probedAt.Before(t.resumedAt) || e.lastContactAt.After(e.probedAt) || !e.indirectSince.IsZero() {
		return nil
	}
	e.indirectSince = now
	return t.indirectProbes(now, host)
}

func (t *Table) indirectProbes(now time.Time, target ident.Host) []Probe {
	var helpers []ident.Host
	for _, e := range t.order {
		if e.host != target && e.state == Ready && e.indirectSince.IsZero() {
			helpers = append(helpers, e.host)
		}
	}
	t.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var probes []Probe
	count := min(len(helpers), t.options.IndirectProbes, t.options.IndirectLimit-t.indirectSent)
	for _, host := range helpers[:max(count, 0)] {
		p, ok := t.probe(now, host, smallRecordBytes)
		if !ok {
			continue
		}
		t.indirectSent++
		p.Message.ProbeTarget = string(target)
		t.indirect[p.Message.GetSequence()] = indirectProbe{target: target, sentAt: now}
		probes = append(probes, p)
	}
	return probes
}

// expire marks hosts suspect or failed when their timeouts have passed and
// removes failed hosts after their retention.
func (t *Table) expire(now time.Time) {
	indirectTimeout := indirectPeriods * t.options.Period
	for sequence, probe := range t.indirect {
		if now.Sub(probe.sentAt) > 2*indirectTimeout {
			delete(t.indirect, sequence)
		}
	}
	for _, e := range slices.Clone(t.order) {
		switch {
		case !e.indirectSince.IsZero() && now.Sub(e.indirectSince) >= indirectTimeout:
			t.markUnreachable(now, e)
		case e.state == Suspect && now.Sub(t.suspectSince(e)) >= t.options.SuspectTime:
			t.change(now, e, Failed)
		case e.state == Failed && now.Sub(e.changedAt) >= t.options.FailedRetention:
			t.remove(e)
		}
	}
}

// suspectSince returns the start of the suspect time: the latest of the
// suspicion, a direct contact and the end of a pause of this process.
func (t *Table) suspectSince(e *entry) time.Time {
	since := e.changedAt
	if e.lastContactAt.After(since) {
		since = e.lastContactAt
	}
	if t.resumedAt.After(since) {
		since = t.resumedAt
	}
	return since
}

// markUnreachable marks a host that no probe reached as suspect, or as failed if
// it was leaving: a leaving host is expected to stop, and the state suspect would
// replace the state leaving in the tables of third hosts.
func (t *Table) markUnreachable(now time.Time, e *entry) {
	e.indirectSince = time.Time{}
	switch e.state {
	case Starting, Ready:
		t.change(now, e, Suspect)
	case Leaving:
		t.change(now, e, Failed)
	}
}

// change sets the local state of another host. Suspicions are sent to peers;
// each host then measures the suspect time itself.
func (t *Table) change(now time.Time, e *entry, state State) {
	t.changes = append(t.changes, Change{Host: e.host, Incarnation: e.incarnation, From: e.state, To: state})
	e.state = state
	e.changedAt = now
	if state == Suspect {
		e.sendsLeft = t.sendLimit()
	}
	t.refresh(e)
}

func (t *Table) remove(e *entry) {
	t.rosterDigest ^= e.recordDigest
	delete(t.entries, e.host)
	t.order = slices.DeleteFunc(t.order, func(other *entry) bool { return other == e })
}

// Resumed discards evidence from before a pause: outstanding probes are
// ignored, and the suspect time of suspect hosts starts again.
func (t *Table) Resumed(now time.Time) {
	t.resumedAt = now
	t.lastTick = now
	clear(t.indirect)
	for _, e := range t.order {
		e.indirectSince = time.Time{}
	}
}

// detectPause calls Resumed if the last tick is longer ago than the pause time.
func (t *Table) detectPause(now time.Time) {
	if now.Sub(t.lastTick) > t.options.PauseTime {
		t.Resumed(now)
	}
}

// Settled reports whether enough peers have answered since the start or the last
// pause for the table to be current. While it is false the host must not act as
// the owner of an engine. A host without live peers is settled; seeds count as
// live for the suspect time.
func (t *Table) Settled(now time.Time) bool {
	live, answered := 0, 0
	if now.Sub(t.resumedAt) < t.options.SuspectTime {
		live = t.unknownSeeds()
	}
	for _, e := range t.order {
		if !responsive(e.state) {
			continue
		}
		live++
		if !e.lastContactAt.Before(t.resumedAt) {
			answered++
		}
	}
	return answered >= min(live, settledAnswers)
}

// unknownSeeds counts the hosts of the host list that have no entry.
func (t *Table) unknownSeeds() int {
	count := 0
	for host := range t.seeds {
		if _, ok := t.entries[host]; !ok {
			count++
		}
	}
	return count
}
