package peering

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/mirror"
	"github.com/citronscale/citronscale/pace"
	"github.com/citronscale/citronscale/place"
	"github.com/citronscale/citronscale/standing"
	"github.com/citronscale/citronscale/throttle"
)

const (
	// heartbeatInterval is the interval of the heartbeats, which make up for lost
	// datagrams.
	heartbeatInterval = time.Second
	// progressDelay batches updates of streams that began to decode or ended:
	// peers predict both, so these are less urgent than a new stream.
	progressDelay = 100 * time.Millisecond
	// discoveryInterval is the heartbeat interval of a host that has no peers yet,
	// within discoveryTime of its start: hosts that place streams without knowing
	// those of the others overload the same engines.
	discoveryInterval = 100 * time.Millisecond
	discoveryTime     = 5 * time.Second
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 60 << 10
)

// Options are the addresses of a Node and its seeds.
type Options struct {
	Host     string         // name of this host
	Local    netip.AddrPort // address of this host; all hosts use the same port
	Seeds    []netip.Addr
	Capacity uint32 // of the machine, relative to others; hosts with more relay news
	Domain   string // failure domain of this host
	// Validity is how long a confirmation of the published entries is valid.
	Validity time.Duration
	// Readers is the number of hosts of a group that always read the source.
	Readers int
}

// Parts are the dependencies of a Node.
type Parts struct {
	Ledger    *place.Ledger
	Upstreams *fleet.Set
	Key       func(id string) uint64 // returns the key of an engine
	Log       *event.Logger
	Rng       *rand.Rand
	// SourceRecovered is called when a peer reports that the source of the
	// configuration answers it again.
	SourceRecovered func()
	// Vouched is called when a peer confirms its entries. It must not block.
	Vouched func(Vouch)
	// Age returns the time since this host knew that its published entries were the
	// newest.
	Age func() time.Duration
	// ConfigVersion returns the version of the configuration that is in force, or 0.
	ConfigVersion func() uint64
	// SourceOutageAge returns the time since the source answered again after an
	// outage.
	SourceOutageAge func() time.Duration
	Mirror          *mirror.State
	Evidence        EvidenceStore
	Limits          *throttle.Book
	Paces           *pace.Book // nil: paces are not exchanged
	Standing        *standing.Book
}

// Node exchanges placed streams with the peers of this host.
type Node struct {
	options Options
	parts   Parts
	conn    *net.UDPConn
	now     func() time.Duration
	write   func(data []byte, to netip.Addr)
	server  *http.Server // of published entries
	http    *http.Client

	incarnation   uint64
	updatePending chan struct{}

	mu       sync.Mutex
	members  *members
	outbox   *outbox
	queries  *queries
	rumors   rumors
	sequence uint64
	newest   map[netip.Addr]position
	leaving  bool

	sentPaces sentPaces // to the own group
}

// Listen opens the socket of a node.
func Listen(options Options, parts Parts) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Local))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", options.Local, err)
	}
	options.Local = netip.AddrPortFrom(options.Local.Addr(), conn.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	n := newNode(options, parts, uint64(time.Now().UnixNano()))
	n.conn, n.http, n.now = conn, fetchClient(), boottime.Now
	n.write = func(data []byte, to netip.Addr) {
		// A peer that can't be reached expires after memberTimeout; the next
		// datagram makes up for a lost one.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, options.Local.Port()))
	}
	if err := n.listenEntries(); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return n, nil
}

func newNode(options Options, parts Parts, incarnation uint64) *Node {
	return &Node{
		options: options, parts: parts, incarnation: incarnation, updatePending: make(chan struct{}, 1),
		members: newMembers(options.Local.Addr(), options.Capacity, domainKey(options.Domain), options.Seeds),
		outbox:  newOutbox(), queries: newQueries(incarnation), newest: map[netip.Addr]position{}, sentPaces: sentPaces{},
	}
}

// Run exchanges datagrams until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(n.receive)
	n.send(true)
	wg.Go(func() { n.sendUpdates(ctx) })
	started := n.now()
	heartbeat := time.NewTimer(discoveryInterval)
	defer heartbeat.Stop()
	query := time.NewTicker(QueryInterval)
	defer query.Stop()
	relay := time.NewTicker(relayInterval)
	defer relay.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-heartbeat.C:
			n.send(true)
			n.repeatEvidence()
			heartbeat.Reset(n.nextHeartbeat(n.now() - started))
		case <-query.C:
			n.sendQueries()
		case <-relay.C:
			n.relayNews()
			n.spreadEvidence()
		}
	}
	if err := errors.Join(n.conn.Close(), n.server.Close()); err != nil {
		n.parts.Log.Emit(event.OutputFailed).Err(err).Msg("close the sockets")
	}
	wg.Wait()
}

// sendUpdates sends the state of this host after streams began to decode or ended.
func (n *Node) sendUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.updatePending:
			if ctxtime.Sleep(ctx, progressDelay) {
				n.send(false)
			}
		}
	}
}

// nextHeartbeat returns the time until the next heartbeat of a node of the given
// age.
func (n *Node) nextHeartbeat(age time.Duration) time.Duration {
	if age < discoveryTime && n.Hosts() == 1 {
		return discoveryInterval
	}
	return heartbeatInterval
}

// StreamPlaced implements relay.Peers.
func (n *Node) StreamPlaced() {
	n.send(false)
}

// StreamProgressed implements relay.Peers.
func (n *Node) StreamProgressed() {
	select {
	case n.updatePending <- struct{}{}:
	default: // an update is already pending
	}
}

// Hosts implements relay.Peers.
func (n *Node) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.count(n.now())
}

// Leave announces to the peers that this host is leaving.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.send(true)
}

// AnnounceSourceRecovered announces to the peers that the source of the configuration
// answers this host again.
func (n *Node) AnnounceSourceRecovered() {
	m, targets := n.announcement(n.now(), true, n.sentPaces)
	m.SourceReturned = true
	n.sendTo(targets, announced(m))
}

// SetSeeds replaces the hosts that get every heartbeat of this one.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.seeds = seeds
}

// send sends the state of this host to the hosts of its group, and to the seeds if it
// is a heartbeat.
func (n *Node) send(heartbeat bool) {
	m, targets := n.announcement(n.now(), heartbeat, n.sentPaces)
	n.sendTo(targets, announced(m))
}

func announced(m *loadv1.Announcement) *loadv1.Datagram {
	return &loadv1.Datagram{Content: &loadv1.Datagram_Announcement{Announcement: m}}
}

// greet sends a heartbeat to hosts that may not know this one yet, so that hosts
// that start together discover each other within a few round trips.
func (n *Node) greet(hosts []netip.Addr) {
	if len(hosts) == 0 {
		return
	}
	m, _ := n.announcement(n.now(), true, sentPaces{}) // what these hosts are told, the others still have to be told
	n.sendTo(hosts, announced(m))
}

func (n *Node) sendTo(hosts []netip.Addr, m *loadv1.Datagram) {
	data, err := proto.Marshal(m)
	if err != nil {
		n.parts.Log.Emit(event.OutputFailed).Err(err).Msg("encode a datagram")
		return
	}
	for _, host := range hosts {
		n.write(data, host)
	}
}

// announcement returns the state of this host and the hosts to send it to. It records in
// told which reports on engines it contains.
func (n *Node) announcement(now time.Duration, heartbeat bool, told sentPaces) (*loadv1.Announcement, []netip.Addr) {
	streams := n.parts.Ledger.Own()
	uses := n.parts.Limits.Uses(now)
	paces := n.ownPaces(now)
	departures := n.parts.Standing.Departures(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	m := &loadv1.Announcement{
		Host: n.options.Host, Incarnation: n.incarnation, Sequence: n.sequence, Leaving: n.leaving, Capacity: n.options.Capacity,
		Domain: n.members.domain,
	}
	for _, s := range streams {
		m.Streams = append(m.Streams, packStream(s, now))
	}
	m.Uses = packUses(uses, now)
	m.Paces = packPaces(told.due(paces, now), now)
	own := n.outbox.update(n.members.self, n.incarnation, n.sequence, streams, now)
	own.uses = uses
	own.paces = mergePaces(own.paces, paces, now)
	m.Departures = packDepartures(freshDepartures(departures, heartbeat, now), now)
	own.uses, own.departures = uses, departures
	own.capacity, own.domain, own.leaving = n.options.Capacity, n.members.domain, n.leaving
	targets := n.members.groups(now).own
	if heartbeat {
		targets = n.members.withSeeds(targets, now)
		for _, host := range n.members.sampleHeard(now, n.parts.Rng) {
			m.Hosts = append(m.Hosts, packHost(host))
		}
		for _, id := range n.parts.Upstreams.Avoided(now) {
			m.Unreachable = append(m.Unreachable, uint32(n.parts.Key(id)))
		}
		own.unreachable = m.GetUnreachable()
	}
	return m, targets
}

// Group implements relay.Peers.
func (n *Node) Group() (number, count int) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.groups(now); !n.members.divided {
		return 0, 0
	}
	return int(n.members.ownGroup().number), 1 << n.members.bits[n.members.domain]
}

// Rank returns the rank of this host among those of its group.
func (n *Node) Rank() int {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	ranked := n.members.ranked(n.members.groups(now).own, now)
	return slices.Index(ranked, n.members.self)
}

func (n *Node) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.parts.Log.Emit(event.AnnouncementUnreadable).Err(err).Msg("read a datagram")
			continue
		}
		n.handle(buffer[:size], from.Addr().Unmap())
	}
}

func (n *Node) handle(data []byte, from netip.Addr) {
	m := &loadv1.Datagram{}
	if err := proto.Unmarshal(data, m); err != nil {
		n.parts.Log.Emit(event.AnnouncementUnreadable).Stringer("from", from).Err(err).Msg("decode a datagram")
		return
	}
	now := n.now()
	switch content := m.GetContent().(type) {
	case *loadv1.Datagram_Announcement:
		n.handleAnnouncement(content.Announcement, from, now)
	case *loadv1.Datagram_Bundle:
		n.handleBundle(content.Bundle, from, now)
	case *loadv1.Datagram_Query:
		n.markHeard(from, now)
		n.sendTo([]netip.Addr{from}, n.confirmation(content.Query.GetNumber()))
	case *loadv1.Datagram_Evidence:
		n.handleEvidence(content.Evidence, from, now)
	case *loadv1.Datagram_Confirmation:
		n.handleConfirmation(content.Confirmation, from, now)
	default:
		n.parts.Log.Emit(event.AnnouncementUnreadable).Stringer("from", from).Msg("a datagram of an unknown kind")
	}
}

func (n *Node) markHeard(from netip.Addr, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.heard(from, now)
}

func (n *Node) handleAnnouncement(m *loadv1.Announcement, from netip.Addr, now time.Duration) {
	newHosts, accepted := n.accept(m, from, now)
	if !accepted {
		return
	}
	n.greet(newHosts)
	n.tellEvidence(newHosts)
	if m.GetSourceReturned() {
		n.parts.SourceRecovered()
	}
	streams := unpackStreams(m.GetStreams(), now)
	n.parts.Ledger.SetPeer(from.String(), streams, now)
	uses := unpackUses(m.GetUses(), now)
	n.parts.Limits.SetPeer(from.String(), uses, now)
	paces := unpackPaces(m.GetPaces(), now)
	n.setPaces(from.String(), paces, now)
	departures := unpackDepartures(m.GetDepartures(), now)
	n.applyDepartures(departures, from.String(), now)
	n.suspect(m.GetUnreachable(), now)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.members.near(from) {
		return
	}
	s := n.outbox.update(from, m.GetIncarnation(), m.GetSequence(), streams, now)
	s.uses = uses
	s.paces = mergePaces(s.paces, paces, now)
	s.capacity, s.domain, s.leaving = m.GetCapacity(), m.GetDomain(), m.GetLeaving()
	if len(m.GetHosts()) > 0 { // a heartbeat
		s.unreachable = m.GetUnreachable()
	}
	if len(m.GetHosts()) > 0 || len(departures) > 0 {
		s.departures = departures
	}
}

// accept records the sender and reports whether the datagram is its newest. It
// returns the hosts that may not know this one yet: the sender if it is new or
// has restarted, and new hosts that it names.
func (n *Node) accept(m *loadv1.Announcement, from netip.Addr, now time.Duration) (newHosts []netip.Addr, accepted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := position{shortIncarnation(m.GetIncarnation()), m.GetSequence(), now}
	newest, known := n.newest[from]
	if m.GetHost() == n.options.Host || known && !newest.before(at) {
		return nil, false
	}
	n.newest[from] = at
	if !known {
		n.parts.Log.Emit(event.PeerJoined).Str("peer", m.GetHost()).Stringer("address", from).Msg("")
	}
	if !m.GetLeaving() && newest.incarnation != at.incarnation {
		newHosts = append(newHosts, from)
	}
	n.members.heard(from, now)
	n.members.describe(from, m.GetCapacity(), m.GetDomain(), m.GetLeaving())
	for _, packed := range m.GetHosts() {
		host := unpackHost(packed)
		if n.members.addNamed(host, now) {
			newHosts = append(newHosts, host)
		}
	}
	return newHosts, true
}

func (n *Node) suspect(keys []uint32, now time.Duration) {
	if len(keys) == 0 {
		return
	}
	for _, id := range n.parts.Upstreams.IDs() {
		for _, key := range keys {
			if uint32(n.parts.Key(id)) == key {
				n.parts.Upstreams.Suspect(id, now)
			}
		}
	}
}
