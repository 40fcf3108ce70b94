package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/citronscale/citronscale/costmodel"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/pace"
	"github.com/citronscale/citronscale/place"
)

// maxLoadAge is the age of the loads of engines up to which they serve for predictions.
// Deriving them costs about as much as a placement, which stores them as well.
const maxLoadAge = 100 * time.Millisecond

// loadCache holds the latest loads of the engines by their costs. It is safe for
// concurrent use.
type loadCache struct {
	mu    sync.Mutex
	loads map[*costmodel.Costs]agedLoads
}

type agedLoads struct {
	loads map[uint64]*place.Load
	at    time.Duration
}

func (c *loadCache) store(costs *costmodel.Costs, loads map[uint64]*place.Load, now time.Duration) {
	const unused = 10 * time.Second // each configuration has costs of its own
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = map[*costmodel.Costs]agedLoads{}
	}
	maps.DeleteFunc(c.loads, func(_ *costmodel.Costs, l agedLoads) bool { return now-l.at > unused })
	c.loads[costs] = agedLoads{loads, now}
}

func (c *loadCache) get(costs *costmodel.Costs, now time.Duration) (agedLoads, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.loads[costs]
	return l, ok && now-l.at <= maxLoadAge
}

// predict implements pace.Predict.
func (s *Server) predict(costs *costmodel.Costs, engine uint32, span time.Duration) pace.Expected {
	now := boottime.Now()
	l, ok := s.loads.get(costs, now)
	if !ok {
		l = agedLoads{place.Loads(costs, s.ledger.All(now), now), now}
		s.loads.store(costs, l.loads, now)
	}
	return pace.NewExpected(costs, l.loads[uint64(engine)], span, now-l.at)
}

// paceWatch follows the events of one attempt of a stream. Its methods do nothing if it is
// nil.
type paceWatch struct {
	s       *Server
	stream  *pace.Stream
	readAt  time.Duration // when the read of the next event began
	started bool
}

// watchPace follows a stream that was placed on an engine.
func (s *Server) watchPace(costs *costmodel.Costs, engine *place.Engine, plan place.Plan, now time.Duration) *paceWatch {
	first := costmodel.Millis(plan.First / max(engine.Pace, 1))
	if len(plan.Helpers) > 0 {
		first = 0 // the helpers may be late as well
	}
	w := &paceWatch{s: s, stream: s.paces.Begin(uint32(engine.Key), costs, first, now)}
	s.schedulePaceCheck()
	return w
}

// reading records that the next event is awaited from now on, after one that arrived at
// the given time was written to the caller, if any.
func (w *paceWatch) reading(now, arrived time.Duration) {
	if w == nil {
		return
	}
	w.readAt = now
	if arrived == 0 {
		arrived = now
	}
	w.stream.Reading(now - arrived)
}

func (w *paceWatch) event(now time.Duration) {
	if w == nil {
		return
	}
	complete := w.stream.Event(now, now-w.readAt)
	if !w.started {
		w.started = true
		w.s.paces.First(w.stream, w.s.predict, now)
	}
	if complete {
		w.s.paces.Span(w.stream, w.s.predict, now)
	}
}

func (w *paceWatch) end() {
	if w != nil {
		w.s.paces.End(w.stream)
	}
}

func (s *Server) schedulePaceCheck() {
	if s.checking.CompareAndSwap(false, true) {
		time.AfterFunc(pace.CheckInterval, s.checkPaces)
	}
}

// checkPaces looks for silent engines, and tells of changes that this host has observed.
// It runs while streams are followed or an engine is slow.
func (s *Server) checkPaces() {
	now := boottime.Now()
	changes := s.paces.Check(now, s.predict)
	if len(changes) > 0 {
		s.metrics.RelaySlowEngines(len(s.paces.Estimates(now)))
		s.logPaces(changes)
	}
	s.checking.Store(false)
	if !s.paces.Idle() {
		s.schedulePaceCheck()
	}
}

// logPaces logs the changes of engines that this host has observed itself: each host has
// streams on a few engines only, so the log doesn't grow with the fleet.
func (s *Server) logPaces(changes []pace.Change) {
	ids := s.engineIDs()
	own := false
	for _, change := range changes {
		if !change.Own {
			continue
		}
		own = true
		e := event.EngineAtSpeed
		if change.Slow {
			e = event.EngineSlow
		}
		s.log.Emit(e).Str("upstream", ids[change.Engine]).Float64("factor", change.Factor).Int("peers", change.Peers).Msg("")
	}
	if own {
		s.peers.StreamProgressed()
	}
}

// engineIDs returns the identifiers of the upstreams by their keys.
func (s *Server) engineIDs() map[uint32]string {
	ids := map[uint32]string{}
	for _, id := range s.upstreams.IDs() {
		ids[uint32(EngineKey(id))] = id
	}
	return ids
}

// PaceEntry is the form in dumps of an engine that is slow.
type PaceEntry struct {
	Upstream string        `json:"upstream"`
	Factor   float64       `json:"factor"` // of its times on the published ones
	Age      time.Duration `json:"age_ns"` // of the latest observation
	Own      bool          `json:"own"`    // this host has observed it
	Peers    int           `json:"peers"`  // that have
}

// Paces returns the engines that are slow, for dumps.
func (s *Server) Paces(now time.Duration) []PaceEntry {
	slow := s.paces.Estimates(now)
	list := []PaceEntry{}
	for _, id := range s.upstreams.IDs() {
		if e, ok := slow[uint32(EngineKey(id))]; ok {
			list = append(list, PaceEntry{Upstream: id, Factor: e.Factor, Age: e.Age, Own: e.Own, Peers: e.Peers})
		}
	}
	return list
}
