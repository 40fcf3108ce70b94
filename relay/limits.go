package relay

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/throttle"
)

// limitKey returns the key of an upstream in announcements between hosts.
func limitKey(id string) uint32 {
	return uint32(EngineKey(id))
}

// recordLimit records the rate that an answer names.
func (s *Server) recordLimit(upstream fleet.Upstream, answer Answer) {
	rate := throttle.Rate{Limited: answer.Limited, PerSecond: answer.Limit, NamedAt: boottime.Now()}
	if !s.limits.Named(limitKey(upstream.ID), rate) {
		return
	}
	s.peers.StreamProgressed()
	e := event.UpstreamUnlimited
	if answer.Limited {
		e = event.UpstreamLimited
	}
	s.log.Emit(e).Str("upstream", upstream.ID).Str("service", upstream.Service).Float64("rate", answer.Limit).Msg("")
}

// limitError refuses a request because all upstreams are at the rate that they name, or
// that they may get while they are cold, or rest.
type limitError struct {
	error
	wait time.Duration // until the first of them takes another request
}

func (e *limitError) Unwrap() error { return e.error }

func newLimitError(upstreams int, wait time.Duration) error {
	return &limitError{
		code.New(code.UpstreamLimit, "none of %d upstreams takes a request by the rates that they name or may get while they are cold, the first one does in %v", upstreams, wait), wait,
	}
}

// withinLimits returns the upstreams that take a request now. It fails if none does
// because of the rates that they name.
func (s *Server) withinLimits(views []fleet.View, now time.Duration) ([]fleet.View, error) {
	s.noteCold(views, now)
	free := slices.DeleteFunc(slices.Clone(views), func(v fleet.View) bool { return s.limits.Wait(limitKey(v.ID), now) > 0 })
	if wait, limited := s.shortestWait(views, now); len(free) == 0 && limited {
		return nil, newLimitError(len(views), wait)
	}
	preferred := slices.DeleteFunc(slices.Clone(free), func(v fleet.View) bool { return s.limits.Defers(limitKey(v.ID), now) })
	if len(preferred) > 0 {
		return preferred, nil
	}
	return free, nil
}

// decide is place.Decide. It uses the cold engines that the host defers only if no others
// have room.
func (x *exchange) decide(costs *costmodel.Costs, engines []place.Engine, request place.Request, now time.Duration) (place.Plan, bool) {
	seed := withRand(x.s, func(rng *rand.Rand) uint64 { return rng.Uint64() })
	if !x.s.limits.AnyCold() {
		return place.Decide(costs, engines, request, rand.New(rand.NewPCG(seed, 0)))
	}
	preferred := slices.Clone(engines)
	deferred := false
	for i := range preferred {
		if e := &preferred[i]; e.Limited && !e.AtLimit && x.s.limits.Defers(uint32(e.Key), now) {
			e.AtLimit, deferred = true, true
		}
	}
	plan, ok := place.Decide(costs, preferred, request, rand.New(rand.NewPCG(seed, 0)))
	if ok || !deferred {
		return plan, ok
	}
	return place.Decide(costs, engines, request, rand.New(rand.NewPCG(seed, 0)))
}

// noteCold tells the book of limits which upstreams are cold.
func (s *Server) noteCold(views []fleet.View, now time.Duration) {
	known := s.limits.AnyCold()
	for i := range views {
		if v := &views[i]; v.ColdPerSecond > 0 && (known || v.ColdUntil > now) {
			s.limits.Cold(limitKey(v.ID), v.ColdPerSecond, v.ColdUntil, now)
		}
	}
}

// takeBack undoes that a request counts, if it was for a process that is no longer there.
func (x *exchange) takeBack(upstream fleet.Upstream, status int) {
	if status == http.StatusMisdirectedRequest {
		x.s.limits.TakeBack(limitKey(upstream.ID), x.limitedAt, boottime.Now())
	}
}

// shortestWait returns the time until the first of the upstreams that are at the rate that
// they name takes a request, and whether there is such an upstream.
func (s *Server) shortestWait(views []fleet.View, now time.Duration) (shortest time.Duration, limited bool) {
	for i := range views {
		wait := s.limits.Wait(limitKey(views[i].ID), now)
		if wait > 0 && (!limited || wait < shortest) {
			shortest, limited = wait, true
		}
	}
	return shortest, limited
}

// awaitLimit waits until an upstream takes another request, if the answer can still be in
// time then, and reports whether to try again. Longer waits would only let requests queue
// that are late in the end.
func (x *exchange) awaitLimit(reason error) bool {
	var limited *limitError
	if !errors.As(reason, &limited) {
		return false
	}
	left := min(x.arrived+x.route.Goal-boottime.Now(), x.timeLeft()-minAttemptTime)
	delay := withRand(x.s, func(rng *rand.Rand) time.Duration {
		d, ok := throttle.Delay(limited.wait, left, rng)
		if !ok {
			return -1
		}
		return d
	})
	x.rested = x.rested || delay >= 0 && code.Of(reason) == code.UpstreamResting
	return delay >= 0 && ctxtime.Sleep(x.ctx, delay)
}

// retryAfterLimit returns the delay after which a caller should retry: when an upstream
// takes another request, and a random time, so that the callers don't return together.
func (s *Server) retryAfterLimit(limited *limitError) time.Duration {
	jitter := withRand(s, func(rng *rand.Rand) int64 { return rng.Int64N(int64(retryAfterMin)) })
	return (limited.wait + time.Duration(jitter)).Round(time.Millisecond)
}

// LimitEntry is the form in dumps of an upstream that names a rate, or that is cold.
type LimitEntry struct {
	Upstream  string        `json:"upstream"`
	PerSecond float64       `json:"per_second"`
	Cold      bool          `json:"cold"`
	Requests  int           `json:"requests"` // of all hosts in the last four seconds, as far as known; in the last second if it is cold
	Wait      time.Duration `json:"wait_ns"`  // until it takes another one
}

// Limits returns the upstreams that name a rate or are cold, for dumps.
func (s *Server) Limits(now time.Duration) []LimitEntry {
	list := []LimitEntry{}
	for _, id := range s.upstreams.IDs() {
		key := limitKey(id)
		if rate, requests := s.limits.Rate(key, now); rate.Limited {
			list = append(list, LimitEntry{Upstream: id, PerSecond: rate.PerSecond, Requests: requests, Wait: s.limits.Wait(key, now)})
		} else if rate, requests, cold := s.limits.ColdRequests(key, now); cold {
			list = append(list, LimitEntry{Upstream: id, PerSecond: rate, Cold: true, Requests: requests, Wait: s.limits.Wait(key, now)})
		}
	}
	return list
}
