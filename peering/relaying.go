package peering

import (
	"net/netip"
	"slices"
	"time"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
)

// relayNews passes on the news of other groups to the own group. If this host is the
// relay of its group, it sends the news of the group to the other groups.
func (n *Node) relayNews() {
	now := n.now()
	n.mu.Lock()
	g := n.members.groups(now)
	passed := n.outbox.takePassed(now)
	var news []*loadv1.HostNews
	var relays []netip.Addr
	if len(g.other) > 0 && n.members.ranked(g.own, now)[0] == n.members.self {
		n.outbox.forget(func(host netip.Addr) bool { return host == n.members.self || n.members.near(host) })
		news = n.outbox.news(now)
		for _, hosts := range g.other {
			relays = append(relays, n.members.relayOf(hosts, now))
		}
		slices.SortFunc(relays, netip.Addr.Compare)
	}
	n.mu.Unlock()
	for _, b := range bundles(passed, true) {
		n.sendTo(g.own, &loadv1.Datagram{Content: &loadv1.Datagram_Bundle{Bundle: b}})
	}
	for _, b := range bundles(news, false) {
		n.sendTo(relays, &loadv1.Datagram{Content: &loadv1.Datagram_Bundle{Bundle: b}})
	}
}

// handleBundle applies news of other groups and keeps it to pass it on.
func (n *Node) handleBundle(b *loadv1.Bundle, from netip.Addr, now time.Duration) {
	n.mu.Lock()
	n.members.heard(from, now)
	var fresh []*loadv1.HostNews
	for _, news := range b.GetHosts() {
		if n.acceptNews(news, now) {
			fresh = append(fresh, news)
		}
	}
	n.mu.Unlock()
	for _, news := range fresh {
		n.applyNews(news, now)
	}
	if b.GetRelayed() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outbox.pass(fresh, now) // from here on, the ages of the news may be changed
}

// acceptNews records the host of the news and reports whether this is the newest of
// it.
func (n *Node) acceptNews(news *loadv1.HostNews, now time.Duration) bool {
	host := unpackHost(news.GetAddress())
	if host == n.members.self {
		return false
	}
	at := position{news.GetIncarnation(), news.GetSequence(), now - time.Duration(news.GetAgeMs())*time.Millisecond}
	newest, known := n.newest[host]
	if known && !newest.before(at) && (newest != at.on(newest) || !news.GetComplete()) {
		return false
	}
	n.newest[host] = at
	n.members.reported(host, at.receivedAt)
	if news.GetComplete() {
		n.members.describe(host, news.GetCapacity(), news.GetDomain(), news.GetLeaving())
	}
	return true
}

func (n *Node) applyNews(news *loadv1.HostNews, now time.Duration) {
	streams := unpackStreams(news.GetStreams(), now)
	peer := unpackHost(news.GetAddress()).String()
	n.parts.Limits.SetPeer(peer, unpackUses(news.GetUses(), now), now)
	n.setPaces(peer, unpackPaces(news.GetPaces(), now), now)
	n.applyDepartures(unpackDepartures(news.GetDepartures(), now), peer, now)
	if news.GetComplete() {
		n.parts.Ledger.SetPeer(peer, streams, now)
		n.suspect(news.GetUnreachable(), now)
		return
	}
	ended := make([]uint64, 0, len(news.GetEnded()))
	for _, id := range news.GetEnded() {
		ended = append(ended, uint64(id))
	}
	n.parts.Ledger.UpdatePeer(peer, streams, ended, now)
}
