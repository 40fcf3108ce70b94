package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronscale/citronscale/upstream"
)

// Set is what one host knows about all engines, indexed for decisions.
type Set struct {
	policy  CostAware
	engines map[upstream.Name]*engine
	pools   map[string]*pool // by model
	cached  *simplelru.LRU[uint64, []cachedPrefix]
}

// engine is one entry of a Set.
type engine struct {
	load          Load
	model         string
	hash          uint64
	pool          *pool // nil while the engine gets no new work
	index         int   // in pool.engines
	unseen        []ownStart
	incarnation   uint64
	cacheSequence uint64
	cacheEpoch    uint64
	listLeaving   bool // by the host list
	saysLeaving   bool // by the engine or the owner of its account
	unloaded      bool // the engine has no model version loaded
}

// ownStart is own work that the last report can't hold yet.
type ownStart struct {
	at     time.Time
	tokens uint64
}

// maxUnseen bounds the own starts kept apart for each engine.
const maxUnseen = 256

// pool holds the engines of one model that get new work.
type pool struct {
	engines  []*engine
	homes    *homes
	used     uint64 // sums over all engines
	capacity uint64
}

// NewSet returns an empty set for a host in the given failure domain.
func NewSet(ownDomain string, options Options) *Set {
	cached, err := simplelru.NewLRU[uint64, []cachedPrefix](maxCachedDigests, nil)
	if err != nil {
		panic("balancer: " + err.Error()) // only for a size below one
	}
	return &Set{
		policy:  CostAware{OwnDomain: ownDomain, Options: options},
		engines: make(map[upstream.Name]*engine),
		pools:   make(map[string]*pool),
		cached:  cached,
	}
}

// Put adds an engine or takes in what the host list says about it now.
func (s *Set) Put(info *upstream.Info) {
	e := s.engines[info.Name]
	if e == nil {
		e = &engine{model: info.Model, hash: nameHash(info.Name)}
		e.load.Name = info.Name
		s.engines[info.Name] = e
	}
	e.load.FailureDomain = info.FailureDomain
	e.listLeaving = info.Leaving
	s.place(e)
}

// Remove forgets an engine.
func (s *Set) Remove(name upstream.Name) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.unplace(e)
	e.cacheEpoch++
	delete(s.engines, name)
}

// SetFailed marks an engine that does not answer, or is struck, or takes the
// mark back.
func (s *Set) SetFailed(name upstream.Name, failed bool) {
	if e := s.engines[name]; e != nil {
		e.load.Failed = failed
		s.place(e)
	}
}

// SetLeaving marks an engine of which the owner of its account says that it is
// leaving. The next report of the engine overrides the mark.
func (s *Set) SetLeaving(name upstream.Name, leaving bool) {
	if e := s.engines[name]; e != nil {
		e.saysLeaving = leaving
		s.place(e)
	}
}

// Report takes in a load report and its cache events.
func (s *Set) Report(report *upstream.Report) {
	e := s.engines[report.Name]
	if e == nil {
		return
	}
	if report.Incarnation != e.incarnation {
		e.incarnation = report.Incarnation
		e.cacheEpoch++
		e.cacheSequence = 0
	}
	s.applyCacheEvents(e, report.CacheEvents)
	if report.AsOf.Before(e.load.AsOf) {
		return
	}
	s.update(e, func() {
		e.load.CapacityTokens = report.CapacityTokens
		e.load.UsedTokens = report.UsedTokens
		e.load.QueuedTokens = waitingTokens(report)
		e.load.AsOf = report.AsOf
		e.dropSeen()
	})
	e.saysLeaving = report.Leaving
	e.unloaded = report.Version == ""
	if report.Model != "" && report.Model != e.model {
		s.unplace(e)
		e.model = report.Model
	}
	s.place(e)
}

func waitingTokens(report *upstream.Report) uint64 {
	var sum uint64
	for _, work := range report.Waiting {
		sum += uint64(work.Tokens)
	}
	return sum
}

// OwnerFree takes in the free tokens that the owner of the engine stated in its
// last answer. It is newer than any report.
func (s *Set) OwnerFree(now time.Time, name upstream.Name, free uint64) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.update(e, func() {
		e.load.QueuedTokens = 0
		e.load.UsedTokens = e.load.CapacityTokens - min(free, e.load.CapacityTokens)
		e.load.AsOf = now
		e.dropSeen()
	})
}

// SetLeased sets the tokens that the host holds on an engine without using them.
func (s *Set) SetLeased(name upstream.Name, tokens uint64) {
	if e := s.engines[name]; e != nil {
		e.load.LeasedFree = tokens
	}
}

// Started records that own work of the given size was sent to an engine.
func (s *Set) Started(now time.Time, name upstream.Name, tokens uint64) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.update(e, func() {
		e.load.OwnTokens += tokens
		e.load.OwnRequests++
		e.load.UnseenTokens += tokens
		if len(e.unseen) == maxUnseen {
			e.unseen[maxUnseen-1].tokens += tokens
			e.unseen[maxUnseen-1].at = now
			return
		}
		e.unseen = append(e.unseen, ownStart{now, tokens})
	})
}

// Finished records that own work has left an engine.
func (s *Set) Finished(name upstream.Name, tokens uint64) {
	e := s.engines[name]
	if e == nil || e.load.OwnRequests == 0 {
		return
	}
	e.load.OwnTokens -= min(tokens, e.load.OwnTokens)
	e.load.OwnRequests--
}

// dropSeen forgets the own starts that the last report holds.
func (e *engine) dropSeen() {
	kept := e.unseen[:0]
	e.load.UnseenTokens = 0
	for _, start := range e.unseen {
		if start.at.After(e.load.AsOf) {
			kept = append(kept, start)
			e.load.UnseenTokens += start.tokens
		}
	}
	e.unseen = kept
}

// place puts an engine into the pool of its model, or takes it out if it gets
// no new work.
func (s *Set) place(e *engine) {
	e.load.Leaving = e.listLeaving || e.saysLeaving
	if e.load.Leaving || e.load.Failed || e.unloaded {
		s.unplace(e)
		return
	}
	if e.pool != nil {
		return
	}
	p := s.pools[e.model]
	if p == nil {
		p = &pool{homes: newHomes()}
		s.pools[e.model] = p
	}
	e.pool = p
	e.index = len(p.engines)
	p.engines = append(p.engines, e)
	p.homes.add(e)
	p.count(e, 1)
}

func (s *Set) unplace(e *engine) {
	p := e.pool
	if p == nil {
		return
	}
	p.count(e, -1)
	last := len(p.engines) - 1
	p.engines[e.index] = p.engines[last]
	p.engines[e.index].index = e.index
	p.engines = p.engines[:last]
	p.homes.remove(e)
	e.pool = nil
	if last == 0 {
		delete(s.pools, e.model)
	}
}

// update changes the load of an engine and keeps the sums of its pool.
func (s *Set) update(e *engine, change func()) {
	if e.pool != nil {
		e.pool.count(e, -1)
		defer e.pool.count(e, 1)
	}
	change()
}

// count adds or subtracts the load of an engine.
func (p *pool) count(e *engine, sign int) {
	used := e.load.UsedTokens + e.load.QueuedTokens + e.load.UnseenTokens
	if sign < 0 {
		p.used -= used
		p.capacity -= e.load.CapacityTokens
		return
	}
	p.used += used
	p.capacity += e.load.CapacityTokens
}

// Pick returns the engines to try for a request, best first. It returns none if
// no engine of the model may be used.
func (s *Set) Pick(_ time.Time, req *Request, rng *rand.Rand) []upstream.Name {
	p := s.pools[req.Model]
	if p == nil {
		return nil
	}
	candidates := make([]candidate, 0, s.policy.Options.Samples+maxEnginesPerHash+1)
	candidates = p.draw(candidates, req, s.policy.Options.Samples, rng)
	if digest, ok := affinityDigest(req); ok {
		if home := p.homes.lookup(digest); home.load.usable(req) {
			candidates = addCandidate(candidates, candidate{load: &home.load, affinity: true})
		}
		holders, tokens := s.longestCached(req)
		for _, holder := range holders {
			candidates = addCandidate(candidates, candidate{load: &holder.load, cached: tokens})
		}
	}
	mean := float64(p.used) / float64(max(p.capacity, 1))
	return s.policy.order(req, mean, candidates)
}

// draw appends up to n engines drawn at random. It scans the pool only if
// the request avoids most of it.
func (p *pool) draw(candidates []candidate, req *Request, n int, rng *rand.Rand) []candidate {
	for range sampleTries * n {
		if len(candidates) == n {
			return candidates
		}
		if e := p.engines[rng.IntN(len(p.engines))]; e.load.usable(req) {
			candidates = addCandidate(candidates, candidate{load: &e.load})
		}
	}
	for _, e := range p.engines {
		if len(candidates) == n {
			return candidates
		}
		if e.load.usable(req) {
			candidates = addCandidate(candidates, candidate{load: &e.load})
		}
	}
	return candidates
}

// Load returns what is known about an engine.
func (s *Set) Load(name upstream.Name) (Load, bool) {
	if e := s.engines[name]; e != nil {
		return e.load, true
	}
	return Load{}, false
}

// Loads returns the engines of a model that get new work, in no order.
func (s *Set) Loads(model string) []Load {
	p := s.pools[model]
	if p == nil {
		return nil
	}
	loads := make([]Load, len(p.engines))
	for i, e := range p.engines {
		loads[i] = e.load
	}
	return loads
}
