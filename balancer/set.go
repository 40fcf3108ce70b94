package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronscale/citronscale/upstream"
)

// Set is the load of all engines as known to one host, indexed for decisions.
type Set struct {
	policy  CostAware
	engines map[upstream.Name]*engine
	pools   map[string]*pool // by model
	cached  *simplelru.LRU[uint64, []cachedPrefix]
}

// engine is one entry of a Set.
type engine struct {
	load            Load
	model           string
	hash            uint64
	pool            *pool            // nil while the engine gets no new work
	index           [Classes + 1]int // position in the rotation of each class
	unreported      []unreportedStart
	reported        ByClass
	incarnation     uint64
	cacheSequence   uint64
	cacheEpoch      uint64
	listLeaving     bool // according to the host list
	reportedLeaving bool // reported by the engine or its owner
	unloaded        bool // the engine has no model version loaded
}

// unreportedStart is work sent by this host after the last report was taken.
type unreportedStart struct {
	at     time.Time
	class  Class
	tokens uint64
}

// maxUnreported is the largest number of unreported starts kept for each engine.
const maxUnreported = 256

// pool holds the engines of one model that accept new work.
type pool struct {
	rotations [Classes + 1]rotation // by class
	homes     *homes
	byClass   ByClass // sums over all engines
	capacity  uint64
}

func newPool() *pool {
	p := &pool{homes: newHomes()}
	for class := range p.rotations {
		p.rotations[class].class = Class(class)
	}
	return p
}

// engines returns the engines of the pool in unspecified order.
func (p *pool) engines() []*engine {
	return p.rotations[0].engines
}

// NewSet returns an empty set for a host in the given failure domain.
func NewSet(ownDomain string, options Options) *Set {
	cached, err := simplelru.NewLRU[uint64, []cachedPrefix](maxCachedDigests, nil)
	if err != nil {
		panic("balancer: " + err.Error()) // only if the size is not positive
	}
	return &Set{
		policy:  CostAware{OwnDomain: ownDomain, Options: options},
		engines: make(map[upstream.Name]*engine),
		pools:   make(map[string]*pool),
		cached:  cached,
	}
}

// Put adds an engine or updates it from the host list.
func (s *Set) Put(info *upstream.Info) {
	e := s.engines[info.Name]
	if e == nil {
		e = &engine{model: info.Model, hash: nameHash(info.Name)}
		e.load.Name = info.Name
		s.engines[info.Name] = e
	}
	e.load.FailureDomain = info.FailureDomain
	e.listLeaving = info.Leaving
	s.updatePool(e)
}

// Remove removes an engine.
func (s *Set) Remove(name upstream.Name) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.removeFromPool(e)
	e.cacheEpoch++
	delete(s.engines, name)
}

// SetFailed sets whether an engine counts as failed, because it does not answer
// or is struck.
func (s *Set) SetFailed(name upstream.Name, failed bool) {
	if e := s.engines[name]; e != nil {
		e.load.Failed = failed
		s.updatePool(e)
	}
}

// SetLeaving sets whether the owner of the engine reports it as leaving. The next
// report of the engine overrides the value.
func (s *Set) SetLeaving(name upstream.Name, leaving bool) {
	if e := s.engines[name]; e != nil {
		e.reportedLeaving = leaving
		s.updatePool(e)
	}
}

// Report applies a load report and its cache events.
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
		e.reported = classesOf(report)
		e.dropReported()
	})
	e.reportedLeaving = report.Leaving
	e.unloaded = report.Version == ""
	if report.Model != "" && report.Model != e.model {
		s.removeFromPool(e)
		e.model = report.Model
	}
	s.updatePool(e)
}

// classesOf sums the work in a report by class. Held memory belongs to prompts
// that span several engines.
func classesOf(report *upstream.Report) ByClass {
	var sums ByClass
	for _, work := range report.Running {
		sums[ClassOfPriority(work.Priority)] += uint64(work.Tokens)
	}
	for _, work := range report.Waiting {
		sums[ClassOfPriority(work.Priority)] += uint64(work.Tokens)
	}
	for _, work := range report.Held {
		sums[ClassLong] += uint64(work.Tokens)
	}
	return sums
}

func waitingTokens(report *upstream.Report) uint64 {
	var sum uint64
	for _, work := range report.Waiting {
		sum += uint64(work.Tokens)
	}
	return sum
}

// SetFreeTokens applies the free memory that the engine's owner stated in its last
// response, which is newer than any report.
func (s *Set) SetFreeTokens(name upstream.Name, free uint64) {
	if e := s.engines[name]; e != nil {
		e.load.QueuedTokens = 0
		e.load.UsedTokens = saturatingSub(e.load.CapacityTokens, free+e.load.UnreportedTokens)
	}
}

func saturatingSub(a, b uint64) uint64 {
	return a - min(a, b)
}

// Started records that this host sent work of the given size to an engine.
func (s *Set) Started(now time.Time, name upstream.Name, class Class, tokens uint64) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.update(e, func() {
		e.load.OwnTokens += tokens
		e.load.OwnRequests++
		if len(e.unreported) == maxUnreported {
			e.unreported = e.unreported[1:]
		}
		e.unreported = append(e.unreported, unreportedStart{now, class, tokens})
		e.dropReported()
	})
}

// Finished records that work of this host on an engine has ended.
func (s *Set) Finished(name upstream.Name, tokens uint64) {
	e := s.engines[name]
	if e == nil || e.load.OwnRequests == 0 {
		return
	}
	e.load.OwnTokens -= min(tokens, e.load.OwnTokens)
	e.load.OwnRequests--
}

// dropReported removes the starts that the last report includes and recomputes the
// work by class.
func (e *engine) dropReported() {
	kept := e.unreported[:0]
	e.load.UnreportedTokens = 0
	e.load.ByClass = e.reported
	for _, start := range e.unreported {
		if start.at.After(e.load.AsOf) {
			kept = append(kept, start)
			e.load.UnreportedTokens += start.tokens
			e.load.ByClass[start.class] += start.tokens
		}
	}
	e.unreported = kept
}

// updatePool adds an engine to the pool of its model, or removes it if it accepts
// no new work.
func (s *Set) updatePool(e *engine) {
	e.load.Leaving = e.listLeaving || e.reportedLeaving
	if e.load.Leaving || e.load.Failed || e.unloaded {
		s.removeFromPool(e)
		return
	}
	if e.pool != nil {
		return
	}
	p := s.pools[e.model]
	if p == nil {
		p = newPool()
		s.pools[e.model] = p
	}
	e.pool = p
	for class := range p.rotations {
		p.rotations[class].add(e)
	}
	p.homes.add(e)
	p.count(e, 1)
}

func (s *Set) removeFromPool(e *engine) {
	p := e.pool
	if p == nil {
		return
	}
	p.count(e, -1)
	for class := range p.rotations {
		p.rotations[class].remove(e)
	}
	p.homes.remove(e)
	e.pool = nil
	if len(p.engines()) == 0 {
		delete(s.pools, e.model)
	}
}

// update changes the load of an engine and keeps the sums of its pool consistent.
func (s *Set) update(e *engine, change func()) {
	if e.pool != nil {
		e.pool.count(e, -1)
		defer e.pool.count(e, 1)
	}
	change()
}

// count adds the load of an engine to the sums, or subtracts it if sign is
// negative.
func (p *pool) count(e *engine, sign int) {
	if sign < 0 {
		p.byClass.subtract(&e.load.ByClass)
		p.capacity -= e.load.CapacityTokens
		return
	}
	p.byClass.add(&e.load.ByClass)
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
	candidates = p.rotations[req.Class].draw(candidates, req, s.policy.Options.Samples, rng)
	if digest, ok := affinityDigest(req); ok {
		if home := p.homes.lookup(digest); home.load.usable(req) {
			candidates = addCandidate(candidates, candidate{load: &home.load, affinity: true})
		}
		holders, tokens := s.longestCached(req)
		for _, holder := range holders {
			candidates = addCandidate(candidates, candidate{load: &holder.load, cached: tokens})
		}
	}
	mean := p.byClass.ahead(req.Class) / float64(max(p.capacity, 1))
	picked := s.policy.order(req, mean, candidates)
	if len(picked) > 0 {
		p.rotations[req.Class].recordPick(s.engines[picked[0]])
	}
	return picked
}

// Load returns the load of an engine.
func (s *Set) Load(name upstream.Name) (Load, bool) {
	if e := s.engines[name]; e != nil {
		return e.load, true
	}
	return Load{}, false
}

// Loads returns the loads of the engines of a model that accept new work, in
// unspecified order.
func (s *Set) Loads(model string) []Load {
	p := s.pools[model]
	if p == nil {
		return nil
	}
	loads := make([]Load, len(p.engines()))
	for i, e := range p.engines() {
		loads[i] = e.load
	}
	return loads
}
