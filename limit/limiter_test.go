package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	testTeam  = "team-a"
	testTick  = 500 * time.Millisecond
	testHosts = 4
	maxTokens = 3000 // of one request
)

var testRate = TeamRate{TokensPerSecond: 1000, BurstTokens: 2000}

// simulation drives the limiters of a few hosts. A record reaches every
// running host after any delay up to PropagationTime, in any order of hosts.
type simulation struct {
	options  Options
	now      time.Time
	limiters [testHosts]*Limiter
	records  [testHosts][]usageRecord // by host, oldest first
	admitted float64
	restarts int
}

type usageRecord struct {
	at    time.Time
	usage []*peerv1.TeamUsage
}

func newSimulation() *simulation {
	w := &simulation{options: DefaultOptions(), now: epoch}
	for i := range w.limiters {
		w.startHost(i)
	}
	return w
}

func (w *simulation) startHost(i int) {
	w.limiters[i] = NewLimiter(w.options, testHosts)
	for j := range w.limiters {
		if usage, ok := w.usageAt(j, w.now); ok && j != i {
			w.limiters[i].SetPeerUsage(ident.Host(fmt.Sprint(j)), usage)
		}
	}
}

// tick advances the time: each running host advertises its usage, and receives
// the newest record of each other host that is older than the drawn delay.
func (w *simulation) tick(t *rapid.T) {
	w.now = w.now.Add(testTick)
	for i, l := range w.limiters {
		if l != nil {
			w.records[i] = append(w.records[i], usageRecord{w.now, l.Usage(w.now, 10)})
		}
	}
	for i, l := range w.limiters {
		for j := range w.limiters {
			if l == nil || i == j {
				continue
			}
			delay := time.Duration(rapid.Int64Range(0, int64(w.options.PropagationTime-testTick)).Draw(t, "delay"))
			if usage, ok := w.usageAt(j, w.now.Add(-delay)); ok {
				l.SetPeerUsage(ident.Host(fmt.Sprint(j)), usage)
			}
		}
	}
}

// usageAt returns the usage in the newest record of a host at the given time.
func (w *simulation) usageAt(host int, at time.Time) ([]*peerv1.TeamUsage, bool) {
	records := w.records[host]
	for i := len(records) - 1; i >= 0; i-- {
		if !records[i].at.After(at) {
			return records[i].usage, true
		}
	}
	return nil, false
}

func (w *simulation) request(i int, tokens uint64) {
	if l := w.limiters[i]; l != nil {
		if ok, _ := l.Allow(w.now, testTeam, testRate, tokens); ok {
			w.admitted += float64(tokens)
		}
	}
}

// maxAdmitted returns the most tokens that all hosts together may have admitted
// by now. A restarted host has no records and a full bucket of its even share.
func (w *simulation) maxAdmitted() float64 {
	seconds := w.now.Sub(epoch).Seconds()
	requests := float64((testHosts + w.restarts) * maxTokens)
	return testRate.TokensPerSecond*seconds + testRate.BurstTokens*float64(1+w.restarts) + requests
}

// Guards against a sum of rates over the limit while demand moves between hosts,
// hosts crash and restart without state, and records are delayed.
func TestTeamRateIsEnforcedAcrossHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		host := rapid.IntRange(0, testHosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				i := host.Draw(t, "host")
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					for range 4 {
						w.request(i, rapid.Uint64Range(1, maxTokens).Draw(t, "tokens"))
					}
					w.tick(t)
				}
			},
			"demand everywhere": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					for i := range w.limiters {
						w.request(i, 300)
					}
					w.tick(t)
				}
			},
			"die": func(t *rapid.T) { w.limiters[host.Draw(t, "host")] = nil },
			"return": func(t *rapid.T) {
				if i := host.Draw(t, "host"); w.limiters[i] == nil {
					w.startHost(i)
					w.restarts++
				}
			},
			"": func(t *rapid.T) {
				assert.Assert(t, w.admitted <= w.maxAdmitted(), "admitted %f, at most %f", w.admitted, w.maxAdmitted())
				var sum float64
				for _, l := range w.limiters {
					if l != nil {
						sum += l.Rate(w.now, testTeam, testRate)
					}
				}
				assert.Assert(t, sum <= testRate.TokensPerSecond*1.000001, "rates add up to %f", sum)
			},
		})
	})
}

// A team that sends through a single host gets most of its rate there, and one
// that sends through all hosts gets most of it in total.
func TestShareFollowsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		for range 60 {
			w.request(0, 1000)
			w.tick(t)
		}
		rate := w.limiters[0].Rate(w.now, testTeam, testRate)
		assert.Assert(t, rate > 0.8*testRate.TokensPerSecond, "rate %f", rate)
		w = newSimulation()
		for range 60 {
			for i := range w.limiters {
				w.request(i, 250)
			}
			w.tick(t)
		}
		var sum float64
		for _, l := range w.limiters {
			sum += l.Rate(w.now, testTeam, testRate)
		}
		assert.Assert(t, sum > 0.8*testRate.TokensPerSecond, "sum of rates %f", sum)
	})
}

func TestIdleTeamIsDeletedOnlyWithAFullBucket(t *testing.T) {
	l := NewLimiter(DefaultOptions(), 1)
	rate := TeamRate{TokensPerSecond: 1, BurstTokens: 10}
	ok, _ := l.Allow(epoch, testTeam, rate, 1000)
	assert.Assert(t, ok)
	ok, wait := l.Allow(epoch, testTeam, rate, 1)
	assert.Assert(t, !ok)
	assert.Assert(t, wait > 900*time.Second)
	l.Usage(epoch.Add(2*DefaultOptions().IdleTime), 10)
	assert.Equal(t, l.Teams(), 1)
	l.Usage(epoch.Add(2000*time.Second), 10)
	assert.Equal(t, l.Teams(), 0)
}

func BenchmarkAllow(b *testing.B) {
	for _, teams := range []int{10, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := NewLimiter(DefaultOptions(), 700)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
			}
			rate := TeamRate{TokensPerSecond: 1e6, BurstTokens: 1e6}
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				l.Allow(now, names[i%teams], rate, 10)
			}
		})
	}
}
