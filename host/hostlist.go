package host

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/membership"
	"github.com/citronscale/citronscale/source"
)

// maxHostListAge is the age above which a host that can't read the platform
// requests the list from its peers.
const maxHostListAge = 5 * time.Second

// hostList is the newest host list received by this host.
type hostList struct {
	mu      sync.Mutex
	entries []source.Entry
	readAt  time.Time // when this host or a peer read it from the platform; zero if there is no list
}

// replace uses the given list if it is newer than the present one. It reports
// whether it did.
func (l *hostList) replace(entries []source.Entry, readAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !readAt.After(l.readAt) {
		return false
	}
	l.entries = entries
	l.readAt = readAt
	return true
}

// age returns the time since the list was read from the platform.
func (l *hostList) age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(l.readAt), 0)
}

// response returns the list in the form of a response to a peer, or false if
// there is no list.
func (l *hostList) response(now time.Time) (*peerv1.FetchHostsResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() {
		return nil, false
	}
	response := &peerv1.FetchHostsResponse{AgeMs: uint64(max(now.Sub(l.readAt), 0).Milliseconds())}
	for _, e := range l.entries {
		response.Entries = append(response.Entries, &peerv1.HostListEntry{
			Name: e.Name, Role: e.Role, Address: e.Address, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain,
			Model: e.Model, Service: e.Service, Leaving: e.Leaving, ChecksFence: e.ChecksFence,
		})
	}
	return response, true
}

// entriesOf returns the entries of a peer's response.
func entriesOf(response *peerv1.FetchHostsResponse) []source.Entry {
	entries := make([]source.Entry, 0, len(response.GetEntries()))
	for _, e := range response.GetEntries() {
		entries = append(entries, source.Entry{
			Name: e.GetName(), Role: e.GetRole(), Address: e.GetAddress(), PeerAddress: e.GetPeerAddress(), FailureDomain: e.GetFailureDomain(),
			Model: e.GetModel(), Service: e.GetService(), Leaving: e.GetLeaving(), ChecksFence: e.GetChecksFence(),
		})
	}
	return entries
}

// fetchHosts fetches the host list of one peer. The age in the response is
// subtracted from the time of the request, so that forwarding a list never
// makes it look newer.
func (h *Host) fetchHosts(ctx context.Context) {
	address, ok := h.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	response, err := h.peers.clientFor(address).FetchHosts(ctx, connect.NewRequest(&peerv1.FetchHostsRequest{}))
	if err != nil {
		return // the next read tries another peer
	}
	age := time.Duration(response.Msg.GetAgeMs()+1) * time.Millisecond // rounded up
	h.useHostList(entriesOf(response.Msg), requestedAt.Add(-age))
	h.checkReady()
}

// randomPeer returns the address of a random peer that has sent a message and
// has not failed.
func (h *Host) randomPeer() (address string, ok bool) {
	var addresses []string
	for _, m := range h.agreement.members() {
		if !m.Self && m.PeerAddress != "" && !m.LastContactAt.IsZero() && m.State != membership.Failed {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
