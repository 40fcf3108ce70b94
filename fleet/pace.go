package fleet

import (
	"math"
	"time"
)

const (
	// minPace is the least factor on the times of the fastest upstream of a service that
	// counts as slow.
	minPace = 2.0
	// callGain is the weight of a call in the mean of an upstream, and maxCallFactor the
	// most that one counts as a multiple of the usual time: a single late call stays below
	// minPace.
	callGain      = 0.3
	maxCallFactor = 4.0
	// usualGain is the weight of a call in the usual time of its route.
	usualGain = 0.05
	// minCalls is the number of calls after which the mean of an upstream counts.
	minCalls = 2
	// paceHalfLife is the time in which half of the difference to the usual time is
	// forgotten, so that a slow upstream gets a call again after some seconds.
	paceHalfLife = 2 * time.Second
	// maxRoutes bounds the routes whose usual time is kept.
	maxRoutes = 1024
)

// callTimes are the times of the recent calls of one upstream.
type callTimes struct {
	calls     int
	factor    float64 // mean on the usual times of their routes, at updatedAt
	updatedAt time.Duration
}

func (c *callTimes) decayed(now time.Duration) float64 {
	age := float64(now-c.updatedAt) / float64(paceHalfLife)
	return 1 + (c.factor-1)*math.Exp2(-max(age, 0))
}

// Took records the time of a call that an upstream has answered. Calls of one route are
// compared with each other only.
func (s *Set) Took(id, route string, took, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	if !ok || took <= 0 {
		return
	}
	key := m.upstream.Service + "\x00" + route
	usual, known := s.usual[key]
	if !known {
		if s.usual == nil || len(s.usual) >= maxRoutes {
			s.usual = map[string]float64{}
		}
		usual = float64(took)
	}
	factor := min(float64(took)/usual, maxCallFactor)
	s.usual[key] = usual * (1 + usualGain*(factor-1))
	if m.calls.calls == 0 {
		m.calls.factor = 1
	}
	m.calls.factor = m.calls.decayed(now) + callGain*(factor-m.calls.decayed(now))
	m.calls.calls++
	m.calls.updatedAt = now
}

// setPaces sets the paces of the views of a service from the means of their upstreams.
func (s *Set) setPaces(views []View, now time.Duration) {
	fastest := math.Inf(1)
	for i := range views {
		if m := s.members[views[i].ID]; m.calls.calls >= minCalls {
			fastest = min(fastest, m.calls.decayed(now))
		}
	}
	for i := range views {
		if m := s.members[views[i].ID]; m.calls.calls >= minCalls && m.calls.decayed(now) >= minPace*fastest {
			views[i].Pace = m.calls.decayed(now) / fastest
		}
	}
}
