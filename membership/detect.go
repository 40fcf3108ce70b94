package membership

import (
	"slices"
	"time"

	"github.com/citronscale/citronscale/ident"
)

// Failed reports that a probe of the host was not answered within the period.
// It returns probes of third hosts that ask them to try. The host becomes
// suspect if none of them reaches it in time.
func (t *Table) Failed(now time.Time, host ident.Host) []Probe {
	t.wake(now)
	e, ok := t.entries[host]
	if !ok || !responsive(e.state) || e == t.self {
		return nil
	}
	if e.probedAt.Before(t.resumedAt) || e.lastContactAt.After(e.probedAt) || !e.doubtAt.IsZero() {
		return nil
	}
	e.doubtAt = now
	return t.indirectProbes(now, host)
}

func (t *Table) indirectProbes(now time.Time, target ident.Host) []Probe {
	var helpers []ident.Host
	for _, e := range t.order {
		if e.host != target && e.state == Ready && e.doubtAt.IsZero() {
			helpers = append(helpers, e.host)
		}
	}
	t.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var probes []Probe
	count := min(len(helpers), t.options.IndirectProbes, t.options.IndirectLimit-t.asked)
	for _, host := range helpers[:max(count, 0)] {
		p, ok := t.probe(now, host, lightRecordBytes)
		if !ok {
			continue
		}
		t.asked++
		p.Message.ProbeTarget = string(target)
		t.indirect[p.Message.GetSequence()] = indirectProbe{target: target, sentAt: now}
		probes = append(probes, p)
	}
	return probes
}

// expire turns doubts into suspicions, suspicions into failures, and forgets
// hosts that failed long ago.
func (t *Table) expire(now time.Time) {
	doubtTime := doubtPeriods * t.options.Period
	for sequence, probe := range t.indirect {
		if now.Sub(probe.sentAt) > 2*doubtTime {
			delete(t.indirect, sequence)
		}
	}
	for _, e := range slices.Clone(t.order) {
		switch {
		case !e.doubtAt.IsZero() && now.Sub(e.doubtAt) >= doubtTime:
			t.confirmDoubt(now, e)
		case e.state == Suspect && now.Sub(t.suspectSince(e)) >= t.options.SuspectTime:
			t.change(now, e, Failed)
		case e.state == Failed && now.Sub(e.changeAt) >= t.options.FailedRetention:
			t.forget(e)
		}
	}
}

// suspectSince is the start of the suspect time: the suspicion, a later direct
// contact, or the end of a pause of this process.
func (t *Table) suspectSince(e *entry) time.Time {
	since := e.changeAt
	if e.lastContactAt.After(since) {
		since = e.lastContactAt
	}
	if t.resumedAt.After(since) {
		since = t.resumedAt
	}
	return since
}

// confirmDoubt counts a silent host as suspect, or as failed if it was leaving:
// a host that leaves is expected to go, and a suspicion would hide from third
// hosts that it leaves.
func (t *Table) confirmDoubt(now time.Time, e *entry) {
	e.doubtAt = time.Time{}
	switch e.state {
	case Starting, Ready:
		t.change(now, e, Suspect)
	case Leaving:
		t.change(now, e, Failed)
	}
}

// change sets the state that this host gives to another one. Suspicions are
// passed on; each host then counts the suspect time itself.
func (t *Table) change(now time.Time, e *entry, state State) {
	t.changes = append(t.changes, Change{Host: e.host, Incarnation: e.incarnation, From: e.state, To: state})
	e.state = state
	e.changeAt = now
	if state == Suspect {
		e.sends = t.sendLimit()
	}
	t.refresh(e)
}

func (t *Table) forget(e *entry) {
	t.digest ^= e.sum
	delete(t.entries, e.host)
	t.order = slices.DeleteFunc(t.order, func(other *entry) bool { return other == e })
}

// Resumed discards what the process believed before a pause: probes sent
// before it prove nothing, and suspicions start anew.
func (t *Table) Resumed(now time.Time) {
	t.resumedAt = now
	t.lastTick = now
	clear(t.indirect)
	for _, e := range t.order {
		e.doubtAt = time.Time{}
	}
}

// wake calls Resumed if the process did not tick for the pause time.
func (t *Table) wake(now time.Time) {
	if now.Sub(t.lastTick) > t.options.PauseTime {
		t.Resumed(now)
	}
}

// Settled reports whether enough peers answered since the start or the last
// pause to act on the table. While it is false the host must not act as the
// owner of an engine. A host without live peers is settled; seeds count as live
// for the suspect time.
func (t *Table) Settled(now time.Time) bool {
	live, fresh := 0, 0
	if now.Sub(t.resumedAt) < t.options.SuspectTime {
		live = t.unknownSeeds()
	}
	for _, e := range t.order {
		if !responsive(e.state) {
			continue
		}
		live++
		if !e.lastContactAt.Before(t.resumedAt) {
			fresh++
		}
	}
	return fresh >= min(live, settledAnswers)
}

// unknownSeeds counts the hosts that only the host list names.
func (t *Table) unknownSeeds() int {
	count := 0
	for host := range t.seeds {
		if _, ok := t.entries[host]; !ok {
			count++
		}
	}
	return count
}
