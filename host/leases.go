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
	leaseTimeout   = 300 * time.Millisecond // of one call to an owner
	renewPeriod    = 100 * time.Millisecond // between two looks for leases to renew
	ownerTick      = 200 * time.Millisecond // between two looks at the engines to own
	leaseRetryTick = 5 * time.Millisecond   // between two tries of a call that waits at its owner
	maxLeaseWait   = 50 * time.Millisecond  // longest time that a call waits at its owner
)

// askOwner asks the owner of an engine for a lease that covers need tokens on
// top of what is in use, or renews the lease if need is zero. Calls for one
// lease join the one that is under way. It reports whether the owner answered.
func (h *Host) askOwner(ctx context.Context, line lease.Line, need uint64) bool {
	p := h.placement
	p.mu.Lock()
	if done, ok := p.asking[line]; ok {
		p.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return true
	}
	done := make(chan struct{})
	p.asking[line] = done
	request := p.book.Request(time.Now(), line, need)
	p.mu.Unlock()
	if need > 0 {
		request.WaitMs = uint32(maxLeaseWait.Milliseconds())
	}
	response, err := h.callOwner(ctx, line.Engine, request)
	p.takeResponse(line, request.GetSequence(), response, err)
	close(done)
	if err == nil {
		h.directory.NoteIncarnation(line.Engine, response.GetEngineIncarnation())
	}
	if err == nil && response.GetLeaving() {
		h.noteUpstreams(h.directory.RefusedLeaving(time.Now(), line.Engine))
	}
	return err == nil && !response.GetNotOwner()
}

// takeResponse books the answer of an owner.
func (p *placement) takeResponse(line lease.Line, sequence uint64, response *peerv1.LeaseResponse, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asking, line)
	if err != nil {
		p.book.Failed(line, sequence)
		return
	}
	p.book.Response(line, sequence, response)
	if !response.GetNotOwner() && !response.GetLeaving() {
		p.set.OwnerFree(line.Engine, uint64(response.GetFreeTokens()))
	}
}

// callOwner sends a request for a lease to the owner of the engine.
func (h *Host) callOwner(ctx context.Context, engine upstream.Name, request *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error) {
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

// handleLease answers a request for a lease on an engine of this host. A
// request without success waits for tokens for the time that it allows.
func (h *Host) handleLease(ctx context.Context, request *peerv1.LeaseRequest) *peerv1.LeaseResponse {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxLeaseWait)
	until := time.Now().Add(wait)
	for {
		response := h.placement.handleLease(request)
		h.stateEngine(upstream.Name(request.GetUpstream()), response)
		satisfied := response.GetGrantedTokens() > 0 || request.GetNeedTokens() == 0
		if satisfied || response.GetNotOwner() || response.GetLeaving() || !time.Now().Before(until) || ctx.Err() != nil {
			return response
		}
		ctxtime.Sleep(ctx, leaseRetryTick)
	}
}

// stateEngine adds to an answer what the last report says about the engine.
func (h *Host) stateEngine(name upstream.Name, response *peerv1.LeaseResponse) {
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

// renewLeases renews leases in use and gives back those that are not.
func (h *Host) renewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, renewPeriod)
		for _, line := range h.placement.dueLeases() {
			go h.askOwner(ctx, line, 0)
		}
	}
}

func (p *placement) dueLeases() []lease.Line {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Due(time.Now())
}

// tendOwners takes over the accounts of engines that this host owns now and
// drops those that it no longer owns.
func (h *Host) tendOwners(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, ownerTick)
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

// ownerOptions returns the rules of accounts by the configuration in force.
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
