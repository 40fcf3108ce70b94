package fleet

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// failureHalfLife is the half-life of the failure rate of an upstream. It is
	// short because a crashed upstream restarts within seconds.
	failureHalfLife = 2 * time.Second
	// failureStep is the weight of one request in the failure rate.
	failureStep = 0.3
	// minAvoidTime is how long an unreachable upstream is avoided. The time
	// doubles with each consecutive failure up to maxAvoidTime. Discovery takes
	// about as long to remove an upstream that has stopped.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
)

// Upstream is the published state of one process that runs requests.
type Upstream struct {
	ID            string // mostly of one start of the process; see Started
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int           // requests that it runs at the same time
	WarmUp        time.Duration // remaining time of its slow start
	Draining      bool
	// Started is the start of the process in Unix milliseconds of its own clock, or 0 if it
	// doesn't say. A process may take over the identifier of the one before.
	Started int64
}

type member struct {
	upstream          Upstream
	inFlight          int
	failureRate       float64 // value at updatedAt, decays afterwards
	updatedAt         time.Duration
	unreachableStreak int           // consecutive attempts that found it unreachable
	avoidUntil        time.Duration // end of the time in which it is avoided
	calls             callTimes
	warming           warming
}

// View is a snapshot of one upstream.
type View struct {
	Upstream
	InFlight    int
	FailureRate float64 // recent failure rate, from 0 to 1
	Avoided     bool    // it was unreachable, or a peer reported it so, a short time ago
	Pace        float64 // factor of its calls on those of the fastest upstream, if it is slow; 0: as usual
	// ColdUntil is the end of its warm-up, ColdPerSecond the requests that its service allows
	// to a cold upstream, or 0 for any number.
	ColdUntil     time.Duration
	ColdPerSecond float64
	// Returning falls from 1 to 0 after the evacuation of its failure domain has ended.
	Returning float64
}

// Set holds the upstreams by identifier.
type Set struct {
	mu        sync.Mutex
	members   map[string]*member
	evacuated map[string]bool // failure domains

	usual map[string]float64 // nanoseconds of a call, by service and route
	// readmitted holds the ends of evacuations, by failure domain.
	readmitted map[string]time.Duration
	warming    map[string]Warming // by service
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: map[string]*member{}, evacuated: map[string]bool{}, readmitted: map[string]time.Duration{}}
}

// Put adds an upstream or updates its state. It reports whether the upstream is new
// or its state changed.
func (s *Set) Put(u Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, changed := s.put(u)
	return changed
}

// put is Put with the lock held. It also reports whether the process is new.
func (s *Set) put(u Upstream) (m *member, isNew, changed bool) {
	m, ok := s.members[u.ID]
	if !ok {
		m = &member{upstream: u}
		s.members[u.ID] = m
		return m, true, true
	}
	before := m.upstream
	m.upstream = u
	if before.Started != 0 && u.Started != 0 && before.Started != u.Started {
		// The failures were those of the process before.
		*m = member{upstream: u, inFlight: m.inFlight}
		isNew = true
	}
	// The rest of a warm-up changes all the time; only its end has an effect.
	before.WarmUp, u.WarmUp = min(before.WarmUp, 1), min(u.WarmUp, 1)
	return m, isNew, before != u
}

// Remove removes an upstream and reports whether the set held it.
func (s *Set) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.members[id]
	delete(s.members, id)
	return ok
}

// Upstream returns the published state of an upstream, or nil if the set doesn't hold it.
func (s *Set) Upstream(id string) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return nil
	}
	u := m.upstream
	return &u
}

// IDs returns the sorted identifiers of all upstreams.
func (s *Set) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ForService returns the upstreams of a service that are neither draining nor in an
// evacuated failure domain, sorted by identifier.
func (s *Set) ForService(service string, now time.Duration) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []View
	published, ok := s.warming[service]
	for _, m := range s.members {
		if m.upstream.Service == service && s.offered(m) {
			views = append(views, s.view(m, published, ok, now))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	s.setPaces(views, now)
	return views
}

// Usable reports whether the set holds an upstream that is neither draining nor in an
// evacuated failure domain.
func (s *Set) Usable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && s.offered(m)
}

func (s *Set) view(m *member, published Warming, ok bool, now time.Duration) View {
	return View{
		Upstream: m.upstream, InFlight: m.inFlight, FailureRate: m.decayedFailureRate(now), Avoided: now < m.avoidUntil,
		ColdUntil: s.coldUntil(m, published, ok), ColdPerSecond: published.PerSecond, Returning: s.returning(m, published, now),
	}
}

func (m *member) decayedFailureRate(now time.Duration) float64 {
	age := float64(now-m.updatedAt) / float64(failureHalfLife)
	return m.failureRate * math.Exp2(-max(age, 0))
}

// Outcome is the outcome of an attempt at an upstream.
type Outcome int

// Outcomes of attempts.
const (
	Answered    Outcome = iota // a complete answer with a status below 500
	Failed                     // an invalid or incomplete answer, or a reported failure
	Unreachable                // no connection, a lost connection or a timeout
	Refused                    // refused for lack of capacity
	Abandoned                  // ended by the caller or its deadline; says nothing about the upstream
)

// Begin counts a request as in flight at an upstream.
func (s *Set) Begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.inFlight++
	}
}

// End ends a request that Begin counted, and applies its outcome to the failure
// rate and the reachability of the upstream.
func (s *Set) End(id string, outcome Outcome, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	m.applyOutcome(outcome, now)
}

// Suspect records the report of a peer that an upstream is unreachable.
func (s *Set) Suspect(id string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && m.unreachableStreak == 0 {
		m.avoidUntil = max(m.avoidUntil, now+minAvoidTime)
	}
}

// ReportFault records that an upstream failed its part of a request that was sent to
// another one. The fault names the upstream by its address or its identifier.
// ReportFault returns false if no upstream has that name.
func (s *Set) ReportFault(fault string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.members {
		if id == fault || m.upstream.Address == fault {
			m.applyOutcome(Unreachable, now)
			return true
		}
	}
	return false
}

// Avoided returns the upstreams that this host avoids because its own attempts
// found them unreachable.
func (s *Set) Avoided(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, m := range s.members {
		if m.unreachableStreak > 0 && now < m.avoidUntil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *member) applyOutcome(outcome Outcome, now time.Duration) {
	switch outcome {
	case Answered:
		m.unreachableStreak = 0
		m.avoidUntil = 0
		m.failureRate = m.decayedFailureRate(now) * (1 - failureStep)
		m.updatedAt = now
	case Failed, Refused:
		m.failureRate = m.decayedFailureRate(now) + failureStep*(1-m.decayedFailureRate(now))
		m.updatedAt = now
	case Unreachable:
		m.failureRate = m.decayedFailureRate(now) + failureStep*(1-m.decayedFailureRate(now))
		m.updatedAt = now
		avoidTime := min(minAvoidTime<<min(m.unreachableStreak, 4), maxAvoidTime)
		m.unreachableStreak++
		m.avoidUntil = now + avoidTime
	case Abandoned:
	}
}
