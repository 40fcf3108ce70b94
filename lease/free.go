package lease

import (
	"math"
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// maxWaitEstimate bounds the wait estimate while no tokens are being freed.
const maxWaitEstimate = time.Minute

// free returns the tokens that could be granted to a class.
func (o *Owner) free(class balancer.Class) uint64 {
	free := saturatingSub(o.report.CapacityTokens, o.charged)
	if class == balancer.ClassShort {
		return free
	}
	return saturatingSub(free, saturatingSub(o.shortReserve(), o.chargedShort))
}

// shortReserve returns the tokens that only short requests may use now. The part
// of ShortShare that they did not need recently is available to all classes.
func (o *Owner) shortReserve() uint64 {
	capacity := float64(o.report.CapacityTokens)
	reserve := max(o.short.peak, o.options.ShortFloor*capacity)
	return uint64(min(reserve, o.options.ShortShare*capacity))
}

// available returns the tokens that may be granted to key now.
func (o *Owner) available(now time.Time, key accountKey) uint64 {
	if now.Sub(o.report.AsOf) > o.options.MaxReportAge || o.report.Leaving {
		return 0
	}
	free := o.free(key.class)
	if o.Settling(now) {
		return uint64(o.options.SettleShare * float64(free))
	}
	if !o.unmet.blocks(now, key, o.options.StarvationDelay) {
		return free
	}
	if key.class == balancer.ClassShort {
		return min(free, saturatingSub(uint64(o.options.ShortShare*float64(o.report.CapacityTokens)), o.chargedShort))
	}
	return saturatingSub(free, o.unmet.tokens)
}

func saturatingSub(a, b uint64) uint64 {
	return a - min(a, b)
}

// demand is the largest recent value of a quantity, with exponential decay.
type demand struct {
	peak     float64
	observed time.Time
}

// observe adds the current value.
func (d *demand) observe(now time.Time, value uint64, halfLife time.Duration) {
	elapsed := now.Sub(d.observed)
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	d.peak = max(d.peak*decay, float64(value))
	d.observed = now
}

// unmetRequest is the oldest request that could not be granted. Once it is older
// than StarvationDelay it blocks others, so that a steady flow of small requests
// does not starve a large one.
type unmetRequest struct {
	key    accountKey
	tokens uint64
	since  time.Time
	until  time.Time // dropped then, unless the holder repeats the request
}

func (u *unmetRequest) record(now time.Time, key accountKey, tokens uint64, validity time.Duration) {
	if u.tokens > 0 && u.key != key && now.Before(u.until) {
		return
	}
	if u.key != key || !now.Before(u.until) {
		u.since = now
	}
	u.key = key
	u.tokens = tokens
	u.until = now.Add(validity)
}

func (u *unmetRequest) resolve(key accountKey) {
	if u.key == key {
		*u = unmetRequest{}
	}
}

func (u *unmetRequest) blocks(now time.Time, key accountKey, delay time.Duration) bool {
	return u.tokens > 0 && u.key != key && now.Before(u.until) && now.Sub(u.since) > delay
}
