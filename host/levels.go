package host

import (
	"time"

	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/metrics"
)

// gauges returns the current values of the gauges for a scrape of the metrics.
func (h *Host) gauges() metrics.Gauges {
	requests, tokens := h.lifecycle.inFlight()
	known, up := h.countUpstreams()
	return metrics.Gauges{
		RequestsInFlight: requests,
		TokensInFlight:   tokens,
		ConfigRevision:   h.agreement.revision(),
		ConfigAge:        h.agreement.age(time.Now()),
		BufferUsed:       h.pool.Used(),
		BufferLimit:      h.pool.Limit(),
		Peers:            countPeers(h.agreement.members()),
		UpstreamsUp:      up,
		UpstreamsKnown:   known,
	}
}

// peerStates are the states that peers are counted by.
var peerStates = []membership.State{
	membership.Starting, membership.Ready, membership.Leaving, membership.Suspect, membership.Failed,
}

// countPeers counts the other hosts by state. A state without hosts is reported
// as zero, so that its gauge does not keep the last value.
func countPeers(members []membership.Member) []metrics.PeerCount {
	counts := make(map[membership.State]int, len(peerStates))
	for _, m := range members {
		if !m.Self {
			counts[m.State]++
		}
	}
	peers := make([]metrics.PeerCount, 0, len(peerStates))
	for _, state := range peerStates {
		peers = append(peers, metrics.PeerCount{State: state, Count: counts[state]})
	}
	return peers
}
