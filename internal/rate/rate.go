package rate

import (
	"math"
	"time"
)

// halfLife is the time in which a measure forgets half of what it saw.
const halfLife = 5 * time.Second

func decay(elapsed time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

// Demand measures a rate over all time. The zero value is ready for use.
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

// minBusy is the time for which a Drain must have been busy to give a rate.
const minBusy = 50 * time.Millisecond

// Drain measures the rate at which something drains while there is something to
// drain; idle time does not lower it. The zero value is ready for use.
type Drain struct {
	amount  float64
	seconds float64
	updated time.Time
}

// Advance tells whether there was something to drain since the last call.
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

// Add records that an amount drained.
func (d *Drain) Add(amount float64) {
	d.amount += amount
}

// Time estimates how long an amount takes to drain, at most limit. It returns
// zero while the rate is not known.
func (d *Drain) Time(amount float64, limit time.Duration) time.Duration {
	if amount <= 0 || d.seconds < minBusy.Seconds() {
		return 0
	}
	if d.amount <= 0 {
		return limit
	}
	seconds := min(amount*d.seconds/d.amount, limit.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
