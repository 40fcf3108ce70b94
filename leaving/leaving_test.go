package leaving

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestTimeIsKeptForOneToTwoWindows(t *testing.T) {
	var d Durations
	assert.Equal(t, d.Longest("a", 0), time.Duration(0))
	d.Record("a", 4*time.Second, time.Second)
	d.Record("a", time.Second, 2*time.Second)
	d.Record("b", 9*time.Second, 2*time.Second)
	assert.Equal(t, d.Longest("a", 20*time.Second), 4*time.Second)
	d.Record("a", 2*time.Second, 40*time.Second)
	assert.Equal(t, d.Longest("a", 45*time.Second), 4*time.Second)
	assert.Equal(t, d.Longest("a", 62*time.Second), 2*time.Second)
	assert.Equal(t, d.Longest("a", 200*time.Second), time.Duration(0))
	d.Record("c", time.Second, 200*time.Second)
	assert.Equal(t, len(d.routes), 2, "a was asked for just now, b is forgotten")
}

// Plays planned stops: callers come until the balancer has noticed, some work for long, and
// requests differ in length. What is taken and ends after the grace period is cut.
func TestFewRequestsAreRefusedOrCutByAPlannedStop(t *testing.T) {
	const (
		rest     = 7700 * time.Millisecond // of the grace period, when the stop begins
		noticed  = 2 * time.Second         // until the balancer sends no more callers
		requests = 2000
	)
	for _, c := range []struct {
		name                  string
		longest, limit        time.Duration
		known                 bool
		mostRefused, mostCuts float64 // shares
	}{
		{"short work, known", 60 * time.Millisecond, 10 * time.Second, true, 0, 0},
		{"short work, its deadline fits", 60 * time.Millisecond, 1500 * time.Millisecond, false, 0, 0},
		{"streams of seconds, known", 3500 * time.Millisecond, 10 * time.Second, true, 0, 0},
		{"work that can't end, known", 9 * time.Second, 15 * time.Second, true, 1, 0},
		{"work of unknown length", 3500 * time.Millisecond, 10 * time.Second, false, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			length := func() time.Duration { return c.longest/2 + time.Duration(rng.Int64N(int64(c.longest/2))) }
			var d Durations
			for n := range 200 {
				if c.known {
					d.Record("route", length(), time.Duration(n)*100*time.Millisecond)
				}
			}
			refused, cut := 0, 0
			for range requests {
				left := rest - time.Duration(rng.Int64N(int64(noticed)))
				r := Request{Limit: c.limit, Usual: d.Longest("route", 20*time.Second)}
				switch took := length(); {
				case !r.Fits(left):
					refused++
				case took > left:
					cut++
				}
			}
			assert.Assert(t, float64(refused) <= c.mostRefused*requests, "%d refused", refused)
			assert.Assert(t, float64(cut) <= c.mostCuts*requests, "%d cut", cut)
		})
	}
}

func TestOnlyRepeatableRequestsOfUnknownLengthAreRisked(t *testing.T) {
	assert.Equal(t, Request{Limit: 10 * time.Second, Repeatable: true}.Fits(5*time.Second), true)
	assert.Equal(t, Request{Limit: 10 * time.Second}.Fits(5*time.Second), false)
	assert.Equal(t, Request{Limit: 10 * time.Second, Usual: 4 * time.Second, Repeatable: true}.Fits(5*time.Second), false)
}
