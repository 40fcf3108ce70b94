package limit

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/rate"
)

// peerDemand is the demand of one team that each other host advertises, in
// tokens per second.
type peerDemand map[ident.Host]float64

// bucket is the token bucket of one team on one host.
type bucket struct {
	limit       TeamRate // over all hosts; from the newest request
	level       float64  // tokens; negative after a request larger than the bucket
	size        float64  // tokens
	perSec      float64
	initialized bool // level is set
	updated     time.Time
	requestedAt time.Time // of the newest request
	demand      rate.Demand
	advertised  window // demand that this host advertised
}

func newBucket(now time.Time) *bucket {
	return &bucket{updated: now, requestedAt: now, advertised: window{start: now}}
}

// share returns the fraction of the team's rate that this host may use.
func (b *bucket) share(now time.Time, limit TeamRate, peers peerDemand, hosts int, options *Options) float64 {
	evenDemand := options.EvenFraction * limit.TokensPerSecond / float64(hosts)
	ownDemand := b.advertised.minimum(now, options.PropagationTime) + evenDemand
	total := ownDemand + evenDemand*float64(hosts-1)
	for _, demand := range peers {
		total += demand
	}
	return ownDemand / total
}

// refill adds the tokens that accrued since the last call, at the lower of the
// previous and the new rate, and caps the level at the new size.
func (b *bucket) refill(now time.Time, share float64) {
	perSec := b.limit.TokensPerSecond * share
	b.size = b.limit.BurstTokens * share
	if !b.initialized {
		b.initialized = true
		b.level = b.size
	} else if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += min(perSec, b.perSec) * elapsed.Seconds()
	}
	b.perSec = perSec
	b.level = min(b.level, b.size)
	if now.After(b.updated) {
		b.updated = now
	}
}

func (b *bucket) take(tokens float64) (bool, time.Duration) {
	missing := min(tokens, b.size) - b.level
	if missing > 0 {
		return false, time.Duration(missing / b.perSec * float64(time.Second))
	}
	b.level -= tokens
	return true, 0
}

// window keeps the minimum of a value over the current period and the one
// before it, that is over at least one and at most two period lengths. Before
// the window starts the value counts as zero.
type window struct {
	start    time.Time // of the current period
	newest   float64   // observed last
	current  float64   // minimum of the current period
	previous float64   // minimum of the previous period
}

func (w *window) observe(now time.Time, length time.Duration, value float64) {
	w.rotate(now, length)
	w.newest = value
	w.current = min(w.current, value)
}

// rotate starts a new period if the current one is over.
func (w *window) rotate(now time.Time, length time.Duration) {
	elapsed := now.Sub(w.start)
	if elapsed < length {
		return
	}
	w.previous = w.current
	if elapsed >= 2*length {
		w.previous = w.newest
	}
	w.current = w.newest
	w.start = now
}

func (w *window) minimum(now time.Time, length time.Duration) float64 {
	w.rotate(now, length)
	return min(w.current, w.previous)
}
