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
	// heartbeatEvery repairs what lost datagrams left wrong.
	heartbeatEvery = time.Second
	// progressDelay collects streams that began to write or ended: peers predict
	// both, so that news of them is less urgent than of a new stream.
	progressDelay = 100 * time.Millisecond
	// searchEvery is the pause between two calls to the seeds of a host that has
	// heard nobody for the first searchFor: hosts that place streams without
	// knowledge of each other crowd the same engines.
	searchEvery = 100 * time.Millisecond
	searchFor   = 5 * time.Second
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 60 << 10
)

// Options place a Node.
type Options struct {
	Host  string         // name of this host
	Local netip.AddrPort // all hosts use the same port
	Seeds []netip.Addr
}

// Parts are what a Node works with.
type Parts struct {
	Ledger    *place.Ledger
	Upstreams *fleet.Set
	Key       func(id string) uint64 // of an engine
	Log       *event.Logger
	Rng       *rand.Rand
	// SourceReturned is called when the source of the configuration answers a
	// peer again that it did not answer before.
	SourceReturned func()
}

// Node is this host among its peers.
type Node struct {
	options Options
	parts   Parts
	conn    *net.UDPConn

	incarnation uint64
	dirty       chan struct{}

	mu       sync.Mutex
	members  *members
	sequence uint64
	newest   map[string]position
	leaving  bool
}

// position orders the datagrams of one host.
type position struct {
	incarnation, sequence uint64
	heardAt               time.Duration
}

// before reports whether q is newer. The incarnation is a time of day, which may
// jump back while a host restarts; a lower one counts once the host was silent.
func (p position) before(q position) bool {
	if p.incarnation == q.incarnation {
		return p.sequence < q.sequence
	}
	return p.incarnation < q.incarnation || q.heardAt-p.heardAt > 2*heartbeatEvery
}

// Listen opens the socket of a node.
func Listen(options Options, parts Parts) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Local))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", options.Local, err)
	}
	return &Node{
		options: options, parts: parts, conn: conn, incarnation: uint64(time.Now().UnixNano()),
		dirty: make(chan struct{}, 1), members: newMembers(options.Local.Addr(), options.Seeds),
		newest: map[string]position{},
	}, nil
}

// Run exchanges datagrams until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(n.receive)
	n.send(true)
	started := boottime.Now()
	beat := time.NewTimer(searchEvery)
	defer beat.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-beat.C:
			n.send(true)
			beat.Reset(n.nextBeat(boottime.Now() - started))
		case <-n.dirty:
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

// nextBeat returns the time until the next heartbeat of a node of the given age.
func (n *Node) nextBeat(age time.Duration) time.Duration {
	if age < searchFor && n.Hosts() == 1 {
		return searchEvery
	}
	return heartbeatEvery
}

// Placed implements relay.Peers.
func (n *Node) Placed() {
	n.send(false)
}

// Progressed implements relay.Peers.
func (n *Node) Progressed() {
	select {
	case n.dirty <- struct{}{}:
	default: // a datagram is due already
	}
}

// Hosts implements relay.Peers.
func (n *Node) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members.live(boottime.Now())) + 1
}

// Leave tells the peers that this host is leaving.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.send(true)
}

// SourceReturned tells the peers that the source of the configuration answers
// this host again.
func (n *Node) SourceReturned() {
	m, targets := n.announcement(boottime.Now(), true)
	m.SourceReturned = true
	n.sendTo(targets, m)
}

// SetSeeds changes the hosts that are always told of this one.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.seeds = seeds
}

// send tells all hosts that were heard lately, and the seeds if it is a heartbeat.
func (n *Node) send(heartbeat bool) {
	m, targets := n.announcement(boottime.Now(), heartbeat)
	n.sendTo(targets, m)
}

// greet sends a heartbeat to hosts that know nothing of this one yet, so that
// hosts that start together know each other after a few round trips.
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
		// A peer that can't be reached drops out after memberMemory; a datagram
		// that is lost is repaired by the next one.
		_, _ = n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(host, n.options.Local.Port()))
	}
}

// announcement returns the state of this host and the hosts to tell it to.
func (n *Node) announcement(now time.Duration, heartbeat bool) (*loadv1.Announcement, []netip.Addr) {
	works := n.parts.Ledger.Own()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	m := &loadv1.Announcement{Host: n.options.Host, Incarnation: n.incarnation, Sequence: n.sequence, Leaving: n.leaving}
	for _, w := range works {
		m.Streams = append(m.Streams, packStream(w, now))
	}
	targets := n.members.live(now)
	if heartbeat {
		targets = n.members.withSeeds(targets)
		for _, host := range n.members.named(now, n.parts.Rng) {
			m.Hosts = append(m.Hosts, packHost(host))
		}
		for _, id := range n.parts.Upstreams.Avoided(now) {
			m.Unreachable = append(m.Unreachable, uint32(n.parts.Key(id)))
		}
	}
	return m, targets
}

func (n *Node) receive() {
	buffer := make([]byte, datagramBytes)
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
		n.hear(m, from.Addr().Unmap())
	}
}

func (n *Node) hear(m *loadv1.Announcement, from netip.Addr) {
	now := boottime.Now()
	newcomers, accepted := n.accept(m, from, now)
	if !accepted {
		return
	}
	n.greet(newcomers)
	if m.GetSourceReturned() {
		n.parts.SourceReturned()
	}
	works := make([]place.Work, 0, len(m.GetStreams()))
	for _, s := range m.GetStreams() {
		works = append(works, unpackStream(s, now))
	}
	n.parts.Ledger.Heard(m.GetHost(), works, now)
	if len(m.GetUnreachable()) > 0 {
		n.suspect(m.GetUnreachable(), now)
	}
}

// accept records the sender and reports whether the datagram is its newest. It
// returns the hosts that know nothing of this one: a sender that is new or has
// restarted, and hosts that it names.
func (n *Node) accept(m *loadv1.Announcement, from netip.Addr, now time.Duration) (newcomers []netip.Addr, accepted bool) {
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
		newcomers = append(newcomers, from)
	}
	n.members.hear(from, now)
	for _, packed := range m.GetHosts() {
		if host := unpackHost(packed); n.members.learn(host, now) {
			newcomers = append(newcomers, host)
		}
	}
	return newcomers, true
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
