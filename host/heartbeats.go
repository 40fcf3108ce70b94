package host

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/chart"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/membership"
)

const (
	defaultHeartbeat    = 500 * time.Millisecond // before a configuration is in force
	strikesPerHeartbeat = 16
	teamsPerHeartbeat   = 16
	pauseFactor         = 4 // heartbeat periods; a longer gap counts as a pause of the process
)

// sendHeartbeats sends heartbeats until ctx ends.
func (h *Host) sendHeartbeats(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		period := h.heartbeatPeriod()
		ctxtime.Sleep(ctx, period)
		now := time.Now()
		// Round removes the monotonic reading, because the monotonic clock stops
		// while the machine is suspended.
		if gap := now.Round(0).Sub(last.Round(0)); gap > pauseFactor*period {
			h.handlePause(now, gap)
		}
		last = now
		h.refreshRecord(now)
		for _, probe := range h.agreement.tick(now) {
			go h.probe(ctx, probe, period)
		}
		h.applyMemberChanges()
		h.checkReady()
	}
}

func (h *Host) heartbeatPeriod() time.Duration {
	if period := h.fleetPolicy().HeartbeatPeriod; period > 0 {
		return period
	}
	return defaultHeartbeat
}

// handlePause discards membership state from before a pause of the process.
func (h *Host) handlePause(now time.Time, gap time.Duration) {
	h.log.Emit(event.ProcessPaused).Dur("gap", gap).Msg("")
	h.agreement.resumed(now)
}

// refreshRecord updates the record that this host sends in its heartbeats.
func (h *Host) refreshRecord(now time.Time) {
	p := h.placement
	p.mu.Lock()
	usage := p.limiter.Usage(now, teamsPerHeartbeat)
	p.mu.Unlock()
	h.agreement.refresh(now, hostState(h.lifecycle.state()), usage)
}

// hostState returns the state of the process as heartbeats carry it.
func hostState(state chart.State) membership.State {
	switch state {
	case chart.ProcessReady:
		return membership.Ready
	case chart.ProcessLeaving, chart.ProcessStopped:
		return membership.Leaving
	default:
		return membership.Starting
	}
}

// probe sends one heartbeat. If it is not answered, other hosts are asked to
// probe the same host.
func (h *Host) probe(ctx context.Context, probe membership.Probe, timeout time.Duration) {
	if !h.sendProbe(ctx, probe, timeout) {
		for _, indirect := range h.agreement.probeFailed(time.Now(), probe.Host) {
			go h.sendProbe(ctx, indirect, 2*timeout)
		}
	}
}

// sendProbe sends one heartbeat, processes the response and reports whether
// there was one.
func (h *Host) sendProbe(ctx context.Context, probe membership.Probe, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	probe.Message.Strikes = h.strikes.gossip(time.Now())
	response, err := h.peers.clientFor(probe.Address).Heartbeat(ctx, connect.NewRequest(probe.Message))
	if err != nil {
		return false
	}
	h.agreement.response(time.Now(), probe.Host, response.Msg)
	h.strikes.merge(time.Now(), response.Msg.GetStrikes())
	h.checkPeerConfig(response.Msg.GetSender())
	return true
}

// receiveHeartbeat answers the heartbeat of another host. If the heartbeat
// names a probe target, that host is probed first.
func (h *Host) receiveHeartbeat(ctx context.Context, m *peerv1.HeartbeatRequest) *peerv1.HeartbeatResponse {
	alive := false
	if target := m.GetProbeTarget(); target != "" {
		if probe, ok := h.agreement.probeOf(time.Now(), ident.Host(target)); ok {
			alive = h.sendProbe(ctx, probe, h.heartbeatPeriod())
		}
	}
	response := h.agreement.receive(time.Now(), m)
	response.ProbeAlive = alive
	response.Strikes = h.strikes.gossip(time.Now())
	h.strikes.merge(time.Now(), m.GetStrikes())
	h.checkPeerConfig(m.GetSender())
	return response
}

// applyMemberChanges logs changes of the membership and applies them to the
// parts that depend on it.
func (h *Host) applyMemberChanges() {
	for _, change := range h.agreement.changes(time.Now()) {
		if e, ok := memberEvents[change.To]; ok {
			h.log.Emit(e).Str("peer", string(change.Host)).Uint64("incarnation", uint64(change.Incarnation)).Msg("")
		}
		h.placement.replaceHolder(time.Now(), change.Host, change.Incarnation)
	}
	members := h.agreement.members()
	addresses := make(map[string]bool, len(members))
	for _, member := range members {
		addresses[member.PeerAddress] = true
	}
	h.peers.retain(addresses)
	h.placement.setMembers(members)
}

var memberEvents = map[membership.State]event.Event{
	membership.Ready:   event.PeerJoined,
	membership.Suspect: event.PeerSuspect,
	membership.Failed:  event.PeerLost,
	membership.Leaving: event.PeerLeaving,
}

// setMembers passes the usage that other hosts report to the limiter.
func (p *placement) setMembers(members []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := 0
	for _, member := range members {
		if member.State == membership.Failed {
			p.limiter.RemovePeer(member.Host)
			continue
		}
		live++
		if !member.Self {
			p.limiter.SetPeerUsage(member.Host, member.Usage)
		}
	}
	p.limiter.SetHosts(live)
}
