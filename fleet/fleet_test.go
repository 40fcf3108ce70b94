package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/fleet"
)

func newSet(ids ...string) *fleet.Set {
	s := fleet.NewSet()
	for _, id := range ids {
		s.Put(fleet.Upstream{ID: id, Service: "app", Address: "127.0.0.1:1", Slots: 6})
	}
	return s
}

// countChoices returns how often each upstream is chosen in 1000 calls of Choose.
func countChoices(s *fleet.Set, now time.Duration, tried ...string) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 1000 {
		if v, ok := fleet.Choose(s.ForService("app", now), "a", tried, rng); ok {
			counts[v.ID]++
		}
	}
	return counts
}

func TestEqualUpstreamsShareTheRequests(t *testing.T) {
	counts := countChoices(newSet("i-1", "i-2", "i-3"), 0)
	for id, n := range counts {
		assert.Assert(t, n > 200, "%s got %d of 1000", id, n)
	}
}

// An upstream that failed must get requests again after its failures have aged.
func TestFailingUpstreamIsNotChosenUntilItsFailureRateDecays(t *testing.T) {
	s := newSet("i-1", "i-2")
	for range 3 {
		s.Begin("i-1")
		s.End("i-1", fleet.Failed, time.Second)
	}
	assert.Equal(t, countChoices(s, time.Second)["i-1"], 0)
	assert.Assert(t, countChoices(s, 30*time.Second)["i-1"] > 200)
}

func TestUnreachableUpstreamIsAvoidedTemporarily(t *testing.T) {
	s := newSet("i-1")
	s.Begin("i-1")
	s.End("i-1", fleet.Unreachable, time.Second)
	assert.Assert(t, s.ForService("app", time.Second)[0].Avoided)
	assert.DeepEqual(t, s.Avoided(time.Second), []string{"i-1"})
	assert.Assert(t, !s.ForService("app", 3*time.Second)[0].Avoided)
}

func TestLoadedUpstreamIsNotChosen(t *testing.T) {
	s := newSet("i-1", "i-2")
	for range 4 {
		s.Begin("i-1")
	}
	assert.Equal(t, countChoices(s, 0)["i-1"], 0)
}

func TestTriedUpstreamIsNotChosenAgain(t *testing.T) {
	s := newSet("i-1", "i-2")
	assert.Equal(t, countChoices(s, 0, "i-1")["i-2"], 1000)
	assert.Equal(t, len(countChoices(s, 0, "i-1", "i-2")), 0)
}

func TestDrainingAndRemovedUpstreamsAreNotListed(t *testing.T) {
	s := newSet("i-1", "i-2")
	assert.Assert(t, s.Put(fleet.Upstream{ID: "i-1", Service: "app", Address: "127.0.0.1:1", Draining: true}))
	assert.Assert(t, s.Remove("i-2"))
	assert.Equal(t, len(s.ForService("app", 0)), 0)
	assert.Assert(t, !s.Usable("i-1"))
}

// Guards against an upstream that is avoided for the failures of the process that had its
// identifier before.
func TestNewProcessWithTheSameIdentifierStartsWithoutFailures(t *testing.T) {
	u := fleet.Upstream{ID: "i-1", Service: "app", Address: "127.0.0.1:1", Slots: 6, Started: 1}
	s := fleet.NewSet()
	s.Put(u)
	s.Begin("i-1")
	s.Begin("i-1")
	s.End("i-1", fleet.Unreachable, time.Second)
	u.WarmUp = time.Second
	s.Put(u)
	assert.Equal(t, s.ForService("app", time.Second)[0].Avoided, true, "the same process")
	u.Started = 2
	s.Put(u)
	view := s.ForService("app", time.Second)[0]
	assert.Equal(t, view.Avoided, false)
	assert.Equal(t, view.FailureRate, 0.0)
	assert.Equal(t, view.InFlight, 1)
}
