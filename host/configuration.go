package host

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/revision"
	"github.com/citronscale/citronscale/source"
)

const (
	maxConfirmationAge  = 90 * time.Second // a configuration without confirmation for longer is stale
	fetchTimeout        = 2 * time.Second  // of one fetch from a peer
	unwatchedReadPeriod = 45 * time.Second // mean time between two reads of a host that doesn't watch
)

// offerConfig validates a document from the service or a peer and applies it if
// it is newer than the one in force.
func (h *Host) offerConfig(document source.Document, source string) {
	decision, err := h.agreement.offer(time.Now(), document)
	switch decision {
	case revision.Accepted:
		h.applyPolicy()
		h.log.Emit(event.ConfigAccepted).Uint64("revision", document.Revision).Str("source", source).Msg("")
	case revision.Rejected:
		h.log.Emit(event.ConfigRejected).Uint64("revision", document.Revision).Str("source", source).Err(err).Msg("")
	case revision.Older, revision.Conflict:
		h.log.Emit(event.ConfigOlder).Uint64("revision", document.Revision).
			Uint64("in_force", h.agreement.revision()).Str("source", source).Msg("")
	}
	h.checkReady()
}

// checkReady makes a starting host ready once it can admit requests.
func (h *Host) checkReady() {
	if h.agreement.canBeReady(time.Now()) {
		h.lifecycle.becomeReady()
	}
}

// checkPeerConfig compares the configuration of a peer with that of this host
// and fetches it if it is newer.
func (h *Host) checkPeerConfig(peer *peerv1.HostRecord) {
	if !h.agreement.peerAhead(time.Now(), peer) || !h.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetching.Store(false)
		h.fetchConfig(ident.Host(peer.GetHost()))
	}()
}

// fetchConfig fetches the configuration that is in force at a peer.
func (h *Host) fetchConfig(host ident.Host) {
	client, err := h.peer(host)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := client.FetchConfig(ctx, connect.NewRequest(h.agreement.fetchRequest()))
	if err != nil {
		return // the next heartbeat tries again
	}
	document, err := h.agreement.assemble(response.Msg)
	if err != nil {
		return // the document of this host has changed; the next heartbeat tries again
	}
	h.offerConfig(document, string(host))
}

// offer validates a document and puts it in force if it is newer.
func (a *agreement) offer(now time.Time, document source.Document) (revision.Decision, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Offer(now, document)
}

// peerAhead reports whether a peer has a newer configuration. A peer with the
// same one confirms that of this host.
func (a *agreement) peerAhead(now time.Time, peer *peerv1.HostRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if peer.GetConfigRevision() == 0 {
		return false
	}
	a.newestRevision = max(a.newestRevision, peer.GetConfigRevision())
	a.state.Confirm(now, peer.GetConfigRevision(), peer.GetConfigDigest())
	return a.state.Newer(peer.GetConfigRevision(), peer.GetConfigDigest())
}

func (a *agreement) fetchRequest() *peerv1.FetchConfigRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Request()
}

func (a *agreement) fetchResponse(request *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Answer(request)
}

func (a *agreement) assemble(response *peerv1.FetchConfigResponse) (source.Document, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Assemble(response)
}

// canBeReady reports whether a starting host can admit requests. Without a host
// list it has no upstreams.
func (a *agreement) canBeReady(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hostListRead {
		return false
	}
	start := revision.Start{Since: a.started, HostListRead: a.hostListRead, Settled: a.table.Settled(now)}
	for _, m := range a.table.Members() {
		if m.Self || m.LastContactAt.IsZero() || m.State == membership.Failed {
			continue
		}
		start.Answered++
		start.Ahead = start.Ahead || m.ConfigRevision > 0 && a.state.Newer(m.ConfigRevision, m.ConfigDigest)
	}
	return a.state.Ready(now, start)
}

// watches reports whether this host watches the configuration service for its
// failure domain. A host without a configuration in force always does.
func (a *agreement) watches() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.InForce() == nil {
		return true
	}
	var domain []ident.Host
	for _, m := range a.table.Members() {
		if m.FailureDomain == a.domain && m.State == membership.Ready {
			domain = append(domain, m.Host)
		}
	}
	return revision.Watches(a.self, domain)
}
