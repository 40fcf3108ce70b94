package strike

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testRegistry() *PartRegistry {
	return NewPartRegistry(DefaultPartOptions(rand.New(rand.NewPCG(1, 1))))
}

// drawEvidence draws evidence with times up to now.
func drawEvidence(t *rapid.T, now time.Duration) Evidence {
	id := rapid.Uint64Range(1, 8)
	at := rapid.Custom(func(t *rapid.T) time.Duration {
		return now - time.Duration(rapid.IntRange(0, 20).Draw(t, "age"))*time.Second/2
	})
	var e Evidence
	for n := range rapid.IntRange(0, 6).Draw(t, "losses") {
		e.Losses = append(e.Losses, Loss{
			Engine: uint32(100*len(e.Losses) + n), At: at.Draw(t, "loss"),
			Request: Request{Content: 100 + id.Draw(t, "content"), Parts: rapid.SliceOfN(id, 1, 4).Draw(t, "parts")},
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "starts") {
		e.Starts = append(e.Starts, Start{id.Draw(t, "started"), at.Draw(t, "start")})
	}
	e.LatestStart = at.Draw(t, "latest")
	return e
}

// Hosts must come to the same refusals whatever the order in which they hear, and how
// often.
func TestOrderAndRepetitionOfEvidenceDoNotMatter(t *testing.T) {
	const now = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		losses := drawEvidence(t, now)
		starts := Evidence{Starts: losses.Starts, LatestStart: losses.LatestStart}
		losses.Starts = nil
		a, b := testRegistry(), testRegistry()
		a.Merge(now, losses)
		a.Merge(now, starts)
		for i := range losses.Losses {
			one := losses.Losses[len(losses.Losses)-1-i]
			b.Merge(now, Evidence{Losses: []Loss{one}})
			b.Merge(now, Evidence{Losses: []Loss{one}})
			b.Merge(now, starts)
		}
		b.Merge(now, losses)
		assert.DeepEqual(t, a.Quarantines(now), b.Quarantines(now))
	})
}

func TestNewEvidenceIsToldOnce(t *testing.T) {
	const now = time.Minute
	loss := Loss{Engine: 1, At: now, Request: Request{Content: 9, Parts: []uint64{1, 2}}}
	a, b := testRegistry(), testRegistry()
	a.Started(now-time.Second, Request{Content: 8, Parts: []uint64{1, 3}})
	e := b.Lost(now, loss)
	assert.Equal(t, len(e.Losses), 1)
	told := a.Merge(now, e)
	assert.Equal(t, len(told.Losses), 1)
	assert.DeepEqual(t, told.Starts, []Start{{1, now - time.Second}}) // it was sound before
	again := a.Merge(now, e)
	assert.Assert(t, again.Empty())
	started := a.Started(now+time.Second, Request{Content: 7, Parts: []uint64{1, 4}})
	assert.DeepEqual(t, started.Starts, []Start{{1, now + time.Second}}) // it is cleared
	started = a.Started(now+2*time.Second, Request{Content: 6, Parts: []uint64{1, 5}})
	assert.Assert(t, started.Empty())
}

// Callers can make up parts without end.
func TestMemoryOfEvidenceIsBounded(t *testing.T) {
	r := testRegistry()
	now := time.Minute
	for n := range uint64(20000) {
		now += time.Millisecond
		request := Request{Content: 3 * n, Parts: []uint64{3*n + 1, 3*n + 2}}
		if n%4 == 0 {
			r.Lost(now, Loss{Engine: uint32(n), At: now, Request: request})
		} else {
			r.Started(now, request)
		}
	}
	options := r.options
	assert.Assert(t, len(r.losses) <= options.MaxLosses)
	assert.Assert(t, len(r.starts.entries) <= options.MaxStarts && r.starts.order.Len() <= options.MaxStarts)
	assert.Assert(t, len(r.cleared) <= 3*options.MaxLosses)
	now += options.Memory
	r.Merge(now, Evidence{})
	assert.Equal(t, len(r.losses)+len(r.cleared), 0)
}

// A request that is repeated crashes engines also where its parts tell nothing.
func TestRepeatedRequestThatCrashesEnginesIsRefused(t *testing.T) {
	r := testRegistry()
	now := time.Minute
	bad := Request{Content: 7}
	crashes := 0
	for r.Judge(now, bad) == nil {
		assert.Assert(t, crashes < 6)
		crashes++
		r.Lost(now, Loss{Engine: uint32(crashes), At: now, Request: bad})
		now += time.Second
	}
	assert.Equal(t, crashes, crashesOfOneRequest)
	assert.Assert(t, r.Judge(now, Request{Content: 8}) == nil)
}
