package rate

import (
	"math"
	"time"
)

// halfLife is the time after which the weight of an event has halved.
const halfLife = 5 * time.Second

func decay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

// Demand estimates a rate over all time, busy or idle. The zero value is ready for
// use.
type Demand struct {
	perSecond float64
	updated   time.Time
}

// Add records an event of the given amount.
func (d *Demand) Add(now time.Time, amount float64) {
	d.perSecond = d.PerSecond(now) + amount*math.Ln2/halfLife.Seconds()
	d.updated = now
}

// PerSecond returns the recent rate.
func (d *Demand) PerSecond(now time.Time) float64 {
	if d.updated.IsZero() {
		return 0
	}
	return d.perSecond * decay(now.Sub(d.updated))
}

// minBusy is the busy time that a Drain needs before it estimates a rate.
const minBusy = 50 * time.Millisecond

// Drain estimates the rate at which a backlog drains; idle time, without a
// backlog, does not lower the rate. The zero value is ready for use.
type Drain struct {
	amount  float64
	seconds float64
	updated time.Time
}

// Advance moves the estimate to now. It adds the time since the last call to the
// busy time if busy is true.
func (d *Drain) Advance(now time.Time, busy bool) {
	elapsed := now.Sub(d.updated)
	if busy && !d.updated.IsZero() && elapsed > 0 {
		fade := decay(elapsed)
		d.amount *= fade
		d.seconds = d.seconds*fade + elapsed.Seconds()
	}
	if elapsed > 0 {
		d.updated = now
	}
}

// Add records that the given amount has drained.
func (d *Drain) Add(amount float64) {
	d.amount += amount
}

// Time estimates how long an amount takes to drain, at most limit. It returns
// zero while the rate is unknown.
func (d *Drain) Time(amount float64, limit time.Duration) time.Duration {
	if amount <= 0 || d.seconds < minBusy.Seconds() {
		return 0
	}
	if d.amount <= 0 {
		return min(time.Duration(d.seconds*float64(time.Second)), limit) // at least as long again
	}
	seconds := min(amount*d.seconds/d.amount, limit.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
