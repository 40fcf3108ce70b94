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

// maxHostListAge is the age at which a host that can't read the platform asks
// its peers for a newer list.
const maxHostListAge = 5 * time.Second

// hostList is the newest host list that this host knows.
type hostList struct {
	mu      sync.Mutex
	entries []source.Entry
	readAt  time.Time // from the platform, by this host or by a peer; zero if there is no list
}

// replace takes a list over unless the one in use is as new. It reports whether
// it did.
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

// response returns the list as peers ask for it. It is false without a list.
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

// entriesOf returns the list that a peer answered with.
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

// fetchHosts pulls the host list of one peer. The age that the peer states
// counts from the question, so that a list never seems newer by being handed on.
func (h *Host) fetchHosts(ctx context.Context) {
	address, ok := h.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	response, err := h.peers.at(address).FetchHosts(ctx, connect.NewRequest(&peerv1.FetchHostsRequest{}))
	if err != nil {
		return // another peer is asked at the next read
	}
	age := time.Duration(response.Msg.GetAgeMs()+1) * time.Millisecond // rounded up
	h.useHostList(entriesOf(response.Msg), asked.Add(-age))
	h.checkReady()
}

// randomPeer returns the address of a peer that was heard and has not failed.
func (h *Host) randomPeer() (address string, ok bool) {
	var addresses []string
	for _, m := range h.agreement.members() {
		if !m.Self && m.PeerAddress != "" && !m.HeardAt.IsZero() && m.State != membership.Failed {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
