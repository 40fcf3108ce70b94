package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// defaultWarmUp is how long upstreams count as cold whose service publishes no time.
	defaultWarmUp = 3 * time.Second
	// clockDifference is by how much clocks of hosts and upstreams are expected to differ. It
	// only makes the time longer in which an upstream counts as cold, up to the warm-up.
	clockDifference = 3 * time.Second
	// surelyWarmAge is the age of a process, by its own clock, from which it is not new,
	// whatever its clock does: an entry may vanish for a while and return.
	surelyWarmAge = time.Minute
)

// Warming is what a service publishes of upstreams that have just started.
type Warming struct {
	WarmUp    time.Duration // 0: not published
	PerSecond float64       // requests that a cold upstream handles; 0: no bound
}

// Reading tells when and how an entry was read.
type Reading struct {
	Now time.Duration
	// Loaded tells that the host has read all entries before, so that a process that it sees
	// for the first time has just started.
	Loaded bool
	Wall   time.Time
}

// warming is what is known of the start of one process. Times are readings of the clock of
// this host.
type warming struct {
	entryUntil  time.Duration // end of what its entry says
	healthUntil time.Duration // end of what a health check said
	started     bool
	startedAt   time.Duration // when it started, or later
	logged      bool          // ColdChanges has returned it as cold
}

// SetWarming replaces what the services publish. Services that publish nothing are absent.
func (s *Set) SetWarming(services map[string]Warming) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warming = services
}

// PutEntry is Put for an entry that discovery published.
func (s *Set) PutEntry(u Upstream, read Reading) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, isNew, changed := s.put(u)
	m.warming.entryUntil = read.Now + u.WarmUp
	if isNew {
		m.warming.start(u.Started, read)
	}
	return changed
}

// start bounds what the clock of the process says. Before the host has loaded, only that
// clock tells whether a process is new; afterwards it can only tell that a process is old.
func (w *warming) start(started int64, read Reading) {
	age := read.Wall.Sub(time.UnixMilli(started))
	switch {
	case !read.Loaded && started != 0:
		w.started, w.startedAt = true, read.Now-max(age-clockDifference, 0)
	case read.Loaded && (started == 0 || age < surelyWarmAge):
		w.started, w.startedAt = true, read.Now
	}
}

// ReportCold records that a health check named the rest of the warm-up of an upstream.
func (s *Set) ReportCold(id string, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.warming.healthUntil = until
	}
}

// coldUntil returns the end of the time in which an upstream is cold. Its start counts only
// if its service publishes something of cold upstreams.
func (s *Set) coldUntil(m *member, published Warming, ok bool) time.Duration {
	until := max(m.warming.entryUntil, m.warming.healthUntil)
	if ok && m.warming.started {
		until = max(until, m.warming.startedAt+published.warmUp())
	}
	if len(s.readmitted) == 0 {
		return until
	}
	if at, returned := s.readmitted[m.upstream.FailureDomain]; returned {
		until = max(until, at+published.warmUp())
	}
	return until
}

// coldFor returns the rest of the time in which the requests to an upstream are bounded
// because it is cold, or 0.
func (s *Set) coldFor(m *member, now time.Duration) time.Duration {
	published, ok := s.warming[m.upstream.Service]
	if published.PerSecond <= 0 {
		return 0
	}
	return max(s.coldUntil(m, published, ok)-now, 0)
}

// returning falls from 1 to 0 while an upstream warms up after the evacuation of its domain.
func (s *Set) returning(m *member, published Warming, now time.Duration) float64 {
	if len(s.readmitted) == 0 {
		return 0
	}
	at, returned := s.readmitted[m.upstream.FailureDomain]
	if !returned {
		return 0
	}
	warmUp := published.warmUp()
	return min(max(float64(at+warmUp-now)/float64(warmUp), 0), 1)
}

func (w Warming) warmUp() time.Duration {
	if w.WarmUp > 0 {
		return w.WarmUp
	}
	return defaultWarmUp
}

// ColdChange is the begin or the end of the warm-up of an upstream.
type ColdChange struct {
	Upstream

	Cold bool
	For  time.Duration // rest of the warm-up
}

// ColdChanges returns what has changed since the last call, of upstreams whose service
// bounds the requests to cold ones, sorted by identifier.
func (s *Set) ColdChanges(now time.Duration) []ColdChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []ColdChange
	for _, m := range s.members {
		left := s.coldFor(m, now)
		cold := left > 0
		if cold != m.warming.logged {
			m.warming.logged = cold
			changes = append(changes, ColdChange{Upstream: m.upstream, Cold: cold, For: left})
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// Cold returns the number of upstreams that are cold and whose service bounds the requests
// to cold ones.
func (s *Set) Cold(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, m := range s.members {
		if s.coldFor(m, now) > 0 {
			count++
		}
	}
	return count
}
