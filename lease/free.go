package lease

import (
	"math"
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// maxWaitEstimate bounds the estimate given while nothing drains.
const maxWaitEstimate = time.Minute

// free returns the tokens that a class could be lent.
func (o *Owner) free(class balancer.Class) uint64 {
	free := saturatingSub(o.report.CapacityTokens, o.charged)
	if class == balancer.ClassShort {
		return free
	}
	return saturatingSub(free, saturatingSub(o.shortReserve(), o.chargedShort))
}

// shortReserve returns the tokens that only short requests may use now. The
// part of their share that they did not need lately is lent out.
func (o *Owner) shortReserve() uint64 {
	capacity := float64(o.report.CapacityTokens)
	reserve := max(o.short.recent, o.options.ShortFloor*capacity)
	return uint64(min(reserve, o.options.ShortShare*capacity))
}

// available returns the tokens that may be lent to key now.
func (o *Owner) available(now time.Time, key accountKey) uint64 {
	if now.Sub(o.report.AsOf) > o.options.MaxReportAge || o.report.Leaving {
		return 0
	}
	free := o.free(key.class)
	if o.Settling(now) {
		return uint64(o.options.SettleShare * float64(free))
	}
	if !o.unmet.holdsBack(now, key, o.options.Patience) {
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

// demand remembers the largest recent value of a quantity and lets it decay.
type demand struct {
	recent   float64
	observed time.Time
}

// observe takes a value into account that holds now.
func (d *demand) observe(now time.Time, value uint64, halfLife time.Duration) {
	elapsed := now.Sub(d.observed)
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	d.recent = max(d.recent*decay, float64(value))
	d.observed = now
}

// unmetNeed is the oldest request that could not be granted. After a while it
// holds back others, so that a large need is met although small ones come
// all the time.
type unmetNeed struct {
	key    accountKey
	tokens uint64
	since  time.Time
	until  time.Time // the holder has to ask again before
}

func (u *unmetNeed) note(now time.Time, key accountKey, tokens uint64, keep time.Duration) {
	if u.tokens > 0 && u.key != key && now.Before(u.until) {
		return
	}
	if u.key != key || !now.Before(u.until) {
		u.since = now
	}
	u.key = key
	u.tokens = tokens
	u.until = now.Add(keep)
}

func (u *unmetNeed) met(key accountKey) {
	if u.key == key {
		*u = unmetNeed{}
	}
}

func (u *unmetNeed) holdsBack(now time.Time, key accountKey, patience time.Duration) bool {
	return u.tokens > 0 && u.key != key && now.Before(u.until) && now.Sub(u.since) > patience
}
