// Package leaving decides which requests a host takes while it is being stopped.
//
// It answers the load of a planned stop: callers keep coming until the balancer has noticed
// that the host isn't ready, and what is still in flight at the end of the grace period is
// cut. A request that can't be expected to end before is better sent to another host: the
// refusal costs its caller one more try, and a cut leaves open whether it has run. All
// others are taken, because a refusal costs each caller of a host that is still listed a try.
//
// The package has no I/O and no clock.
package leaving

import (
	"sync"
	"time"
)

// Request is what is known of a request during a planned stop.
type Request struct {
	// Limit is the time after which the request ends in any case, at its deadline.
	Limit time.Duration
	// Usual is the longest time that requests of its route took lately, 0 if none ended.
	Usual time.Duration
	// Repeatable tells that the request may run again if it is cut.
	Repeatable bool
}

// usualMargin multiplies the longest recent time: requests of a route differ.
const usualMargin = 1.5

// Fits reports whether the request can be expected to end within the rest of the grace
// period. Without a recent request of its route, only one that may be repeated is risked.
func (r Request) Fits(rest time.Duration) bool {
	switch {
	case r.Limit <= rest:
		return true
	case r.Usual > 0:
		return time.Duration(usualMargin*float64(r.Usual)) <= rest
	default:
		return r.Repeatable
	}
}

// windowLength is the time for which the longest request is kept at least.
const windowLength = 30 * time.Second

// Durations holds the longest recent time of the requests of each route. It is safe for
// concurrent use; its zero value is empty.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*window
}

// window holds the longest times of the current window and of the one before.
type window struct {
	began           time.Duration
	longest, before time.Duration
}

// Record records that a request of a route ended, at the time now on a steady clock.
func (d *Durations) Record(route string, took, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]*window{}
	}
	w, ok := d.routes[route]
	if !ok {
		d.forgetOld(now)
		w = &window{began: now}
		d.routes[route] = w
	}
	w.turn(now)
	w.longest = max(w.longest, took)
}

// Longest returns the longest recent time of a route, 0 if it had no request.
func (d *Durations) Longest(route string, now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.routes[route]
	if !ok {
		return 0
	}
	w.turn(now)
	return max(w.longest, w.before)
}

// forgetOld removes routes without recent requests, which may no longer exist.
func (d *Durations) forgetOld(now time.Duration) {
	for name, w := range d.routes {
		if now-w.began >= 2*windowLength {
			delete(d.routes, name)
		}
	}
}

func (w *window) turn(now time.Duration) {
	switch age := now - w.began; {
	case age >= 2*windowLength:
		*w = window{began: now}
	case age >= windowLength:
		*w = window{began: w.began + windowLength, before: w.longest}
	}
}
