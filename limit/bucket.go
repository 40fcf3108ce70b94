package limit

import (
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/rate"
)

// peerDemand is what the other hosts advertise for one team, in tokens per second.
type peerDemand map[ident.Host]float64

// bucket is the token bucket of one team on one host.
type bucket struct {
	limit   TeamRate // over all hosts, as given with the newest request
	level   float64  // tokens; negative after a request larger than the bucket
	size    float64  // tokens
	perSec  float64
	filled  bool // level was set for the first time
	updated time.Time
	active  time.Time // of the newest request
	demand  rate.Demand
	own     window
}

func newBucket(now time.Time) *bucket {
	return &bucket{updated: now, active: now, own: window{start: now}}
}

// share returns the part of the rate of the team that this host may use.
func (b *bucket) share(now time.Time, limit TeamRate, peers peerDemand, hosts int, options *Options) float64 {
	even := options.EvenWeight * limit.TokensPerSecond / float64(hosts)
	own := b.own.smallest(now, options.Spread) + even
	total := own + even*float64(hosts-1)
	for _, demand := range peers {
		total += demand
	}
	return own / total
}

// refill adds the tokens of the time since the last call, at the lower of the
// rates then and now, and cuts the bucket to its present size.
func (b *bucket) refill(now time.Time, share float64) {
	perSec := b.limit.TokensPerSecond * share
	b.size = b.limit.BurstTokens * share
	if !b.filled {
		b.filled = true
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

// window keeps the smallest value that held at any time within the last period
// of a given length, and at most twice that length. The value was zero before
// the window started.
type window struct {
	start   time.Time // of the current period
	last    float64
	current float64 // smallest of the current period
	former  float64 // smallest of the period before
}

func (w *window) observe(now time.Time, length time.Duration, value float64) {
	w.turn(now, length)
	w.last = value
	w.current = min(w.current, value)
}

// turn starts a new period if the current one is over.
func (w *window) turn(now time.Time, length time.Duration) {
	elapsed := now.Sub(w.start)
	if elapsed < length {
		return
	}
	w.former = w.current
	if elapsed >= 2*length {
		w.former = w.last
	}
	w.current = w.last
	w.start = now
}

func (w *window) smallest(now time.Time, length time.Duration) float64 {
	w.turn(now, length)
	return min(w.current, w.former)
}
