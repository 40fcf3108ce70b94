package peering

import (
	"net/netip"
	"slices"
	"time"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/mirror"
)

const (
	// QueryInterval is the interval in which a host asks for confirmations.
	QueryInterval = 400 * time.Millisecond
	// maxOpenQueries bounds the queries whose answers are awaited: those of a few
	// seconds.
	maxOpenQueries = 32
	// eagerShare is the age of the own confirmation, as a share of its validity, from
	// which a host asks more than one peer.
	eagerShare = 0.45
	// eagerPeers is how many peers it asks then.
	eagerPeers = 3
)

// Vouch is the confirmation by a peer that its entries were the newest.
type Vouch struct {
	From     netip.Addr
	PeerRank int             // of the peer among the hosts of the group
	Rank     int             // of this host
	Changed  uint64          // revision of the last change that the peer has applied, in the era of Position
	Position mirror.Position // up to which the peer has applied all changes
	Config   uint64          // version of the configuration that is in force at the peer
	Asked    bool            // the peer answered a query; AsOf is valid
	AsOf     time.Duration   // on the clock of this host
}

// queries holds the times of the queries that may still be answered. It is not safe
// for concurrent use.
type queries struct {
	last uint64
	sent map[uint64]time.Duration
}

func newQueries(first uint64) *queries {
	return &queries{last: first, sent: map[uint64]time.Duration{}}
}

// next returns the number of a new query.
func (q *queries) next(now time.Duration) uint64 {
	q.last++
	q.sent[q.last] = now
	delete(q.sent, q.last-maxOpenQueries)
	return q.last
}

// asOf returns the time as of which an answer confirms. An answer may wait in the
// socket of a suspended host for any time, so it counts from the query.
func (q *queries) asOf(c *loadv1.Confirmation) (time.Duration, bool) {
	sent, ok := q.sent[c.GetNumber()]
	return sent - time.Duration(min(c.GetAgeMs(), maxAgeMillis))*time.Millisecond, ok
}

// maxAgeMillis keeps durations from overflowing.
const maxAgeMillis = 1 << 40

// queryTargets returns the hosts to ask: those that always read the source, and some
// more once the own confirmation has become old. A host that always reads asks nobody
// before that.
func queryTargets(ranked []netip.Addr, self netip.Addr, readers int, age, validity time.Duration) []netip.Addr {
	count := max(readers, 1)
	switch {
	case float64(age) > eagerShare*float64(validity):
		count = max(count, eagerPeers)
	case slices.Contains(ranked[:min(count, len(ranked))], self):
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(ranked), func(host netip.Addr) bool { return host == self })
	return others[:min(count, len(others))]
}

// sendQueries asks peers to confirm the published entries.
func (n *Node) sendQueries() {
	now := n.now()
	age := n.parts.Age()
	n.mu.Lock()
	ranked := n.members.ranked(n.members.groups(now).own, now)
	targets := queryTargets(ranked, n.members.self, n.options.Readers, age, n.options.Validity)
	number := uint64(0)
	if len(targets) > 0 {
		number = n.queries.next(now)
	}
	n.mu.Unlock()
	if len(targets) > 0 {
		n.sendTo(targets, &loadv1.Datagram{Content: &loadv1.Datagram_Query{Query: &loadv1.Query{Number: number}}})
	}
}

// EntriesChanged tells the hosts of the group that this host has applied changes of
// the published entries.
func (n *Node) EntriesChanged() {
	now := n.now()
	n.mu.Lock()
	own := n.members.groups(now).own
	n.mu.Unlock()
	n.sendTo(own, n.confirmation(0))
}

func (n *Node) confirmation(number uint64) *loadv1.Datagram {
	// The age is read first: the entries may only be newer than it tells.
	age := n.parts.Age()
	version := n.parts.ConfigVersion() // a version without its position would make peers fetch
	position, changed := n.parts.Mirror.Position()
	return &loadv1.Datagram{Content: &loadv1.Datagram_Confirmation{Confirmation: &loadv1.Confirmation{
		Number: number, AgeMs: ageMillis(age), Changed: changed, Position: position.Revision, Era: position.Era,
		ConfigVersion: version,
	}}}
}

// ageMillis rounds an age up, so that a confirmation never looks newer than it is.
func ageMillis(age time.Duration) uint64 {
	return uint64((max(age, 0) + time.Millisecond - 1) / time.Millisecond)
}

func (n *Node) handleConfirmation(c *loadv1.Confirmation, from netip.Addr, now time.Duration) {
	n.mu.Lock()
	n.members.heard(from, now)
	ranked := n.members.ranked(n.members.groups(now).own, now)
	v := Vouch{
		From: from, PeerRank: slices.Index(ranked, from), Rank: slices.Index(ranked, n.members.self), Changed: c.GetChanged(),
		Position: mirror.Position{Era: c.GetEra(), Revision: c.GetPosition()}, Config: c.GetConfigVersion(),
	}
	v.AsOf, v.Asked = n.queries.asOf(c)
	n.mu.Unlock()
	if v.PeerRank >= 0 {
		n.parts.Vouched(v)
	}
}
