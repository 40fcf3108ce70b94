package host

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/lease"
	"github.com/citronscale/citronscale/upstream"
)

const (
	leaseTimeout      = 300 * time.Millisecond // of one call to an owner
	renewPeriod       = 100 * time.Millisecond // between two checks for leases to renew
	ownerUpdatePeriod = 200 * time.Millisecond // between two updates of the owned engines
	leaseRetryPeriod  = 5 * time.Millisecond   // between two attempts to grant a waiting request
	maxLeaseWait      = 50 * time.Millisecond  // longest wait of a request at the owner
)

// requestLease requests a lease from the owner of an engine that covers need
// tokens in addition to those in use, or renews the lease if need is zero. It
// reports whether the owner answered. A call for a lease that already has one
// in flight sends nothing: it waits for the response and returns true.
func (h *Host) requestLease(ctx context.Context, key lease.Key, need uint64) bool {
	p := h.placement
	p.mu.Lock()
	if done, ok := p.leaseCalls[key]; ok {
		p.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return true
	}
	done := make(chan struct{})
	p.leaseCalls[key] = done
	request := p.leases.Request(time.Now(), key, need)
	p.mu.Unlock()
	if need > 0 {
		request.WaitMs = uint32(maxLeaseWait.Milliseconds())
	}
	response, err := h.sendLeaseRequest(ctx, key.Engine, request)
	p.applyLeaseResponse(key, request.GetSequence(), response, err)
	close(done)
	if err == nil {
		h.directory.ObserveIncarnation(key.Engine, response.GetEngineIncarnation())
	}
	if err == nil && response.GetLeaving() {
		h.applyUpstreamChanges(h.directory.RefusedLeaving(time.Now(), key.Engine))
	}
	return err == nil && !response.GetNotOwner()
}

// applyLeaseResponse applies the response of an owner.
func (p *placement) applyLeaseResponse(key lease.Key, sequence uint64, response *peerv1.LeaseResponse, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leaseCalls, key)
	if err != nil {
		p.leases.RequestFailed(key, sequence)
		return
	}
	p.leases.HandleResponse(key, sequence, response)
	if !response.GetNotOwner() && !response.GetLeaving() {
		p.engineSet.SetFreeTokens(key.Engine, uint64(response.GetFreeTokens()))
	}
}

// sendLeaseRequest sends a lease request to the owner of the engine.
func (h *Host) sendLeaseRequest(ctx context.Context, engine upstream.Name, request *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error) {
	owner := h.agreement.owner(engine)
	if owner == h.self {
		return h.handleLease(ctx, request), nil
	}
	client, err := h.peer(owner)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	response, err := client.Lease(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// handleLease answers a lease request for an engine that this host owns. A
// request that can't be granted waits for free tokens up to the wait that it
// states.
func (h *Host) handleLease(ctx context.Context, request *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxLeaseWait)
	until := time.Now().Add(wait)
	for {
		response := h.placement.handleLease(request)
		h.addEngineState(upstream.Name(request.GetUpstream()), response)
		satisfied := response.GetGrantedTokens() > 0 || request.GetNeedTokens() == 0
		if satisfied || response.GetNotOwner() || response.GetLeaving() || !time.Now().Before(until) || ctx.Err() != nil {
			return response
		}
		ctxtime.Sleep(ctx, leaseRetryPeriod)
	}
}

// addEngineState adds the incarnation and the capacity of the engine from its
// last report to a response.
func (h *Host) addEngineState(name upstream.Name, response *peerv1.LeaseResponse) {
	status, ok := h.directory.Status(name)
	if !ok || status.Report == nil {
		return
	}
	response.EngineIncarnation = status.Incarnation
	response.CapacityTokens = status.Report.CapacityTokens
}

func (p *placement) handleLease(request *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := upstream.Name(request.GetUpstream())
	owner, ok := p.owners[name]
	if !ok {
		return &peerv1.LeaseResponse{NotOwner: true}
	}
	return owner.Handle(time.Now(), request)
}

// renewLeases renews leases in use and returns unused ones.
func (h *Host) renewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, renewPeriod)
		for _, key := range h.placement.dueLeases() {
			go h.requestLease(ctx, key, 0)
		}
	}
}

func (p *placement) dueLeases() []lease.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases.Due(time.Now())
}

// updateOwnedEngines periodically opens accounts for engines that this host has
// become the owner of and drops those of engines that it no longer owns.
func (h *Host) updateOwnedEngines(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, ownerUpdatePeriod)
		owned := h.ownedEngines()
		h.placement.setOwned(time.Now(), owned, h.ownerOptions())
	}
}

// ownedEngines returns the engines that this host owns.
func (h *Host) ownedEngines() []upstream.Name {
	var names []upstream.Name
	for _, s := range h.directory.Engines() {
		if h.agreement.owner(s.Info.Name) == h.self {
			names = append(names, s.Info.Name)
		}
	}
	return names
}

// ownerOptions returns the account options of the configuration in force.
func (h *Host) ownerOptions() lease.OwnerOptions {
	options := lease.DefaultOwnerOptions()
	cfg, ok := h.agreement.config()
	if !ok {
		return options
	}
	fleet := cfg.Fleet()
	options.TTL = max(fleet.LeaseTTL, 2*options.Margin)
	options.ShortShare = fleet.ShortShare
	return options
}

func (p *placement) setOwned(now time.Time, names []upstream.Name, options lease.OwnerOptions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	owned := make(map[upstream.Name]bool, len(names))
	for _, name := range names {
		owned[name] = true
		owner, ok := p.owners[name]
		if !ok {
			p.owners[name] = lease.NewOwner(options, name, now)
			continue
		}
		owner.SetOptions(options)
		owner.Tick(now)
	}
	for name := range p.owners {
		if !owned[name] {
			delete(p.owners, name)
		}
	}
}

// replaceHolder ends the leases of earlier incarnations of a host.
func (p *placement) replaceHolder(now time.Time, host ident.Host, incarnation ident.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, owner := range p.owners {
		owner.HolderReplaced(now, host, incarnation)
	}
}
