package peering

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	loadv1 "github.com/citronscale/citronscale/api/load/v1"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/fleet"
	"github.com/citronscale/citronscale/internal/boottime"
	"github.com/citronscale/citronscale/internal/ctxtime"
	"github.com/citronscale/citronscale/place"
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
	Host  string         // name of this host
	Local netip.AddrPort // address of this host; all hosts use the same port
	Seeds []netip.Addr
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
}

// Node exchanges placed streams with the peers of this host.
type Node struct {
	options Options
	parts   Parts
	conn    *net.UDPConn

	incarnation   uint64
	updatePending chan struct{}

	mu       sync.Mutex
	members  *members
	sequence uint64
	newest   map[string]position // by name of the host
	leaving  bool
}

// position orders the datagrams of one host.
type position struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
}

// before reports whether q is newer. The incarnation is the wall-clock time of
// the start of a host, and the clock may be set back while it restarts; so a
// lower incarnation is accepted after two heartbeat intervals without a datagram.
func (p position) before(q position) bool {
	if p.incarnation == q.incarnation {
		return p.sequence < q.sequence
	}
	return p.incarnation < q.incarnation || q.receivedAt-p.receivedAt > 2*heartbeatInterval
}

// Listen opens the socket of a node.
func Listen(options Options, parts Parts) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Local))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", options.Local, err)
	}
	return &Node{
		options: options, parts: parts, conn: conn, incarnation: uint64(time.Now().UnixNano()),
		updatePending: make(chan struct{}, 1), members: newMembers(options.Local.Addr(), options.Seeds),
		newest: map[string]position{},
	}, nil
}

// Run exchanges datagrams until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(n.receive)
	n.send(true)
	started := boottime.Now()
	heartbeat := time.NewTimer(discoveryInterval)
	defer heartbeat.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-heartbeat.C:
			n.send(true)
			heartbeat.Reset(n.nextHeartbeat(boottime.Now() - started))
		case <-n.updatePending:
			if ctxtime.Sleep(ctx, progressDelay) {
				n.send(false)
			}
		}
	}
	if err := n.conn.Close(); err != nil {
		n.parts.Log.Emit(event.OutputFailed).Err(err).Msg("close the socket")
	}
	wg.Wait()
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
	return len(n.members.live(boottime.Now())) + 1
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
	m, targets := n.announcement(boottime.Now(), true)
	m.SourceReturned = true
	n.sendTo(targets, m)
}

// SetSeeds replaces the hosts that get every heartbeat of this one.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.seeds = seeds
}

// send sends the state of this host to all live peers, and to the seeds if it is
// a heartbeat.
func (n *Node) send(heartbeat bool) {
	m, targets := n.announcement(boottime.Now(), heartbeat)
	n.sendTo(targets, m)
}

// greet sends a heartbeat to hosts that may not know this one yet, so that hosts
// that start together discover each other within a few round trips.
func (n *Node) greet(hosts []netip.Addr) {
	if len(hosts) == 0 {
		return
	}
	m, _ := n.announcement(boottime.Now(), true)
	n.sendTo(hosts, m)
}

func (n *Node) sendTo(hosts []netip.Addr, m *loadv1.Announcement) {
	data, err := proto.Marshal(m)
	if err != nil {
		n.parts.Log.Emit(event.OutputFailed).Err(err).Msg("encode an announcement")
		return
	}
	for _, host := range hosts {
		// A peer that can't be reached expires after memberTimeout; the next
		// datagram makes up for a lost one.
		_, _ = n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(host, n.options.Local.Port()))
	}
}

// announcement returns the state of this host and the hosts to send it to.
func (n *Node) announcement(now time.Duration, heartbeat bool) (*loadv1.Announcement, []netip.Addr) {
	streams := n.parts.Ledger.Own()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	m := &loadv1.Announcement{Host: n.options.Host, Incarnation: n.incarnation, Sequence: n.sequence, Leaving: n.leaving}
	for _, s := range streams {
		m.Streams = append(m.Streams, packStream(s, now))
	}
	targets := n.members.live(now)
	if heartbeat {
		targets = n.members.withSeeds(targets)
		for _, host := range n.members.sampleSeen(now, n.parts.Rng) {
			m.Hosts = append(m.Hosts, packHost(host))
		}
		for _, id := range n.parts.Upstreams.Avoided(now) {
			m.Unreachable = append(m.Unreachable, uint32(n.parts.Key(id)))
		}
	}
	return m, targets
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
		m := &loadv1.Announcement{}
		if err := proto.Unmarshal(buffer[:size], m); err != nil {
			n.parts.Log.Emit(event.AnnouncementUnreadable).Stringer("from", from).Err(err).Msg("decode an announcement")
			continue
		}
		n.handle(m, from.Addr().Unmap())
	}
}

func (n *Node) handle(m *loadv1.Announcement, from netip.Addr) {
	now := boottime.Now()
	newHosts, accepted := n.accept(m, from, now)
	if !accepted {
		return
	}
	n.greet(newHosts)
	if m.GetSourceReturned() {
		n.parts.SourceRecovered()
	}
	streams := make([]place.Stream, 0, len(m.GetStreams()))
	for _, s := range m.GetStreams() {
		streams = append(streams, unpackStream(s, now))
	}
	n.parts.Ledger.SetPeer(m.GetHost(), streams, now)
	if len(m.GetUnreachable()) > 0 {
		n.suspect(m.GetUnreachable(), now)
	}
}

// accept records the sender and reports whether the datagram is its newest. It
// returns the hosts that may not know this one yet: the sender if it is new or
// has restarted, and new hosts that it names.
func (n *Node) accept(m *loadv1.Announcement, from netip.Addr, now time.Duration) (newHosts []netip.Addr, accepted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := position{m.GetIncarnation(), m.GetSequence(), now}
	newest, known := n.newest[m.GetHost()]
	if m.GetHost() == n.options.Host || known && !newest.before(at) {
		return nil, false
	}
	n.newest[m.GetHost()] = at
	if !known {
		n.parts.Log.Emit(event.PeerJoined).Str("peer", m.GetHost()).Stringer("address", from).Msg("")
	}
	if !m.GetLeaving() && newest.incarnation != at.incarnation {
		newHosts = append(newHosts, from)
	}
	n.members.seen(from, now)
	for _, packed := range m.GetHosts() {
		if host := unpackHost(packed); n.members.addNamed(host, now) {
			newHosts = append(newHosts, host)
		}
	}
	return newHosts, true
}

func (n *Node) suspect(keys []uint32, now time.Duration) {
	for _, id := range n.parts.Upstreams.IDs() {
		for _, key := range keys {
			if uint32(n.parts.Key(id)) == key {
				n.parts.Upstreams.Suspect(id, now)
			}
		}
	}
}
