package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/directory"
	"github.com/citronscale/citronscale/gang"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/limit"
	"github.com/citronscale/citronscale/retry"
	"github.com/citronscale/citronscale/settings"
	"github.com/citronscale/citronscale/upstream"
)

// placement holds what decides where a completion goes. All fields below the
// mutex belong to it.
type placement struct {
	self     lease.Holder
	options  settings.Placement
	picker   balancer.Picker // nil for the policy of the set
	wakeups  chan struct{}   // holds one signal: capacity may have become free
	mu       sync.Mutex
	rng      *rand.Rand
	set      *balancer.Set
	book     *lease.Book
	owners   map[upstream.Name]*lease.Owner
	asking   map[lease.Line]chan struct{} // closed when the request of the line is answered
	limiter  *limit.Limiter
	budget   *retry.Budget
	policy   retry.Policy
	queues   map[string]*modelQueue
	estimate runEstimate
}

func newPlacement(self lease.Holder, s *settings.Settings, now time.Time) (*placement, error) {
	seed := uint64(self.Incarnation)
	p := &placement{
		self:    self,
		options: s.Placement,
		wakeups: make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		set:     balancer.NewSet(s.Host.FailureDomain, balancer.DefaultOptions()),
		book:    lease.NewBook(lease.DefaultBookOptions(), self),
		owners:  make(map[upstream.Name]*lease.Owner),
		asking:  make(map[lease.Line]chan struct{}),
		limiter: limit.NewLimiter(limit.DefaultOptions(), 1),
		budget:  retry.NewBudget(retry.DefaultBudgetOptions(), now),
		policy:  retry.DefaultPolicy(),
		queues:  make(map[string]*modelQueue),
	}
	if s.Placement.Policy == settings.DefaultPolicy {
		return p, nil
	}
	picker, err := balancer.NewPicker(s.Placement.Policy, s.Host.FailureDomain)
	if err != nil {
		return nil, code.Wrap(err, code.SettingsInvalid)
	}
	p.picker = picker
	return p, nil
}

// placed is the right to send a completion to an engine.
type placed struct {
	upstream upstream.Name
	gang     *gang.Placement // set if the prompt is spread over several engines
	release  func()          // gives the right back; may be called more than once
}

// candidates returns the engines to try, best first.
func (p *placement) candidates(request *balancer.Request) []upstream.Name {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker != nil {
		return p.picker.Pick(time.Now(), request, p.set.Loads(request.Model), p.rng)
	}
	return p.set.Pick(time.Now(), request, p.rng)
}

// take admits the request to the first engine whose lease has room.
func (p *placement) take(request *balancer.Request, names []upstream.Name) (*placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		permit, ok := p.book.Take(now, lease.Line{Engine: name, Class: request.Class}, request.Memory())
		if ok {
			return p.admit(now, request, permit), true
		}
	}
	return nil, false
}

// force admits the request to an engine whose owner can't be reached, if the
// last known load leaves room. The engine's own admission is the limit.
func (p *placement) force(request *balancer.Request, name upstream.Name) (*placed, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load, ok := p.set.Load(name)
	if !ok || load.Leaving || load.Failed {
		return nil, false
	}
	used := load.UsedTokens + load.QueuedTokens + load.UnseenTokens
	if p.options.Leases && load.CapacityTokens > 0 && used+request.Memory() > load.CapacityTokens {
		return nil, false
	}
	permit := p.book.Force(lease.Line{Engine: name, Class: request.Class}, request.Memory())
	return p.admit(time.Now(), request, permit), true
}

// admit counts work that was given a permit. The caller holds the lock.
func (p *placement) admit(now time.Time, request *balancer.Request, permit lease.Permit) *placed {
	name := permit.Line.Engine
	p.set.Started(now, name, request.Class, request.Memory())
	release := sync.OnceFunc(func() {
		p.mu.Lock()
		p.set.Finished(name, permit.Tokens)
		p.book.Return(permit)
		p.mu.Unlock()
		p.wake()
	})
	return &placed{upstream: name, release: release}
}

// wake tells the queues that capacity may have become free.
func (p *placement) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// leased returns the tokens that this host lends on an engine it owns.
func (p *placement) leased(name upstream.Name) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, ok := p.owners[name]
	if !ok {
		return 0
	}
	return owner.Charged()
}

// noteChanges takes new states of upstreams over.
func (p *placement) noteChanges(changes []directory.Change, d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, change := range changes {
		status, ok := d.Status(change.Name)
		if !ok {
			p.set.Remove(change.Name)
			continue
		}
		if status.Info.Kind != upstream.KindEngine {
			continue
		}
		p.set.Put(&status.Info)
		p.set.SetLeaving(change.Name, status.State == stateLeaving)
		p.set.SetFailed(change.Name, status.State == stateDown)
	}
}

// putEngines takes the engines of the directory over.
func (p *placement) putEngines(engines []directory.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range engines {
		p.set.Put(&engines[i].Info)
	}
}

// placeCompletion returns an engine with room for the request. It fails once
// the queue time or the deadline has passed. Before it waits it calls queued.
func (h *Host) placeCompletion(ctx context.Context, request *balancer.Request, queued func(reason string)) (*placed, error) {
	if h.placement.needsGang(request, h.fleetPolicy().ShortShare) {
		return h.placeGang(ctx, request)
	}
	if !h.settings.Placement.FairQueue || !h.placement.queued(request) {
		if p, err := h.tryPlace(ctx, request); p != nil || err != nil {
			return p, err
		}
	}
	queued("no engine has room")
	return h.waitForPlace(ctx, request)
}

// tryPlace looks for room once: in the leases held, then at the owners of the
// candidates. It returns nil without error if there is no room now.
func (h *Host) tryPlace(ctx context.Context, request *balancer.Request) (*placed, error) {
	names := h.placement.candidates(request)
	if len(names) == 0 {
		return nil, code.New(code.UpstreamUnavailable, "model %q has no usable engine", request.Model)
	}
	if !h.settings.Placement.Leases {
		p, _ := h.placement.force(request, names[0])
		return p, nil
	}
	if p, ok := h.placement.take(request, names); ok {
		return p, nil
	}
	for _, name := range names {
		reached := h.askOwner(ctx, lease.Line{Engine: name, Class: request.Class}, request.Memory())
		if p, ok := h.placement.take(request, names); ok {
			return p, nil
		}
		if reached {
			continue
		}
		if p, ok := h.placement.force(request, name); ok {
			return p, nil
		}
	}
	return nil, nil
}

// askWhole makes a request ask for all memory of an engine that may be lent. It
// counts as short, because only the short class may use all.
func (p *placement) askWhole(request *balancer.Request, name upstream.Name, capacityShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load, _ := p.set.Load(name)
	whole := lendable(load.CapacityTokens, capacityShare)
	if whole > request.Memory() {
		request.ReserveTokens += uint32(whole - request.Memory())
	}
	request.Class = balancer.ClassShort
}

// lendable returns the memory of an engine that its owner may lend.
func lendable(capacityTokens uint64, capacityShare float64) uint64 {
	return uint64(capacityShare * float64(capacityTokens))
}
