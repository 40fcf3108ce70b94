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
	pool          *pool            // nil while the engine gets no new work
	index         [Classes + 1]int // in the rota of each class
	unseen        []ownStart
	reported      ByClass
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
	class  Class
	tokens uint64
}

// maxUnseen bounds the own starts kept apart for each engine.
const maxUnseen = 256

// pool holds the engines of one model that get new work.
type pool struct {
	rotas    [Classes + 1]rota // by class
	homes    *homes
	byClass  ByClass // sums over all engines
	capacity uint64
}

func newPool() *pool {
	p := &pool{homes: newHomes()}
	for class := range p.rotas {
		p.rotas[class].class = Class(class)
	}
	return p
}

// engines returns the engines of the pool in no order.
func (p *pool) engines() []*engine {
	return p.rotas[0].engines
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
		e.reported = classesOf(report)
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

// classesOf sums the work that a report shows by class. Held memory belongs to
// prompts over several engines.
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

// OwnerFree takes in the free memory that the owner of the engine stated in its
// last answer. It is newer than any report.
func (s *Set) OwnerFree(name upstream.Name, free uint64) {
	if e := s.engines[name]; e != nil {
		e.load.QueuedTokens = 0
		e.load.UsedTokens = saturatingSub(e.load.CapacityTokens, free+e.load.UnseenTokens)
	}
}

func saturatingSub(a, b uint64) uint64 {
	return a - min(a, b)
}

// Started records that own work of the given size was sent to an engine.
func (s *Set) Started(now time.Time, name upstream.Name, class Class, tokens uint64) {
	e := s.engines[name]
	if e == nil {
		return
	}
	s.update(e, func() {
		e.load.OwnTokens += tokens
		e.load.OwnRequests++
		if len(e.unseen) == maxUnseen {
			e.unseen = e.unseen[1:]
		}
		e.unseen = append(e.unseen, ownStart{now, class, tokens})
		e.dropSeen()
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

// dropSeen forgets the own starts that the last report holds and sums up the
// work by class.
func (e *engine) dropSeen() {
	kept := e.unseen[:0]
	e.load.UnseenTokens = 0
	e.load.ByClass = e.reported
	for _, start := range e.unseen {
		if start.at.After(e.load.AsOf) {
			kept = append(kept, start)
			e.load.UnseenTokens += start.tokens
			e.load.ByClass[start.class] += start.tokens
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
		p = newPool()
		s.pools[e.model] = p
	}
	e.pool = p
	for class := range p.rotas {
		p.rotas[class].add(e)
	}
	p.homes.add(e)
	p.count(e, 1)
}

func (s *Set) unplace(e *engine) {
	p := e.pool
	if p == nil {
		return
	}
	p.count(e, -1)
	for class := range p.rotas {
		p.rotas[class].remove(e)
	}
	p.homes.remove(e)
	e.pool = nil
	if len(p.engines()) == 0 {
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
	candidates = p.rotas[req.Class].draw(candidates, req, s.policy.Options.Samples, rng)
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
		p.rotas[req.Class].took(s.engines[picked[0]])
	}
	return picked
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
	loads := make([]Load, len(p.engines()))
	for i, e := range p.engines() {
		loads[i] = e.load
	}
	return loads
}
