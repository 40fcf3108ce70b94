package balancer

import (
	"slices"

	"github.com/citronscale/citronscale/upstream"
)

// homeSlots is the number of slots of a homes table. With more engines than
// slots, some engines are the home of no prefix.
const homeSlots = 1 << 14

// homes maps prefix digests to engines by rendezvous hashing. It stores the
// engine of each slot, so that a lookup takes constant time at any fleet size;
// an engine that joins or leaves moves only the slots that it wins or had.
type homes struct {
	engines []*engine
	winners []*engine // by slot
	weights []uint64  // of the winners
}

func newHomes() *homes {
	return &homes{winners: make([]*engine, homeSlots), weights: make([]uint64, homeSlots)}
}

func (h *homes) lookup(digest uint64) *engine {
	return h.winners[mix(digest)%homeSlots]
}

func (h *homes) add(e *engine) {
	h.engines = append(h.engines, e)
	for slot := range h.winners {
		h.offer(slot, e)
	}
}

func (h *homes) remove(e *engine) {
	at := slices.Index(h.engines, e)
	if at < 0 {
		return
	}
	h.engines = slices.Delete(h.engines, at, at+1)
	for slot, winner := range h.winners {
		if winner != e {
			continue
		}
		h.winners[slot] = nil
		h.weights[slot] = 0
		for _, remaining := range h.engines {
			h.offer(slot, remaining)
		}
	}
}

// offer makes e the winner of a slot if its weight is the largest.
func (h *homes) offer(slot int, e *engine) {
	weight := mix(uint64(slot)*slotFactor ^ e.hash)
	if h.winners[slot] == nil || weight > h.weights[slot] {
		h.winners[slot] = e
		h.weights[slot] = weight
	}
}

// slotFactor spreads slot numbers over all bits.
const slotFactor = 0x9e3779b97f4a7c15

// Limits of the index of cached prefixes in a Set.
const (
	maxCachedDigests  = 1 << 16
	maxEnginesPerHash = 4
)

// cachedPrefix is an engine that reported a prefix in its cache. The entry
// is valid while the cache epoch of the engine is unchanged.
type cachedPrefix struct {
	engine *engine
	epoch  uint64
}

// applyCacheEvents applies the cache events of one report. After a gap in the
// sequence evictions may have been missed, so all earlier entries of the engine
// become invalid.
func (s *Set) applyCacheEvents(e *engine, events []upstream.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= e.cacheSequence {
			continue
		}
		if event.Sequence != e.cacheSequence+1 {
			e.cacheEpoch++
		}
		e.cacheSequence = event.Sequence
		if event.Evicted {
			s.removeCachedPrefix(e, event.Digest)
		} else {
			s.addCachedPrefix(e, event.Digest)
		}
	}
}

func (s *Set) addCachedPrefix(e *engine, digest uint64) {
	list, _ := s.cached.Get(digest)
	kept := make([]cachedPrefix, 0, maxEnginesPerHash)
	kept = append(kept, cachedPrefix{e, e.cacheEpoch})
	for _, c := range list {
		if c.engine != e && c.engine.cacheEpoch == c.epoch && len(kept) < maxEnginesPerHash {
			kept = append(kept, c)
		}
	}
	s.cached.Add(digest, kept)
}

func (s *Set) removeCachedPrefix(e *engine, digest uint64) {
	list, ok := s.cached.Peek(digest)
	if !ok {
		return
	}
	list = slices.DeleteFunc(slices.Clone(list), func(c cachedPrefix) bool { return c.engine == e })
	if len(list) == 0 {
		s.cached.Remove(digest)
		return
	}
	s.cached.Add(digest, list)
}

// longestCached returns the usable engines that cache the longest known prefix
// of the prompt, and the length of that prefix in tokens.
func (s *Set) longestCached(req *Request) ([]*engine, uint64) {
	for i := len(req.PrefixDigests) - 1; i >= 0; i-- {
		list, ok := s.cached.Get(req.PrefixDigests[i])
		if !ok {
			continue
		}
		var holders []*engine
		for _, c := range list {
			if c.engine.cacheEpoch == c.epoch && c.engine.model == req.Model && c.engine.load.usable(req) {
				holders = append(holders, c.engine)
			}
		}
		if len(holders) > 0 {
			return holders, uint64(upstream.PrefixTokens(i))
		}
	}
	return nil, 0
}
