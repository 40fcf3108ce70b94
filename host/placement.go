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

// placement holds the state that selects the engine of a completion. The mutex
// guards all fields below it.
type placement struct {
	self          lease.Holder
	options       settings.Placement
	picker        balancer.Picker // nil for the default policy of engineSet
	capacityFreed chan struct{}   // buffers one signal that capacity may have become free
	mu            sync.Mutex
	rng           *rand.Rand
	engineSet     *balancer.Set
	leases        *lease.Table
	owners        map[upstream.Name]*lease.Owner
	leaseCalls    map[lease.Key]chan struct{} // lease requests in flight; closed on the response
	limiter       *limit.Limiter
	retryBudget   *retry.Budget
	retryPolicy   retry.Policy
	queues        map[string]*modelQueue
	estimate      durationEstimate
}

func newPlacement(self lease.Holder, s *settings.Settings, now time.Time) (*placement, error) {
	seed := uint64(self.Incarnation)
	p := &placement{
		self:          self,
		options:       s.Placement,
		capacityFreed: make(chan struct{}, 1),
		rng:           rand.New(rand.NewPCG(seed, seed)),
		engineSet:     balancer.NewSet(s.Host.FailureDomain, balancer.DefaultOptions()),
		leases:        lease.NewTable(lease.DefaultTableOptions(), self),
		owners:        make(map[upstream.Name]*lease.Owner),
		leaseCalls:    make(map[lease.Key]chan struct{}),
		limiter:       limit.NewLimiter(limit.DefaultOptions(), 1),
		retryBudget:   retry.NewBudget(retry.DefaultBudgetOptions(), now),
		retryPolicy:   retry.DefaultPolicy(),
		queues:        make(map[string]*modelQueue),
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

// assignment is capacity held on an engine for one completion.
type assignment struct {
	upstream upstream.Name
	gang     *gang.Placement // set if the prompt is spread over several engines
	release  func()          // frees the capacity; may be called more than once
}

// candidates returns the engines to try, best first.
func (p *placement) candidates(request *balancer.Request) []upstream.Name {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker != nil {
		return p.picker.Pick(time.Now(), request, p.engineSet.Loads(request.Model), p.rng)
	}
	return p.engineSet.Pick(time.Now(), request, p.rng)
}

// take admits the request to the first engine whose lease covers it.
func (p *placement) take(request *balancer.Request, names []upstream.Name) (*assignment, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		permit, ok := p.leases.Take(now, lease.Key{Engine: name, Class: request.Class}, request.Memory())
		if ok {
			return p.admit(now, request, permit), true
		}
	}
	return nil, false
}

// takeUnleased admits the request to an engine without a lease, if its owner
// can't be reached or leases are disabled. With leases enabled, the last known
// load must leave enough capacity. The engine's own admission is the limit.
func (p *placement) takeUnleased(request *balancer.Request, name upstream.Name) (*assignment, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load, ok := p.engineSet.Load(name)
	if !ok || load.Leaving || load.Failed {
		return nil, false
	}
	used := load.UsedTokens + load.QueuedTokens + load.UnreportedTokens
	if p.options.Leases && load.CapacityTokens > 0 && used+request.Memory() > load.CapacityTokens {
		return nil, false
	}
	permit := p.leases.TakeUnleased(lease.Key{Engine: name, Class: request.Class}, request.Memory())
	return p.admit(time.Now(), request, permit), true
}

// admit adds the request to the load of the permit's engine. The caller holds
// the lock.
func (p *placement) admit(now time.Time, request *balancer.Request, permit lease.Permit) *assignment {
	name := permit.Key.Engine
	p.engineSet.Started(now, name, request.Class, request.Memory())
	release := sync.OnceFunc(func() {
		p.mu.Lock()
		p.engineSet.Finished(name, permit.Tokens)
		p.leases.Return(permit)
		p.mu.Unlock()
		p.signalCapacity()
	})
	return &assignment{upstream: name, release: release}
}

// signalCapacity signals the queues that capacity may have become free.
func (p *placement) signalCapacity() {
	select {
	case p.capacityFreed <- struct{}{}:
	default:
	}
}

// leasedTokens returns the tokens that this host has leased out on an engine
// that it owns.
func (p *placement) leasedTokens(name upstream.Name) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, ok := p.owners[name]
	if !ok {
		return 0
	}
	return owner.Charged()
}

// applyChanges applies state changes of engines.
func (p *placement) applyChanges(changes []directory.Change, d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, change := range changes {
		status, ok := d.Status(change.Name)
		if !ok {
			p.engineSet.Remove(change.Name)
			continue
		}
		if status.Info.Kind != upstream.KindEngine {
			continue
		}
		p.engineSet.Put(&status.Info)
		p.engineSet.SetLeaving(change.Name, status.State == stateLeaving)
		p.engineSet.SetFailed(change.Name, status.State == stateDown)
	}
}

// putEngines adds or updates the given engines.
func (p *placement) putEngines(engines []directory.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range engines {
		p.engineSet.Put(&engines[i].Info)
	}
}

// placeCompletion returns capacity for the request. It fails once the queue
// time or the deadline has passed. Before it waits in the queue, it calls
// onQueued.
func (h *Host) placeCompletion(ctx context.Context, request *balancer.Request, onQueued func(reason string)) (*assignment, error) {
	if h.placement.needsGang(request, h.fleetPolicy().ShortShare) {
		return h.placeGang(ctx, request)
	}
	if !h.settings.Placement.FairQueue || !h.placement.mustQueue(request) {
		if p, err := h.tryPlace(ctx, request); p != nil || err != nil {
			return p, err
		}
	}
	onQueued("no engine has enough free capacity")
	return h.waitForCapacity(ctx, request)
}

// tryPlace looks for capacity once: in the leases held, then at the owners of
// the candidates. It returns nil without an error if there is none now.
func (h *Host) tryPlace(ctx context.Context, request *balancer.Request) (*assignment, error) {
	names := h.placement.candidates(request)
	if len(names) == 0 {
		return nil, code.New(code.UpstreamUnavailable, "model %q has no usable engine", request.Model)
	}
	if !h.settings.Placement.Leases {
		p, _ := h.placement.takeUnleased(request, names[0])
		return p, nil
	}
	if p, ok := h.placement.take(request, names); ok {
		return p, nil
	}
	for _, name := range names {
		reached := h.requestLease(ctx, lease.Key{Engine: name, Class: request.Class}, request.Memory())
		if p, ok := h.placement.take(request, names); ok {
			return p, nil
		}
		if reached {
			continue
		}
		if p, ok := h.placement.takeUnleased(request, name); ok {
			return p, nil
		}
	}
	return nil, nil
}

// extendToWholeEngine extends a request to all leasable memory of an engine.
// The request becomes short, because only the short class may use all of it.
func (p *placement) extendToWholeEngine(request *balancer.Request, name upstream.Name, capacityShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load, _ := p.engineSet.Load(name)
	leasable := leasableTokens(load.CapacityTokens, capacityShare)
	if leasable > request.Memory() {
		request.ReserveTokens += uint32(leasable - request.Memory())
	}
	request.Class = balancer.ClassShort
}

// leasableTokens returns the memory of an engine that its owner may lease out.
func leasableTokens(capacityTokens uint64, capacityShare float64) uint64 {
	return uint64(capacityShare * float64(capacityTokens))
}
