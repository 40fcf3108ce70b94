package fleet

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// failureHalfLife is the time in which a failure loses half of its weight.
	// A crashed upstream is back within seconds, so evidence ages as fast.
	failureHalfLife = 2 * time.Second
	// failureStep is what one failure moves the failure share towards one.
	failureStep = 0.3
	// avoidBase is how long an upstream that can't be reached gets no work; it
	// doubles with each further failure in a row up to avoidMost. Discovery
	// needs about as long to drop an upstream that has gone.
	avoidBase = 500 * time.Millisecond
	avoidMost = 4 * time.Second
)

// Upstream is one process that runs requests.
type Upstream struct {
	ID            string // of one start of the process
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int           // requests at once
	WarmUp        time.Duration // how much longer it is slow after its start
	Draining      bool
}

type member struct {
	upstream Upstream
	inFlight int
	failing  float64 // share of failures, aged
	failedAt time.Duration
	streak   int // failures to reach it, in a row
	avoid    time.Duration
}

// View is what a host knows about one upstream at one moment.
type View struct {
	Upstream
	InFlight int
	Failing  float64 // recent share of failed requests, from 0 to 1
	Avoided  bool    // it could not be reached lately
}

// Set is the upstreams by identifier.
type Set struct {
	mu      sync.Mutex
	members map[string]*member
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: map[string]*member{}}
}

// Put adds an upstream or takes over its new state. It reports whether anything
// changed that matters to routing.
func (s *Set) Put(u Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[u.ID]
	if !ok {
		s.members[u.ID] = &member{upstream: u}
		return true
	}
	before := m.upstream
	m.upstream = u
	return before.Draining != u.Draining || before.Address != u.Address || before.Service != u.Service
}

// Remove forgets an upstream and reports whether it was known.
func (s *Set) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.members[id]
	delete(s.members, id)
	return ok
}

// IDs returns the identifiers of all upstreams in order.
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

// Of returns the upstreams of a service that take new work, in the order of
// their identifiers.
func (s *Set) Of(service string, now time.Duration) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []View
	for _, m := range s.members {
		if m.upstream.Service == service && !m.upstream.Draining {
			views = append(views, m.view(now))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}

// Usable reports whether an upstream is listed and not draining.
func (s *Set) Usable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return ok && !m.upstream.Draining
}

func (m *member) view(now time.Duration) View {
	return View{Upstream: m.upstream, InFlight: m.inFlight, Failing: m.aged(now), Avoided: now < m.avoid}
}

func (m *member) aged(now time.Duration) float64 {
	age := float64(now-m.failedAt) / float64(failureHalfLife)
	return m.failing * math.Exp2(-max(age, 0))
}

// Outcome says how an upstream dealt with a request.
type Outcome int

// Outcomes of requests.
const (
	Answered    Outcome = iota // with a whole answer, whatever its status
	Failed                     // it answered wrongly, broke off or reported a failure
	Unreachable                // it could not be reached or was silent
	Full                       // it had no room
	Abandoned                  // the caller left, nothing was learned
)

// Begin counts a request that is sent to an upstream.
func (s *Set) Begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok {
		m.inFlight++
	}
}

// End counts a request out and takes its outcome as evidence.
func (s *Set) End(id string, outcome Outcome, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	m.learn(outcome, now)
}

// Suspect takes the word of a peer that an upstream can't be reached.
func (s *Set) Suspect(id string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.members[id]; ok && m.streak == 0 {
		m.avoid = max(m.avoid, now+avoidBase)
	}
}

// Avoided returns the upstreams that could not be reached lately by this host.
func (s *Set) Avoided(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, m := range s.members {
		if m.streak > 0 && now < m.avoid {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *member) learn(outcome Outcome, now time.Duration) {
	switch outcome {
	case Answered:
		m.streak = 0
		m.avoid = 0
		m.failing = m.aged(now) * (1 - failureStep)
		m.failedAt = now
	case Failed, Full:
		m.failing = m.aged(now) + failureStep*(1-m.aged(now))
		m.failedAt = now
	case Unreachable:
		m.failing = m.aged(now) + failureStep*(1-m.aged(now))
		m.failedAt = now
		wait := min(avoidBase<<min(m.streak, 4), avoidMost)
		m.streak++
		m.avoid = now + wait
	case Abandoned:
	}
}
